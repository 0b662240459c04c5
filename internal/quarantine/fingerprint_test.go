package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

func TestCopiesOfARequestHaveOneFingerprint(t *testing.T) {
	is := is.New(t)
	of := func(s ...string) Fingerprint { return FingerprintOf(s[0], s[1], s[2], s[3], []byte(s[4])) }
	base := of("acme", "POST", "h", "/chat/x", "body")
	is.Equal(base, of("acme", "POST", "h", "/chat/x", "body"))
	for _, other := range [][]string{
		{"other", "POST", "h", "/chat/x", "body"}, {"acme", "PUT", "h", "/chat/x", "body"},
		{"acme", "POST", "g", "/chat/x", "body"}, {"acme", "POST", "h", "/chat/x?y", "body"},
		{"acme", "POST", "h", "/chat/x", "bodz"},
		// The bytes of the parts in one row are those of the base.
		{"acm", "ePOST", "h", "/chat/x", "body"}, {"acme", "POST", "h", "/chat/xb", "ody"},
	} {
		is.True(of(other...) != base)
	}
}
