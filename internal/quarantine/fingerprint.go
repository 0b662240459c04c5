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

// Fingerprint identifies a request by what the client asks for: copies of a request have different ids.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request of a client account. target is the path and query, body the body as the
// client sent it.
func FingerprintOf(account, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, s := range []string{account, method, host, target} {
		h.Write(binary.AppendUvarint(nil, uint64(len(s))))
		h.Write([]byte(s))
	}
	h.Write(body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String returns the fingerprint as it is logged.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
