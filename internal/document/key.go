package document

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	keyPrefix = "bp_"
	// Sizes of the random parts, in bytes. The secret has 256 bits of entropy, so that a brute-force search is
	// infeasible even though the hash is a fast one.
	keyIDBytes     = 8
	keySecretBytes = 32
	saltBytes      = 16

	schemeSHA256 = "sha256:"
	schemeHMAC   = "hmac-sha256:"
)

// NewKey generates a key of the form "bp_<id>_<secret>". The ID is not secret. The complete key is shown to the
// operator only once; documents store its hash.
func NewKey() (key string, hashed Key, err error) {
	buf := make([]byte, keyIDBytes+keySecretBytes)
	if _, err = rand.Read(buf); err != nil {
		return "", Key{}, errors.Wrap(err, "generating a key")
	}
	id := hex.EncodeToString(buf[:keyIDBytes])
	key = keyPrefix + id + "_" + base64.RawURLEncoding.EncodeToString(buf[keyIDBytes:])
	hashed, err = HashKey(key)
	return key, hashed, err
}

// KeyID returns the public part of a key, by which its hash is looked up.
func KeyID(key string) (string, bool) {
	rest, ok := strings.CutPrefix(key, keyPrefix)
	if !ok {
		return "", false
	}
	id, secret, ok := strings.Cut(rest, "_")
	return id, ok && id != "" && secret != ""
}

// HashKey returns the hashed form of a key for a document, with a new random salt.
func HashKey(key string) (Key, error) {
	id, ok := KeyID(key)
	if !ok {
		return Key{}, errors.New(`the key does not have the form "bp_<id>_<secret>"`)
	}
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return Key{}, errors.Wrap(err, "generating a salt")
	}
	sum := sha256.Sum256(append(salt[:saltBytes:saltBytes], key...))
	return Key{ID: id, Salt: hex.EncodeToString(salt), Hash: schemeSHA256 + hex.EncodeToString(sum[:])}, nil
}

// VerifyKey reports whether key matches the hash. The comparison takes constant time, so that timing doesn't reveal how
// much of the hash matched.
func VerifyKey(key string, hashed Key) bool {
	salt, err := hex.DecodeString(hashed.Salt)
	if err != nil {
		return false
	}
	if want, ok := strings.CutPrefix(hashed.Hash, schemeSHA256); ok {
		sum := sha256.Sum256(append(salt, key...))
		return equalHex(want, sum[:])
	}
	if want, ok := strings.CutPrefix(hashed.Hash, schemeHMAC); ok {
		mac := hmac.New(sha256.New, salt)
		mac.Write([]byte(key))
		return equalHex(want, mac.Sum(nil))
	}
	return false
}

func equalHex(want string, sum []byte) bool {
	w, err := hex.DecodeString(want)
	return err == nil && subtle.ConstantTimeCompare(w, sum) == 1
}

// checkHash returns a description of the problem with a hash, or "" if it is valid.
func checkHash(hash string) string {
	rest, ok := strings.CutPrefix(hash, schemeSHA256)
	if !ok {
		rest, ok = strings.CutPrefix(hash, schemeHMAC)
	}
	if !ok {
		return `must start with "sha256:" or "hmac-sha256:"; documents hold hashes only`
	}
	if b, err := hex.DecodeString(rest); err != nil || len(b) != sha256.Size {
		return "must hold 64 hex digits"
	}
	return ""
}
