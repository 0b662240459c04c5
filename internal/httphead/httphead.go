// Package httphead rejects heads of responses that net/http's parser takes although they are none in HTTP.
package httphead

import (
	"net/http"

	"github.com/cockroachdb/errors"
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
	return nil
}
