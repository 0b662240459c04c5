package instance

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fakes/metastore"
	"github.com/berylpond/berylpond/internal/fakes/runner"
	"github.com/berylpond/berylpond/internal/feature"
	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/platform"
)

const configuration = `{"version":%d,"routes":[
	{"name":"chat","host":"h.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":4000,"maxAttempts":2,"service":"llm","retain":true,"retainS":60},
	{"name":"quote","host":"h.example","pathPrefix":"/quote/","kind":"streaming","timeoutMs":4000,"maxAttempts":2,"service":"llm","retainS":60},
	{"name":"replan","host":"h.example","pathPrefix":"/replan/","kind":"streaming","timeoutMs":4000,"maxAttempts":2,"service":"llm","retainS":60,"resumable":true},
	{"name":"replan-once","host":"h.example","pathPrefix":"/replan-once/","kind":"streaming","timeoutMs":4000,"maxAttempts":1,"service":"llm","retainS":60,"resumable":true},
	{"name":"read","host":"h.example","pathPrefix":"/read/","kind":"idempotent","timeoutMs":1000,"service":"tool"},
	{"name":"pay","host":"h.example","pathPrefix":"/pay/","kind":"non_idempotent","timeoutMs":1000,"service":"tool","maxAttempts":2},
	{"name":"open","host":"h.example","pathPrefix":"/open/","kind":"idempotent","timeoutMs":1000,"service":"tool","public":true}],
	"services":[{"name":"llm","engine":{"chunkTokens":10,"slots":8}},{"name":"tool"}],
	"tenants":[{"name":"acme","apiKeys":["key-a"],"ratePerS":%d,"burstSize":%d},{"name":"other","apiKeys":["key-b"]}],
	"limits":{"bodyBytes":100000,"headerBytes":16384,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// site is a store and backend servers with instances in this process, each on its own loopback address.
type site struct {
	t     *testing.T
	store *metastore.Store
	url   string
	llm   *runner.Server
	tools []*runner.Server
	nodes []*node
	// memoryBytes is the memory limit of instances; 1 GiB if zero.
	memoryBytes int64
	// prepare, if not nil, is called for each instance before it runs.
	prepare func(*Instance)
	// features are those of the instances that are started.
	features feature.Set
	// settle, if not nil, changes the settings of each instance before it starts.
	settle func(*platform.Settings)
}

var nextIP atomic.Int32

func newSite(t *testing.T) *site {
	s := &site{t: t, store: metastore.New(4), llm: runner.Start("llm-1", "llm", 3)}
	for i := range 2 {
		s.tools = append(s.tools, runner.Start(fmt.Sprint("tool-", i), "tool", 0))
	}
	srv := httptest.NewServer(s.store)
	s.url = strings.TrimPrefix(srv.URL, "http://")
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
		for _, b := range s.servers() {
			b.CloseClientConnections()
			b.Close()
		}
	})
	s.configure(1, 1000)
	for _, b := range s.servers() {
		s.store.PutKeyed("keyed.servers", b.ID, b.Registration("ready"))
	}
	return s
}

func (s *site) servers() []*runner.Server { return append([]*runner.Server{s.llm}, s.tools...) }

func (s *site) configure(version, rate int) {
	s.store.PutKeyed("keyed.op", "config", fmt.Appendf(nil, configuration, version, rate, rate))
}

// node is a running instance and its context.
type node struct {
	*Instance
	url  string
	stop context.CancelFunc
	done chan struct{}
}

func (s *site) start(seeds ...string) *node { return s.startWith(1, seeds...) }

// newSettings returns the settings of an instance at an address of its own.
func (s *site) newSettings(cores float64, seeds ...string) platform.Settings {
	// Peers use the same port on different addresses. The process id keeps test runs on one machine apart.
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, nextIP.Add(1))
	return platform.Settings{
		Instance: ip, DataCentre: "a", IP: ip, ClientAddress: net.JoinHostPort(ip, "18080"),
		ReadyAddress: net.JoinHostPort(ip, "18081"), FirstPeerPort: 18082, LastPeerPort: 18090, SeedIPs: seeds,
		Cores: cores, MemoryBytes: 1 << 30, GracePeriod: 4 * time.Second, RateWindow: 5 * time.Second,
		EvacuationPeriod: 5 * time.Second,
		ColdExcess:       1.5, ColdBurst: 5,
		Store: platform.StoreSettings{
			Address: s.url, Partitions: 4, MaxRecordBytes: 1 << 18, MaxAppendBytes: 1 << 21, MinMemberTTL: time.Second,
		},
	}
}

func (s *site) startWith(cores float64, seeds ...string) *node {
	s.t.Helper()
	settings := s.newSettings(cores, seeds...)
	if s.memoryBytes > 0 {
		settings.MemoryBytes = s.memoryBytes
	}
	if s.settle != nil {
		s.settle(&settings)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{Instance: New(ctx, settings, s.features), url: "http://" + settings.ClientAddress, stop: cancel, done: make(chan struct{})}
	if s.prepare != nil {
		s.prepare(n.Instance)
	}
	go func() {
		defer close(n.done)
		if err := n.Run(ctx, 0); err != nil {
			s.t.Error(err)
		}
	}()
	s.nodes = append(s.nodes, n)
	s.t.Cleanup(s.stopAll)
	s.eventually("ready", n.Ready)
	return n
}

// stopAll stops every instance, all at once.
func (s *site) stopAll() {
	for _, n := range s.nodes {
		n.stop()
	}
	for _, n := range s.nodes {
		<-n.done
	}
}

func (s *site) eventually(what string, f func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

type response struct {
	status int
	body   string
	header http.Header
	// broken is set if there was no response or it was truncated.
	broken bool
}

var ids atomic.Int64

type call struct {
	id, path, key, body, program, previous string
	budget                                 int
	// method is POST if empty.
	method string
	// lastEvent is the id of the event after which the stream is to go on.
	lastEvent string
	// deadlineMs is how long the client waits; 3000 if empty.
	deadlineMs string
}

func (s *site) do(n *node, c call) response {
	s.t.Helper()
	return s.doWithin(context.Background(), n, c)
}

// doWithin is do for a client that leaves when the context ends.
func (s *site) doWithin(ctx context.Context, n *node, c call) response {
	s.t.Helper()
	if c.id == "" {
		c.id = fmt.Sprint("r", ids.Add(1))
	}
	if c.key == "" {
		c.key = "key-a"
	}
	if c.deadlineMs == "" {
		c.deadlineMs = "3000"
	}
	if c.method == "" {
		c.method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, c.method, n.url+c.path, strings.NewReader(c.body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "h.example"
	for name, value := range map[string]string{
		"Request-Id": c.id, "Api-Key": c.key, "Deadline-Ms": c.deadlineMs, "Program-Id": c.program, "Previous-Turn": c.previous,
		"Tenant": "forged", "Last-Event-Id": c.lastEvent,
	} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	if c.budget > 0 {
		r.Header.Set("Token-Budget", fmt.Sprint(c.budget))
		r.Header.Set("Token-Usage", "10,30")
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{broken: true}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: string(b), header: resp.Header, broken: err != nil}
}

// turn sends a turn until the status is not 503, since partitions may still be in the process of being assigned.
func (s *site) turn(n *node, c call) response {
	s.t.Helper()
	var a response
	s.eventually("turn "+c.id, func() bool {
		a = s.do(n, c)
		return a.status != http.StatusServiceUnavailable
	})
	return a
}

func TestProgramContinuesOnAnyInstance(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	one, two := s.start(), s.start()
	a := s.turn(one, call{id: "t1", path: "/chat/x", body: "in1", program: "p", budget: 900})
	is.Equal(a.status, 200)
	is.True(!a.broken)
	is.Equal(a.header.Get("Response-Stamp"), "stamp-t1")
	is.Equal(s.turn(two, call{id: "t2", path: "/chat/x", body: "in2", program: "p", previous: "t1", budget: 900}).status, 200)
	is.Equal(s.turn(one, call{id: "t3", path: "/chat/x", body: "in3", program: "p", previous: "t2", budget: 900}).status, 200)
	executions := s.llm.Executions()
	is.Equal(len(executions), 3)
	is.Equal(executions[1].Body, "in1llm-1/1.1\nllm-1/1.2\nllm-1/1.3\nin2")
	is.Equal(executions[2].Body, executions[1].Body+"llm-1/2.1\nllm-1/2.2\nllm-1/2.3\nin3")
	is.Equal(executions[0].Account, "acme")
	is.Equal(executions[0].Header.Get("Api-Key"), "")
}

func TestProgramSurvivesLossOfAllInstances(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	one := s.start()
	is.Equal(s.turn(one, call{id: "t1", path: "/chat/x", body: "in1", program: "p", budget: 900}).status, 200)
	one.stop()
	<-one.done
	two := s.start()
	is.Equal(s.turn(two, call{id: "t2", path: "/chat/x", body: "in2", program: "p", previous: "t1", budget: 900}).status, 200)
	// A new program may inherit the history of another program.
	is.Equal(s.turn(two, call{id: "u1", path: "/chat/x", body: "in9", program: "q", previous: "t2", budget: 900}).status, 200)
	executions := s.llm.Executions()
	is.True(strings.HasPrefix(executions[2].Body, "in1llm-1/1.1\n"))
	is.True(strings.HasSuffix(executions[2].Body, "in9"))
}

func TestRefusedRequestsDoNotRun(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	n := s.start()
	is.Equal(s.turn(n, call{id: "t1", path: "/chat/x", program: "p", budget: 60}).status, 200)
	for want, c := range map[int]call{
		http.StatusPaymentRequired:       {path: "/chat/x", program: "p", budget: 35},
		http.StatusNotFound:              {path: "/nowhere"},
		http.StatusUnauthorized:          {path: "/read/x", key: "nobody's"},
		http.StatusRequestEntityTooLarge: {path: "/read/x", body: strings.Repeat("x", 100_001)},
	} {
		is.Equal(s.do(n, c).status, want)
	}
	is.Equal(s.turn(n, call{path: "/chat/x", program: "q", previous: "never", budget: 60}).status, http.StatusNotFound)
	is.Equal(s.turn(n, call{path: "/chat/x", program: "q", previous: "t1", key: "key-b"}).status, http.StatusNotFound)
	is.Equal(len(s.llm.Executions()), 1)
}

// The budget of a program holds over all instances, also on a route whose clients send the whole prompt with each turn.
func TestBudgetHoldsOnRoutesWithoutHistory(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	nodes := []*node{s.start(), s.start()}
	// Each turn reserves and generates 30 tokens. A takeover of the partition may let the tokens of one turn go uncharged,
	// as the platform's rule allows.
	const budget, reservation = 100, 30
	served := 0
	for i := range 8 {
		a := s.turn(nodes[i%2], call{path: "/quote/x", body: "whole prompt", program: "p", budget: budget})
		if a.status == 200 {
			served++
			continue
		}
		is.Equal(a.status, http.StatusPaymentRequired)
	}
	is.True(served >= budget/reservation)
	is.True(served*reservation <= budget+reservation)
	executions := s.llm.Executions()
	is.Equal(len(executions), served)
	is.Equal(executions[2].Body, "whole prompt")
}

func TestHeadResponseIsWhole(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	n := s.start()
	for _, b := range s.tools {
		b.Handler = func(w http.ResponseWriter, r *http.Request, _ string) bool {
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.Header().Set("Response-Stamp", "s")
			w.Header().Set("Content-Length", "123")
			return true
		}
	}
	a := s.do(n, call{path: "/read/x", method: http.MethodHead})
	is.Equal(a.status, 200)
	is.Equal(a.header.Get("Content-Length"), "123")
}

func TestLongResponseIsRelayedWholeOrVisiblyTruncated(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	n := s.start()
	const length = 3 << 20
	sent := length
	for _, b := range s.tools {
		b.Handler = func(w http.ResponseWriter, r *http.Request, _ string) bool {
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.Header().Set("Response-Stamp", "s")
			w.Header().Set("Content-Length", fmt.Sprint(length))
			_, err := w.Write(make([]byte, sent))
			return err == nil
		}
	}
	a := s.do(n, call{path: "/pay/x"})
	is.Equal(a.status, 200)
	is.Equal(len(a.body), length)
	is.True(!a.broken)
	sent = length / 2
	is.True(s.do(n, call{path: "/pay/x"}).broken)
}

// unframed sends a response with neither a length nor chunks, which ends with its connection, in order or by a reset.
func unframed(t *testing.T, w http.ResponseWriter, r *http.Request, contentType, body string, reset bool) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: s\r\nContent-Type: %s\r\n\r\n%s",
		r.Header.Get("Request-Id"), contentType, body)
	if reset {
		time.Sleep(50 * time.Millisecond) // what was sent arrives before the reset
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// Guards against long responses without a length being taken for broken ones, and broken ones for whole ones.
func TestResponseThatEndsWithItsConnectionIsRelayedWholeOrVisiblyTruncated(t *testing.T) {
	s := newSite(t)
	n := s.start()
	for _, length := range []int{10, 1 << 20, 1<<20 + 1, 3 << 20} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(length, " reset ", reset), func(t *testing.T) {
				is := is.New(t)
				body := strings.Repeat("0123456789", length/10+1)[:length]
				for _, b := range s.tools {
					b.Handler = func(w http.ResponseWriter, r *http.Request, _ string) bool {
						unframed(t, w, r, "text/plain", body, reset)
						return true
					}
				}
				a := s.do(n, call{path: "/pay/x"})
				if reset {
					is.True(a.broken || a.status == http.StatusBadGateway)
					return
				}
				is.Equal(a.status, 200)
				is.True(!a.broken)
				is.True(a.body == body)
			})
		}
	}
}

func TestStreamThatEndsWithItsConnectionIsRelayed(t *testing.T) {
	s := newSite(t)
	n := s.start()
	const whole, half = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 3\ndata: c\n"
	for _, c := range []struct {
		name, body    string
		reset, broken bool
	}{
		{"whole", whole, false, false}, {"inside an event", whole + half, false, true}, {"reset", whole, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s.llm.Handler = func(w http.ResponseWriter, r *http.Request, _ string) bool {
				unframed(t, w, r, "text/event-stream", c.body, c.reset)
				return true
			}
			id := "t-" + strings.ReplaceAll(c.name, " ", "-")
			a := s.do(n, call{id: id, path: "/chat/x", program: id, budget: 900})
			is.Equal(a.status, 200)
			is.Equal(a.broken, c.broken)
			is.Equal(a.body, whole)
			s.llm.Handler = nil
			next := s.do(n, call{path: "/chat/x", program: id, previous: id, budget: 900})
			is.Equal(next.status, map[bool]int{false: 200, true: 404}[c.broken])
		})
	}
}

// A server announces in any response that it is leaving: a failure, a stream, or a refusal. The instance then uses the
// others, although the registry still lists the server as ready and is no longer read.
func TestServerThatAnnouncesItsShutdownGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	n := s.start()
	s.store.SetFault(func(*http.Request) metastore.Mode { return metastore.Silent })
	var arrivals atomic.Int32
	for i, announce := range []func(w http.ResponseWriter){
		func(w http.ResponseWriter) {
			w.Header().Set("Response-Stamp", "s")
			w.WriteHeader(http.StatusInternalServerError)
		},
		func(w http.ResponseWriter) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	} {
		leaving, other := s.tools[i], s.tools[1-i]
		arrivals.Store(0)
		leaving.Handler = func(w http.ResponseWriter, r *http.Request, _ string) bool {
			arrivals.Add(1)
			w.Header().Set("Server-Leaving", "1")
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			announce(w)
			return true
		}
		other.Handler = nil
		for arrivals.Load() == 0 {
			s.do(n, call{path: "/read/x"})
		}
		for range 10 {
			is.Equal(s.do(n, call{path: "/read/x"}).status, 200)
		}
		is.Equal(arrivals.Load(), int32(1))
		// The server starts again under its id.
		restarted := fleet.Entry{ID: leaving.ID, Service: "tool", Address: leaving.Listener.Addr().String(), DataCentre: "a", Slots: 8,
			Incarnation: int64(100 + i)}
		n.fleet.Upsert(restarted)
	}
}

// The stream that carries the announcement ends whole, and nothing new follows it.
func TestAnnouncementOnAStreamEndsNewRequestsOnly(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	n := s.start()
	stream := streamHandler(repeat("data: x\n\n", 3), 10*time.Millisecond, false)
	var arrivals atomic.Int32
	s.llm.Handler = func(w http.ResponseWriter, r *http.Request, body string) bool {
		arrivals.Add(1)
		w.Header().Set("Server-Leaving", "1")
		return stream(w, r, body)
	}
	a := s.turn(n, call{path: "/quote/x", program: "p", budget: 900})
	is.Equal(a.status, 200)
	is.True(!a.broken)
	is.Equal(strings.Count(a.body, "data:"), 3)
	is.Equal(s.do(n, call{path: "/quote/x", program: "p", budget: 900}).status, http.StatusServiceUnavailable)
	is.Equal(arrivals.Load(), int32(1))
}

func TestResponseEndsOnlyAfterTurnIsDurable(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	n := s.start()
	is.Equal(s.turn(n, call{id: "t1", path: "/chat/x", program: "p", budget: 900}).status, 200)
	s.store.SetFault(func(r *http.Request) metastore.Mode {
		if r.URL.Path == "/api/log-append" {
			return metastore.Silent
		}
		return metastore.Serve
	})
	a := s.do(n, call{id: "t2", path: "/chat/x", program: "p", previous: "t1", budget: 900})
	is.Equal(a.status, 200)
	is.True(a.broken)
	is.Equal(strings.Count(a.body, "data:"), 3)
}

func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	n := s.start()
	var arrivals atomic.Int32
	for _, b := range s.tools {
		b.Handler = func(w http.ResponseWriter, r *http.Request, _ string) bool {
			arrivals.Add(1)
			panic(http.ErrAbortHandler)
		}
	}
	is.Equal(s.do(n, call{path: "/pay/x"}).status, http.StatusBadGateway)
	is.Equal(arrivals.Load(), int32(1))
	arrivals.Store(0)
	is.Equal(s.do(n, call{path: "/read/x"}).status, http.StatusBadGateway)
	is.True(arrivals.Load() > 1)
}

func TestRequestNotRunIsRetriedOnAnotherServer(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	n := s.start()
	s.tools[0].Handler = func(w http.ResponseWriter, _ *http.Request, _ string) bool {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	for range 6 {
		is.Equal(s.do(n, call{path: "/pay/x"}).status, 200)
	}
	// On the connections of this server a refusal without an id could be an earlier one.
	s.tools[1].Handler = func(w http.ResponseWriter, r *http.Request, body string) bool {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		return s.tools[0].Handler(w, r, body)
	}
	a := s.do(n, call{path: "/pay/x"})
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(a.header.Get("Retry-After") != "")
}

// A request that one server may have run is not reported as not run because another one refused it afterwards.
func TestRefusalAfterABrokenAttemptIsNoPromise(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	n := s.start()
	var arrivals atomic.Int32
	for _, b := range s.tools {
		b.Handler = func(w http.ResponseWriter, _ *http.Request, _ string) bool {
			if arrivals.Add(1) == 1 {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
	}
	is.Equal(s.do(n, call{path: "/read/x"}).status, http.StatusBadGateway)
	is.True(arrivals.Load() > 1)
}

func TestClientDisconnectCancelsTheRun(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.llm.Events, s.llm.EventInterval = 100, 20*time.Millisecond
	n := s.start()
	ctx, disconnect := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, n.url+"/chat/x", nil)
	is.NoErr(err)
	r.Host = "h.example"
	r.Header.Set("Request-Id", "gone")
	r.Header.Set("Api-Key", "key-a")
	var resp *http.Response
	s.eventually("stream", func() bool {
		if resp, err = http.DefaultClient.Do(r); err != nil {
			return false
		}
		if resp.StatusCode != 200 {
			resp.Body.Close()
		}
		return resp.StatusCode == 200
	})
	disconnect()
	resp.Body.Close()
	s.eventually("cancelled", func() bool {
		executions := s.llm.Executions()
		return len(executions) == 1 && executions[0].Cancelled
	})
}

// streamHandler answers a stream's request with the given pieces of its body, each after an interval.
func streamHandler(pieces []string, interval time.Duration, abort bool) func(http.ResponseWriter, *http.Request, string) bool {
	return func(w http.ResponseWriter, r *http.Request, _ string) bool {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Stamp", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for _, piece := range pieces {
			time.Sleep(interval)
			if _, err := io.WriteString(w, piece); err != nil {
				return true
			}
			w.(http.Flusher).Flush()
		}
		if abort {
			panic(http.ErrAbortHandler)
		}
		return true
	}
}

func repeat(piece string, n int) []string {
	return strings.SplitAfter(strings.Repeat(piece, n), piece)[:n]
}

// A stream whose events come slowly is sound and reaches its client whole, up to the route's timeout of 4 s.
func TestSlowStreamIsNotCut(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	n := s.start()
	s.llm.Handler = streamHandler(repeat("data: x\n\n", 4), 600*time.Millisecond, false)
	a := s.turn(n, call{path: "/quote/x", program: "p", budget: 900})
	is.Equal(a.status, 200)
	is.True(!a.broken)
	is.Equal(strings.Count(a.body, "data:"), 4)
}

// A stream that sends a byte now and then but never an event ends, visibly broken, at the client's deadline of 3 s.
func TestStreamThatNeverCompletesAnEventEnds(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	n := s.start()
	s.llm.Handler = streamHandler(append([]string{"data: x\n\ndata: "}, repeat("y", 200)...), 50*time.Millisecond, false)
	start := time.Now()
	a := s.turn(n, call{path: "/quote/x", program: "p", budget: 900})
	is.True(a.broken)
	is.Equal(a.body, "data: x\n\n")
	is.True(time.Since(start) < 4*time.Second)
}

// Guards against a server in trouble that sends events without end filling the memory.
func TestStreamWithoutEndIsCutEarly(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	n := s.start()
	ended := make(chan struct{}, 1)
	s.llm.Handler = func(w http.ResponseWriter, r *http.Request, _ string) bool {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Stamp", "s")
		event := "data: " + strings.Repeat("x", 8000) + "\n\n"
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, event); err != nil {
				break
			}
		}
		ended <- struct{}{}
		return true
	}
	start := time.Now()
	a := s.turn(n, call{path: "/quote/x"})
	is.True(a.broken)
	is.True(len(a.body) < 16<<20)
	is.True(time.Since(start) < 2*time.Second) // it does not wait for the deadline
	<-ended
}

// A stream that breaks off never looks complete, whether it breaks between two events or within one.
func TestBrokenStreamIsVisiblyBroken(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	n := s.start()
	for _, route := range []string{"/quote/x", "/chat/x"} {
		for _, last := range []string{"data: y\n\n", "data: y"} {
			s.llm.Handler = streamHandler([]string{"data: x\n\n", last}, 0, true)
			is.True(s.turn(n, call{path: route, program: "p", budget: 900}).broken)
		}
	}
}

func TestConfigurationChangesTakeEffect(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	n := s.start()
	is.Equal(s.do(n, call{path: "/read/x"}).status, 200)
	s.store.PutKeyed("keyed.op", "config", []byte(strings.NewReplacer("key-a", "key-c", "/open/", "/opened/").Replace(
		fmt.Sprintf(configuration, 9, 1000, 1000))))
	s.eventually("withdrawn", func() bool { return s.do(n, call{path: "/read/x"}).status == http.StatusUnauthorized })
	is.Equal(s.do(n, call{path: "/opened/x", key: "none"}).status, 200)
	// An older version changes nothing.
	s.configure(5, 1000)
	time.Sleep(100 * time.Millisecond)
	is.Equal(s.do(n, call{path: "/read/x"}).status, http.StatusUnauthorized)
}

func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	n := s.start()
	s.store.PutKeyed("keyed.servers", "tool-0", s.tools[0].Registration("draining"))
	s.store.PutKeyed("keyed.servers", "tool-9", []byte("{broken"))
	s.eventually("draining", func() bool {
		for _, e := range n.fleet.Entries() {
			if e.ID == "tool-0" && e.Draining {
				return true
			}
		}
		return false
	})
	before := len(s.tools[0].Executions())
	for range 10 {
		is.Equal(s.do(n, call{path: "/read/x"}).status, 200)
	}
	is.Equal(len(s.tools[0].Executions()), before)
}

// TestInstanceRefusedByStoreIsServedThroughPeer lets the store refuse one instance's calls. The instance must still see
// a withdrawn key and serve turns, through calls relayed by a peer.
func TestInstanceRefusedByStoreIsServedThroughPeer(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	one := s.start()
	two := s.start(one.settings.IP)
	is.Equal(s.turn(two, call{id: "t1", path: "/chat/x", body: "in1", program: "p", budget: 900}).status, 200)
	refusedIP := two.settings.IP
	s.store.SetFault(func(r *http.Request) metastore.Mode {
		if strings.HasPrefix(r.RemoteAddr, refusedIP+":") {
			return metastore.Refuse
		}
		return metastore.Serve
	})
	s.store.PutKeyed("keyed.op", "config", []byte(strings.Replace(fmt.Sprintf(configuration, 9, 1000, 1000), "key-b", "key-d", 1)))
	s.eventually("withdrawn", func() bool {
		return s.do(two, call{path: "/read/x", key: "key-b"}).status == http.StatusUnauthorized
	})
	is.Equal(s.turn(two, call{id: "t2", path: "/chat/x", body: "in2", program: "p", previous: "t1", budget: 900}).status, 200)
	is.True(two.Ready())
}

// TestSmallInstanceFollowsPeerFeed checks that an instance that is not a member of the group follows changes of the
// configuration and the backend servers without reading the store.
func TestSmallInstanceFollowsPeerFeed(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	for range 4 {
		s.start()
	}
	s.eventually("four owners", func() bool { return s.owners() == 4 })
	small := s.startWith(0.2)
	s.eventually("uses the peer feed", small.usesFeed)
	// A response of NOT_OWNER makes the instance read the list of owners once; nothing else may be read.
	var reads atomic.Int32
	s.store.SetFault(func(r *http.Request) metastore.Mode {
		if strings.HasPrefix(r.RemoteAddr, small.settings.IP+":") && r.URL.Path != "/api/log-owners" {
			reads.Add(1)
		}
		return metastore.Serve
	})
	s.store.PutKeyed("keyed.op", "config", []byte(strings.Replace(fmt.Sprintf(configuration, 9, 1000, 1000), "key-b", "key-d", 1)))
	s.store.PutKeyed("keyed.servers", "tool-0", s.tools[0].Registration("draining"))
	s.eventually("withdrawn", func() bool {
		return s.do(small, call{path: "/read/x", key: "key-b"}).status == http.StatusUnauthorized
	})
	s.eventually("draining", func() bool {
		for _, e := range small.fleet.Entries() {
			if e.ID == "tool-0" {
				return e.Draining
			}
		}
		return false
	})
	is.Equal(s.turn(small, call{id: "t1", path: "/chat/x", program: "p", budget: 900}).status, 200)
	time.Sleep(time.Second)
	is.Equal(reads.Load(), int32(0))
}

func (s *site) owners() int {
	seen := map[string]bool{}
	for _, a := range s.nodes[0].group.OwnersByPartition() {
		seen[a] = true
	}
	return len(seen)
}

func TestInstanceStopsGracefully(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.llm.EventInterval = 200 * time.Millisecond
	one, two := s.start(), s.start()
	is.Equal(s.turn(one, call{id: "t1", path: "/chat/x", program: "p", budget: 900}).status, 200)
	var wg sync.WaitGroup
	responses := make([]response, 8)
	for i := range responses {
		wg.Go(func() { responses[i] = s.do(one, call{path: "/chat/x", program: fmt.Sprint("q", i), budget: 900}) })
	}
	time.Sleep(100 * time.Millisecond)
	one.stop()
	s.eventually("not ready", func() bool { return !one.Ready() })
	wg.Wait()
	for _, a := range responses {
		is.Equal(a.status, 200)
		is.True(!a.broken)
	}
	<-one.done
	is.Equal(s.turn(two, call{id: "t2", path: "/chat/x", program: "p", previous: "t1", budget: 900}).status, 200)
}
