package httphead

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestCheck(t *testing.T) {
	for head, ok := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n":   true,
		"HTTP/1.1 100 \r\n\r\n":             true,
		"HTTP/1.1 000 \r\nA: b\r\n\r\n":     false,
		"HTTP/1.1 099 \r\nA: b\r\n\r\n":     false,
		"HTTP/1.1 200 OK\r\nA : b\r\n\r\n":  false,
		"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n": false,
	} {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
			is.NoErr(err)
			err = Check(r)
			is.Equal(err == nil, ok)
			is.Equal(errors.Is(err, ErrMalformed), !ok)
		})
	}
}

func TestFoldScanner(t *testing.T) {
	for head, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: b\r\nC: d\r\n\r\n":      false,
		"HTTP/1.1 200 OK\nA: b\nC:\td \n\n":            false,
		"HTTP/1.1 200 OK\r\n\r\n a body":               false,
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody\r\n more": false,
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n":        true,
		"HTTP/1.1 200 OK\r\nA: b\r\n\tc: d\r\n\r\n":    true,
		"HTTP/1.1 200 OK\r\n A: b\r\n\r\n":             true,
		"HTTP/1.1 200 OK\nA: b\n c\n\n":                true,
	} {
		// However the bytes arrive.
		for size := 1; size <= len(head); size++ {
			is := is.New(t)
			var s FoldScanner
			for rest := head; rest != ""; rest = rest[min(size, len(rest)):] {
				s.Scan([]byte(rest[:min(size, len(rest))]))
			}
			is.Equal(s.Found, want)
		}
	}
}
