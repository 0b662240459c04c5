package memory

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// chunkBytes is the size up to which a body is allocated at once. A longer one grows as it arrives, so that a client that
// announces much and sends little holds little.
const chunkBytes = 16 << 10

// ErrFull means that the account has no room.
var ErrFull = errors.New("the instance has no memory for the body")

// ReadBody reads a body of at most limit bytes into memory that is held in the account; a length of -1 means unknown. The
// caller releases as many bytes as held says, also after an error. With ErrFull and *http.MaxBytesError the body is all that was
// read, so that the caller may go on from there.
func ReadBody(a *Account, r io.Reader, length, limit int64) (body []byte, held int64, err error) {
	if length == 0 {
		return nil, 0, nil
	}
	if length > limit {
		return nil, 0, &http.MaxBytesError{Limit: limit}
	}
	most := limit
	if length > 0 {
		most = length
	}
	b, held, err := grow(a, nil, 0, min(most, chunkBytes))
	for err == nil {
		var n int
		n, err = r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case length > 0 && int64(len(b)) == length:
			return b, held, nil
		case errors.Is(err, io.EOF) && length < 0:
			return b, held, nil
		case errors.Is(err, io.EOF):
			return b, held, io.ErrUnexpectedEOF
		case err == nil && len(b) == cap(b) && int64(len(b)) >= most:
			b, err = readEnd(r, b, limit)
			return b, held, err
		case err == nil && len(b) == cap(b):
			b, held, err = grow(a, b, held, min(most, 2*int64(cap(b))))
		}
	}
	return b, held, err
}

// grow returns a copy of b with the given capacity. The old and the new copy are held together for a moment; only the new
// one counts.
func grow(a *Account, b []byte, held, capacity int64) ([]byte, int64, error) {
	if !a.Hold(capacity - held) {
		return b, held, ErrFull
	}
	next := make([]byte, len(b), capacity)
	copy(next, b)
	return next, capacity, nil
}

// readEnd returns an error unless the reader is at its end. A byte that it reads is appended to b.
func readEnd(r io.Reader, b []byte, limit int64) ([]byte, error) {
	var rest [1]byte
	switch n, err := io.ReadFull(r, rest[:]); {
	case n > 0:
		return append(b, rest[0]), &http.MaxBytesError{Limit: limit}
	case errors.Is(err, io.EOF):
		return b, nil
	default:
		return b, err
	}
}
