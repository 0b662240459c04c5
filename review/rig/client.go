package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, target, key, body string
	// header holds further lines.
	header map[string]string
}

// response is what the client got. err is set if the connection gave no whole answer.
type response struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

func (a response) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then %v, after %d ms", a.status, len(a.body), a.err, a.took.Milliseconds())
	}
	return fmt.Sprintf("status %d, stamp %q, %d bytes, after %d ms", a.status, a.header.Get("Response-Stamp"), len(a.body), a.took.Milliseconds())
}

// retryAfter is when the client may come back, zero if it was not told.
func (a response) retryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

var lastID atomic.Int64

// newID returns an id that no other request has.
func newID() string { return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastID.Add(1)) }

// encode returns the bytes of the request.
func (q request) encode() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n", q.method, q.target, q.id)
	if q.key != "" {
		fmt.Fprintf(&b, "Api-Key: %s\r\n", q.key)
	}
	names := make([]string, 0, len(q.header))
	for n := range q.header {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Fprintf(&b, "%s: %s\r\n", n, q.header[n])
	}
	if q.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.WriteString(q.body)
	return b.String()
}

// readAnswer reads one answer from a connection.
func readAnswer(c net.Conn, method string, began time.Time) response {
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return response{err: err, took: time.Since(began)}
	}
	b, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(b), err: err, took: time.Since(began)}
}

// send sends a request on a new connection and reads its answer.
func (r *rig) send(d *daemon, q request) response {
	began := time.Now()
	c, err := net.DialTimeout("tcp", d.client(), time.Second)
	if err != nil {
		return response{err: err, took: time.Since(began)}
	}
	defer c.Close()
	_ = c.SetDeadline(began.Add(15 * time.Second))
	if _, err := io.WriteString(c, q.encode()); err != nil {
		return response{err: err, took: time.Since(began)}
	}
	a := readAnswer(c, q.method, began)
	r.logf("client: %s %s id %s %v to daemon %d: %v", q.method, q.target, q.id, q.header, d.number, a)
	return a
}

// history returns what the events of a stream add to a history.
func history(stream string) string {
	var b strings.Builder
	for line := range strings.Lines(stream) {
		if data, ok := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "data: "); ok {
			b.WriteString(data + "\n")
		}
	}
	return b.String()
}
