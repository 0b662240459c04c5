package quarantine

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func TestCopiesOfARequestHaveOneFingerprint(t *testing.T) {
	is := is.New(t)
	of := func(s ...string) Fingerprint { return IdentityOf(s[0], s[1], s[2], s[3], []byte(s[4])).whole() }
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

func TestLongerRequestsShareTheFingerprintsOfTheirPrefixes(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("0123456789abcdef"), 2<<10)
	of := func(b []byte) Identity { return IdentityOf("acme", "POST", "h", "/chat/x", b) }
	short, long := of(body[:5000]), of(body)
	is.Equal(len(short), 4) // 256, 1024 and 4096 bytes, and the whole
	is.Equal(len(long), 5)
	is.Equal(short[:3], long[:3])
	is.True(short.whole() != long.whole())
	is.True(short.whole().isWhole() && !short[0].isWhole())
	// The whole of a body is not the prefix of a longer one.
	is.True(of(body[:4096]).whole() != long[2])
	is.Equal(len(of(nil)), 1)
}
