package orders

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
	ordersv1 "github.com/berylpond/berylpond/api/orders/v1"
	"github.com/berylpond/berylpond/internal/fakes/rawserver"
	"github.com/berylpond/berylpond/internal/journal"
)

func order(id, engine, kind, name string) *ordersv1.Order {
	return &ordersv1.Order{Id: id, Engine: engine, Kind: kind, Name: name}
}

func TestRegistry(t *testing.T) {
	is := is.New(t)
	b := NewRegistry()
	now := time.Now()
	b.ApplyOrder(1, order("a", "e1", KindSetRole, "prefill"))
	b.ApplyOrder(2, order("b", "e1", KindSetRole, "decode"))
	b.ApplyOrder(2, order("b", "e1", KindSetRole, "decode")) // a duplicate
	b.ApplyOrder(3, order("c", "e1", KindLoadModel, "m"))
	b.ApplyOrder(4, order("d", "e1", "paint", "blue")) // unknown kind
	is.Equal(len(b.List()), 3)
	is.Equal(b.List()[0].Outcome, OutcomeSuperseded)
	is.Equal(b.NextPending("e1", now).ID, "b")
	b.ApplyReport(&ordersv1.Report{Id: "b", Outcome: OutcomeDone})
	b.ApplyReport(&ordersv1.Report{Id: "b", Outcome: OutcomeFailed}) // the first report counts
	is.Equal(b.List()[1].Outcome, OutcomeDone)
	is.Equal(b.NextPending("e1", now).ID, "c")
	is.True(b.NextPending("e2", now) == nil)
}

// stream is a fake of the data centre's stream of orders, with its readers.
type stream struct {
	mu      sync.Mutex
	n       int64
	readers []*Controller
}

func (s *stream) Append(_ context.Context, rec *journalv1.Record) (journal.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := journal.Position{Offset: s.n}
	s.n++
	for _, r := range s.readers {
		r.Apply(p, rec)
	}
	return p, nil
}

func (s *stream) Enqueue(rec *journalv1.Record) error {
	go s.Append(context.Background(), rec)
	return nil
}

// singleShard is a fake cell with one shard, which is held if term is not 0.
type singleShard struct {
	mu   sync.Mutex
	term uint64
}

func (p *singleShard) ShardCount() int { return 1 }

func (p *singleShard) HeldTerm(int) (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.term, p.term > 0
}

func (p *singleShard) set(term uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.term = term
}

// engine is a fake engine that records the orders it receives and responds with the given status.
type engine struct {
	mu       sync.Mutex
	received []orderBody
	status   int
	url      string
}

func newEngine(t *testing.T) *engine {
	e := &engine{status: http.StatusNoContent}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var o orderBody
		_ = json.NewDecoder(r.Body).Decode(&o)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.received = append(e.received, o)
		w.WriteHeader(e.status)
	}))
	t.Cleanup(srv.Close)
	e.url = strings.TrimPrefix(srv.URL, "http://")
	return e
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal(what)
}

func run(t *testing.T, c *Controller) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = c.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func TestOnlyHolderSendsOrder(t *testing.T) {
	is := is.New(t)
	s, e := &stream{}, newEngine(t)
	fenced := func(string) bool { return true }
	holder := New(&singleShard{term: 7}, s, fenced, http.DefaultClient)
	other := New(&singleShard{}, s, fenced, http.DefaultClient)
	s.readers = []*Controller{holder, other}
	run(t, holder)
	run(t, other)
	id, err := other.Submit(context.Background(), e.url, KindLoadModel, "small", "ops")
	is.NoErr(err)
	waitFor(t, "timed out waiting for the order to be done at both instances", func() bool {
		a, b := holder.List(), other.List()
		return a[0].ID == id && a[0].Outcome == OutcomeDone && b[0].Outcome == OutcomeDone
	})
	is.Equal(len(e.received), 1)
	_, err = other.Submit(context.Background(), e.url, KindSetRole, "decode", "ops")
	is.NoErr(err)
	waitFor(t, "timed out waiting for the second order", func() bool { e.mu.Lock(); defer e.mu.Unlock(); return len(e.received) == 2 })
	is.True(e.received[1].FencingToken > e.received[0].FencingToken)
}

// TestUnfencedEngineWaitsForEarlierOrders checks that an engine that ignores fencing tokens gets no order from a new
// holder while one from the previous holder could still be in progress there.
func TestUnfencedEngineWaitsForEarlierOrders(t *testing.T) {
	is := is.New(t)
	shards := &singleShard{term: 1}
	c := New(shards, &stream{}, func(string) bool { return false }, http.DefaultClient, WithTimeout(time.Second))
	c.registry.ApplyOrder(1, order("a", "e1", KindLoadModel, "m"))
	start := time.Now()
	_, ok := c.due(start)
	is.Equal(ok, false)
	_, ok = c.due(start.Add(time.Second + clockMargin/2))
	is.Equal(ok, false)
	shards.set(2) // a new lease restarts the wait
	_, ok = c.due(start.Add(2 * time.Second))
	is.Equal(ok, false)
	e, ok := c.due(start.Add(4 * time.Second))
	is.True(ok)
	is.Equal(e.ID, "a")
}

func TestStaleFencingTokenSupersedesOrder(t *testing.T) {
	is := is.New(t)
	s, e := &stream{}, newEngine(t)
	e.status = http.StatusConflict
	c := New(&singleShard{term: 1}, s, func(string) bool { return true }, http.DefaultClient)
	s.readers = []*Controller{c}
	run(t, c)
	_, err := c.Submit(context.Background(), e.url, KindSetRole, "decode", "ops")
	is.NoErr(err)
	waitFor(t, "timed out waiting for the order to be superseded", func() bool { return c.List()[0].Outcome == OutcomeSuperseded })
}

func TestUnknownKindIsRefused(t *testing.T) {
	is := is.New(t)
	c := New(&singleShard{term: 1}, &stream{}, func(string) bool { return true }, http.DefaultClient)
	_, err := c.Submit(context.Background(), "e1", "paint", "blue", "ops")
	is.True(err != nil)
}

// Guards against an order that counts as done because its engine answered with a status that is none.
func TestOrderWithAMalformedResponseIsNotDone(t *testing.T) {
	is := is.New(t)
	address := rawserver.Start(t, func(c *net.TCPConn, br *bufio.Reader) {
		if _, err := http.ReadRequest(br); err == nil {
			io.WriteString(c, "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n")
		}
	})
	c := New(&singleShard{term: 1}, &stream{}, func(string) bool { return true }, http.DefaultClient)
	_, err := c.post(t.Context(), OrderState{ID: "a", Engine: address, Kind: KindLoadModel, Name: "m"})
	is.True(err != nil)
}

// Guards against an order whose outcome is an earlier response that a faulty engine sent once more on a kept connection.
func TestEarlierResponseIsNoOutcomeOfAnOrder(t *testing.T) {
	is := is.New(t)
	const superseded, done = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n"
	var orders atomic.Int32
	address := rawserver.Start(t, func(c *net.TCPConn, br *bufio.Reader) {
		for earlier := ""; ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			response := done
			if orders.Add(1) == 1 {
				response = superseded
			}
			io.WriteString(c, earlier+response)
			earlier = response
		}
	})
	c := New(&singleShard{term: 1}, &stream{}, func(string) bool { return true }, http.DefaultClient)
	for _, want := range []int{http.StatusConflict, http.StatusNoContent} {
		status, err := c.post(t.Context(), OrderState{ID: "a", Engine: address, Kind: KindLoadModel, Name: "m"})
		is.NoErr(err)
		is.Equal(status, want)
	}
}
