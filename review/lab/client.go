package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// Host is the host of every route.
const Host = "kiosk.example"

// Key is the API key of the tenant.
const Key = "3fexd9dnn2ctnfzs989a"

// Attempt is one attempt of a client.
type Attempt struct {
	ID, Method, Path string
	Deadline         time.Duration
	Body             []byte
	Header           map[string]string
}

// Answer is what the client got. Status is zero if the connection ended without a whole answer.
type Answer struct {
	Status     int
	Stamp      string
	Body       []byte
	RetryAfter time.Duration
	Err        error
	Took       time.Duration
}

// String describes the answer for the record.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no whole answer after %d ms: %v", a.Took.Milliseconds(), a.Err)
	}
	return fmt.Sprintf("%d after %d ms, stamp %q, %d bytes", a.Status, a.Took.Milliseconds(), a.Stamp, len(a.Body))
}

// NewID returns a fresh id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// FreshConnections is a client that opens a connection for each attempt, within a second.
func FreshConnections() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}

// KeptConnections is a client that keeps up to n connections open.
func KeptConnections(n int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n, MaxIdleConns: n, DisableCompression: true}}
}

// Send sends one attempt to a machine.
func Send(c *http.Client, m *Machine, a Attempt) Answer {
	began := time.Now()
	out := send(c, m, a)
	out.Took = time.Since(began)
	return out
}

func send(c *http.Client, m *Machine, a Attempt) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), a.Deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, a.Method, "http://"+m.Front()+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		return Answer{Err: err}
	}
	r.Host = Host
	r.Header.Set("Request-Id", a.ID)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(a.Deadline.Milliseconds(), 10))
	r.Header.Set("Api-Key", Key)
	for name, value := range a.Header {
		r.Header.Set(name, value)
	}
	resp, err := c.Do(r)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{Err: err}
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return Answer{
		Status: resp.StatusCode, Stamp: resp.Header.Get("Response-Stamp"), Body: b, RetryAfter: time.Duration(seconds * float64(time.Second)),
	}
}
