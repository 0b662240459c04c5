package site

import (
	"bytes"
	"encoding/binary"
	"net/http"
	"strconv"
)

// pages has the store answer a read with at most maxKb of records, but with one at least.
func pages(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/api/log-read" {
			store.ServeHTTP(w, r)
			return
		}
		kb, err := strconv.Atoi(r.URL.Query().Get("maxKb"))
		if err != nil || kb <= 0 {
			kb = 1024
		}
		whole := &answer{header: http.Header{}, status: http.StatusOK}
		store.ServeHTTP(whole, r)
		b := whole.body.Bytes()
		if whole.status == http.StatusOK && len(b) > 16 {
			n := 16
			for n+4 <= len(b) {
				next := n + 4 + int(binary.BigEndian.Uint32(b[n:]))
				if n > 16 && next > kb<<10 {
					break
				}
				n = next
			}
			b = b[:n]
		}
		for k, v := range whole.header {
			w.Header()[k] = v
		}
		w.WriteHeader(whole.status)
		_, _ = w.Write(b)
	})
}

// answer holds an answer of the store.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *answer) Header() http.Header         { return a.header }
func (a *answer) WriteHeader(status int)      { a.status = status }
func (a *answer) Write(b []byte) (int, error) { return a.body.Write(b) }
