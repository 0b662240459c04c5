package config

import (
	"github.com/cespare/xxhash/v2"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
)

// makeSplice returns a splice, the replacement of one contiguous range, that turns base into doc.
func makeSplice(base, doc []byte) *configv1.Splice {
	short := min(len(base), len(doc))
	prefix := 0
	for prefix < short && base[prefix] == doc[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < short-prefix && base[len(base)-1-suffix] == doc[len(doc)-1-suffix] {
		suffix++
	}
	return &configv1.Splice{
		Prefix: uint64(prefix),
		Suffix: uint64(suffix),
		Middle: doc[prefix : len(doc)-suffix],
		Digest: xxhash.Sum64(doc),
	}
}

// applySplice applies s to base. It returns false if the digest shows that s was made for another base.
func applySplice(base []byte, s *configv1.Splice) ([]byte, bool) {
	size := uint64(len(base))
	if s.Prefix > size || s.Suffix > size-s.Prefix {
		return nil, false
	}
	doc := make([]byte, 0, s.Prefix+uint64(len(s.Middle))+s.Suffix)
	doc = append(doc, base[:s.Prefix]...)
	doc = append(doc, s.Middle...)
	doc = append(doc, base[size-s.Suffix:]...)
	return doc, xxhash.Sum64(doc) == s.Digest
}
