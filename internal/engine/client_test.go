package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/engine"
	fakeengine "github.com/berylpond/berylpond/internal/fakes/engine"
	"github.com/berylpond/berylpond/internal/fakes/fault"
	"github.com/berylpond/berylpond/internal/verdict"
)

var shortTimeouts = engine.Timeouts{FirstToken: 300 * time.Millisecond, Progress: 300 * time.Millisecond}

func newFake(t *testing.T) (*fakeengine.Server, string) {
	t.Helper()
	f := fakeengine.New(fakeengine.WithTimeScale(50))
	srv := httptest.NewServer(f)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
		f.Close()
	})
	return f, strings.TrimPrefix(srv.URL, "http://")
}

func request(id string) engine.ChatRequest {
	return engine.ChatRequest{
		Model: "small", MaxTokens: 12, RequestID: id, Messages: []json.RawMessage{[]byte(`{"role":"user","content":"hello"}`)},
	}
}

// A truncated, stalled or mismatched response must not be returned as complete. Every failure must be MayHaveRun, since
// the request was written.
func TestChatUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		fault   fault.Spec
		whole   bool
		resumed int
		reason  verdict.Reason
	}{
		{name: "no fault", whole: true},
		{name: "truncated, then resumed", fault: fault.Spec{Mode: "truncate", Times: 1, AfterChunks: 3}, whole: true, resumed: 1},
		{name: "silent, then resumed", fault: fault.Spec{Mode: "silent", Times: 1, AfterChunks: 3}, whole: true, resumed: 1},
		{name: "crossed", fault: fault.Spec{Mode: "crossed", Times: 1}, reason: verdict.ReasonMismatchedResponse},
		{name: "hang", fault: fault.Spec{Mode: "hang", Times: 1}, reason: verdict.ReasonBackendSilent},
		{name: "lost", fault: fault.Spec{Mode: "lose", Times: 1}, reason: verdict.ReasonBackendSilent},
		{name: "refused", fault: fault.Spec{Mode: "refuse", Times: 1}, reason: verdict.ReasonBackendFailed},
		{name: "crash", fault: fault.Spec{Mode: "crash", Times: 1, DelayMS: 500}, reason: verdict.ReasonBackendFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f, addr := newFake(t)
			if tc.fault.Mode != "" {
				f.Faults.Set(tc.fault)
			}
			var streamed string
			res, err := engine.New(shortTimeouts, nil).Chat(context.Background(), addr, request("r1"),
				func(part *engine.Message) error {
					streamed += part.Content
					return nil
				})
			if !tc.whole {
				is.True(err != nil)
				is.Equal(verdict.From(err).Reason, tc.reason)
				is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
				return
			}
			is.NoErr(err)
			is.Equal(res.Resumed, tc.resumed)
			is.Equal(streamed, res.Message.Content)
			is.Equal(res.Message.Content, fakeengine.ResponseText([]fakeengine.Message{{Role: "user", Content: "hello"}}, 12))
		})
	}
}

func TestUnreachableBackendIsNotRun(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.NotFoundHandler())
	addr := strings.TrimPrefix(srv.URL, "http://")
	srv.Close()
	_, err := engine.New(shortTimeouts, nil).Chat(context.Background(), addr, request("r1"),
		func(*engine.Message) error { return nil })
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
	_, err = engine.New(shortTimeouts, nil).CallService(context.Background(), addr, engine.ServiceRequest{Method: "GET",
		Path: "/", Timeout: time.Second, MaxResponseBytes: 10})
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
}

// net/http retries some requests on its own if a reused connection breaks, which would run a service call twice.
func TestServiceCallIsNotRetriedByTransport(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		is := is.New(t)
		var calls atomic.Int32
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) > 1 {
				panic(http.ErrAbortHandler) // the connection breaks after the request was read
			}
			w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id")) // so that the connection is kept
		}))
		c := engine.New(shortTimeouts, nil)
		call := engine.ServiceRequest{Method: method, Path: "/", Timeout: time.Second, MaxResponseBytes: 10, RequestID: "r"}
		addr := strings.TrimPrefix(srv.URL, "http://")
		_, err := c.CallService(context.Background(), addr, call)
		is.NoErr(err)
		_, err = c.CallService(context.Background(), addr, call)
		is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
		is.Equal(calls.Load(), int32(2))
		srv.Close()
	}
}

func TestMismatchedServiceResponseIsError(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", "another")
	}))
	defer srv.Close()
	_, err := engine.New(shortTimeouts, nil).CallService(context.Background(), strings.TrimPrefix(srv.URL, "http://"),
		engine.ServiceRequest{Method: "POST", Path: "/", Timeout: time.Second, MaxResponseBytes: 10, RequestID: "mine"})
	is.Equal(verdict.From(err).Reason, verdict.ReasonMismatchedResponse)
}

// Guards against servers that send without end: the message of a response is held until its end.
func TestEndlessResponsesAreGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		send   func(w http.ResponseWriter)
		reason verdict.Reason
	}{
		"head": {func(w http.ResponseWriter) {
			for i := range 20_000 {
				w.Header().Set(fmt.Sprint("X-", i), "v")
			}
		}, verdict.ReasonBackendFailed},
		"events": {func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", "text/event-stream")
			for range 200 {
				fmt.Fprintf(w, `data: {"id":"r1","choices":[{"delta":{"content":"%064000d"}}]}`+"\n\n", 0)
			}
		}, verdict.ReasonTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { c.send(w) }))
			defer srv.Close()
			_, err := engine.New(engine.DefaultTimeouts, nil).Chat(t.Context(), strings.TrimPrefix(srv.URL, "http://"), request("r1"),
				func(*engine.Message) error { return nil })
			is.True(err != nil)
			is.Equal(verdict.From(err).Reason, c.reason)
			is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
		})
	}
}
