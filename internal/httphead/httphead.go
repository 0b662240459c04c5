// Package httphead rejects heads of responses that net/http's parser takes although they are none in HTTP.
package httphead

import (
	"bytes"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed marks a response whose head is malformed. Where its body ends is not known.
var ErrMalformed = errors.New("the head of the answer is malformed")

// minStatus is the smallest status code of HTTP.
const minStatus = 100

// Check returns an error if the head of a response, interim ones included, is malformed.
func Check(r *http.Response) error {
	if r.StatusCode < minStatus {
		return errors.Wrapf(ErrMalformed, "status %q", r.Status)
	}
	for name := range r.Header {
		// The parser keeps names with blanks as they are, so that no field of that name has an effect.
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "field name %q", name)
		}
	}
	return nil
}

// FoldScanner looks for a line of a head that begins with a blank. The parser joins it to the line before it, whose value is then not
// the one that was sent.
type FoldScanner struct {
	lineStart, ended bool
	// Found is set if there is such a line.
	Found bool
}

// Scan reads the next bytes of a head. What follows the head is passed over.
func (s *FoldScanner) Scan(b []byte) {
	for len(b) > 0 && !s.ended {
		if s.lineStart {
			s.Found = s.Found || b[0] == ' ' || b[0] == '\t'
			s.ended = b[0] == '\r' || b[0] == '\n'
		}
		newline := bytes.IndexByte(b, '\n')
		s.lineStart = newline >= 0
		b = b[newline+1:]
		if !s.lineStart {
			return
		}
	}
}
