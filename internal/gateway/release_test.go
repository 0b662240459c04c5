package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/memory"
	"github.com/berylpond/berylpond/internal/routing"
	"github.com/berylpond/berylpond/internal/upstream"
)

// directPath never loses the way to the servers.
type directPath struct{}

func (directPath) Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func (directPath) LostSince() time.Time { return time.Time{} }

func (directPath) Suspect(string, time.Time) {}

// endedCall returns what an instance has seen of a server whose response read reads; it cancels the request with the second
// argument.
func endedCall(t *testing.T, read func(x *exchange, ctx context.Context, resp *backendResponse, cancel func())) (completed, failed float64) {
	t.Helper()
	is := is.New(t)
	stuck := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(stuck.Close)
	f := fleet.New("dc", time.Second)
	f.Upsert(fleet.Entry{ID: "b", Service: "s", Address: stuck.Listener.Addr().String(), DataCentre: "dc", Slots: 4})
	b := f.Acquire(fleet.Criteria{Service: "s"})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	resp, err := upstream.NewPool(directPath{}).Do(ctx, b.Address, upstream.Request{
		ID: "1", Method: http.MethodGet, Target: "/", Host: "h", Header: func() http.Header { return http.Header{"Request-Id": {"1"}} },
	})
	is.NoErr(err)
	x := &exchange{Gateway: &Gateway{memory: memory.New(1<<20, func(int64) {})}, route: &routing.Route{}}
	x.fleet = f
	read(x, ctx, &backendResponse{Response: resp, backend: b, fleet: f, sent: time.Now()}, cancel)
	for _, l := range f.ReportLoads() {
		is.Equal(l.Requests, 0.0)
		completed, failed = completed+l.Completed, failed+l.Failed
	}
	return completed, failed
}

func TestCallThatTheClientCancelsIsNoFailureOfTheServer(t *testing.T) {
	is := is.New(t)
	_, failed := endedCall(t, func(x *exchange, ctx context.Context, resp *backendResponse, cancel func()) {
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err := x.readResponse(ctx, resp)
		is.True(err != nil)
	})
	is.Equal(failed, 0.0)
}

// Load pattern: a server that hangs until the deadline of each request.
func TestRequestWithoutAWholeResponseIsNotCountedAsCompleted(t *testing.T) {
	is := is.New(t)
	completed, failed := endedCall(t, func(_ *exchange, _ context.Context, resp *backendResponse, cancel func()) {
		cancel()
		resp.close(false, false)
	})
	is.Equal(completed, 0.0)
	is.Equal(failed, 0.0)
}
