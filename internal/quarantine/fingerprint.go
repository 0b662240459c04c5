// Package quarantine keeps requests that make backend servers crash from being sent on.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// fingerprintBytes is the length of a Fingerprint. It is a cryptographic hash, since one account must not be able to make a
// request that is taken for another account's.
const fingerprintBytes = 16

// wholeMark is the bit of the first byte that keeps a whole request apart from the prefix of a longer one.
const wholeMark = 1

// Fingerprint identifies what a client asks for: copies of a request have different ids.
type Fingerprint [fingerprintBytes]byte

// String returns the fingerprint as it is logged.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// prefixLengths are the numbers of leading bytes of a body that have a fingerprint of their own.
var prefixLengths = []int{256, 1 << 10, 4 << 10, 16 << 10}

// Identity is the fingerprints of a request, each of which covers more of its body than the one before. The last one covers the
// whole request. Load pattern: a prompt that crashes servers comes again with more behind it, as each turn of a program begins
// with all that precedes it.
type Identity []Fingerprint

// IdentityOf returns the identity of a request of a client account. target is the path and query, body the body as the client
// sent it.
func IdentityOf(account, method, host, target string, body []byte) Identity {
	h := sha256.New()
	for _, s := range []string{account, method, host, target} {
		h.Write(binary.AppendUvarint(nil, uint64(len(s))))
		h.Write([]byte(s))
	}
	id := make(Identity, 0, len(prefixLengths)+1)
	sum := func(mark byte) {
		f := Fingerprint(h.Sum(nil)[:fingerprintBytes])
		f[0] = f[0]&^wholeMark | mark
		id = append(id, f)
	}
	done := 0
	for _, n := range prefixLengths {
		if n >= len(body) {
			break
		}
		h.Write(body[done:n])
		done = n
		sum(0)
	}
	h.Write(body[done:])
	sum(wholeMark)
	return id
}

// whole returns the fingerprint of the whole request.
func (id Identity) whole() Fingerprint { return id[len(id)-1] }

// String returns the fingerprint of the whole request.
func (id Identity) String() string { return id.whole().String() }

// isWhole reports whether the fingerprint covers a whole request.
func (f Fingerprint) isWhole() bool { return f[0]&wholeMark != 0 }
