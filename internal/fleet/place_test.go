package fleet

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/loadshare"
	"github.com/berylpond/berylpond/internal/placement"
)

const (
	modelCache     = 350_000
	modelReadRate  = 150.0 // prompt tokens per millisecond
	modelTokenTime = 1500 * time.Microsecond
	modelSlots     = 16
	sharedTokens   = 12_600
	turnTokens     = 840
	outputTokens   = 250
)

// modelServer reads one prompt after the other, runs modelSlots requests at once and keeps the parts that were used last.
type modelServer struct {
	kept     placement.Kept
	readable time.Time
	ends     []time.Time
	slowness float64
	served   int
	// failing is the share of requests that the server breaks off.
	failing float64
}

func (s *modelServer) run(now time.Time, prompt []placement.Part) (first, end time.Time, read int64) {
	kept := s.kept.Prefix(prompt, false)
	for _, p := range prompt {
		read += p.Tokens
	}
	read -= kept
	s.kept.Use(prompt, modelCache, 1)
	running := s.ends[:0]
	for _, e := range s.ends {
		if e.After(now) {
			running = append(running, e)
		}
	}
	s.ends = running
	begin := now
	if queued := len(running) - modelSlots; queued >= 0 {
		begin = running[queued]
	}
	if s.readable.After(begin) {
		begin = s.readable
	}
	first = begin.Add(time.Duration(s.slowness * float64(read) / modelReadRate * float64(time.Millisecond)))
	s.readable = first
	end = first.Add(time.Duration(s.slowness * outputTokens * float64(modelTokenTime)))
	s.ends = append(s.ends, end)
	s.served++
	return first, end, read
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// replay sends seeded programs through several instances to model servers.
type replay struct {
	random    *rand.Rand
	now       time.Time
	queue     events
	instances []*Fleet
	servers   map[string]*modelServer
	// work is what instances are told of a request.
	work func(prompt []placement.Part) placement.Work
	// owner holds the server of the last turn of each conversation.
	owner     map[string]string
	shared    func() int
	read, new int64
	times     []time.Duration
	// failed counts requests that a server broke off; a server fails the given share of its requests.
	failed int
}

func newReplay(instances, servers, sharedParts int) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(7, 11)), now: time.Unix(1000, 0), servers: map[string]*modelServer{}, owner: map[string]string{},
		work: func(prompt []placement.Part) placement.Work {
			return placement.Work{Route: "chat", Prompt: prompt, OutputHint: outputTokens, MaxOutput: 4 * outputTokens}
		},
	}
	r.shared = func() int { return r.random.IntN(sharedParts) }
	for range instances {
		f := New("dc", time.Second)
		f.now, f.random = func() time.Time { return r.now }, r.random.IntN
		for i := range servers {
			f.Upsert(Entry{ID: fmt.Sprintf("s-%02d", i), Service: "llm", DataCentre: "dc", Slots: modelSlots})
		}
		r.instances = append(r.instances, f)
	}
	for i := range servers {
		r.servers[fmt.Sprintf("s-%02d", i)] = &modelServer{slowness: 1}
	}
	return r
}

func (r *replay) at(t time.Time, do func()) { heap.Push(&r.queue, event{t, do}) }

func (r *replay) run() {
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.do()
	}
}

// programs starts programs of several turns at random times, perSecond on average.
func (r *replay) programs(perSecond, turns int, period time.Duration) {
	for i := range int(float64(perSecond) * period.Seconds()) {
		id, shared, instance := fmt.Sprint("session-", i), fmt.Sprint("shared-", r.shared()), r.random.IntN(len(r.instances))
		r.at(r.now.Add(time.Duration(r.random.Int64N(int64(period)))), func() { r.turn(id, shared, instance, turns, turnTokens) })
	}
}

func (r *replay) turn(id, shared string, instance, left int, own int64) {
	if r.random.IntN(10) == 0 {
		// The client comes back on a connection to another instance.
		instance = r.random.IntN(len(r.instances))
	}
	f, began := r.instances[instance], r.now
	prompt := []placement.Part{{ID: shared, Tokens: sharedTokens}, {ID: id, Tokens: own}}
	c := Criteria{Service: "llm", Work: r.work(prompt), CacheTokens: modelCache}
	if c.Work.Route != "" {
		c.Preferred = r.owner[id]
	}
	b := f.Acquire(c)
	if r.random.Float64() < r.servers[b.ID].failing {
		r.failed++
		f.Release(b, true)
		return
	}
	first, end, read := r.servers[b.ID].run(r.now, prompt)
	r.read += read
	r.new += turnTokens
	r.at(first, func() { f.FirstEvent(b, 1) })
	r.at(end, func() {
		f.Completed(b, outputTokens)
		f.Release(b, false)
		r.servers[b.ID].kept.Grow(id, outputTokens)
		r.owner[id] = b.ID
		r.times = append(r.times, end.Sub(began))
		if left > 1 {
			think := time.Duration(20+r.random.IntN(200)) * time.Millisecond
			r.at(r.now.Add(think), func() { r.turn(id, shared, instance, left-1, own+outputTokens+turnTokens) })
		}
	})
}

// share lets instances exchange their loads with the first one at intervals until the period ends. Each response is late by
// delay. lost reports whether the holder is away.
func (r *replay) share(interval, delay, period time.Duration, lost func() bool) {
	var exchanges []*loadshare.Exchange
	metrics := loadshare.NewMetrics(prometheus.NewRegistry())
	for _, f := range r.instances {
		exchanges = append(exchanges, loadshare.NewExchange(f, func() time.Time { return r.now }, metrics))
	}
	for i, x := range exchanges {
		offset := time.Duration(r.random.Int64N(int64(interval)))
		for t := offset; t < period; t += interval {
			r.at(r.now.Add(t), func() {
				request, response := &turnv1.TakeRequest{Instance: fmt.Sprint(i)}, &turnv1.TakeResponse{}
				x.Report("holder", request)
				if lost != nil && lost() {
					x.ReportFailed(request)
					return
				}
				exchanges[0].Serve(request, response)
				r.at(r.now.Add(delay), func() { x.Learn(response) })
			})
		}
	}
}

// imbalance is the load of the busiest server as a multiple of the mean.
func (r *replay) imbalance() float64 {
	most, all := 0, 0
	for _, s := range r.servers {
		most, all = max(most, s.served), all+s.served
	}
	return float64(most) * float64(len(r.servers)) / float64(all)
}

// quantile of the times of turns.
func (r *replay) quantile(q float64) time.Duration {
	slices.Sort(r.times)
	return r.times[int(q*float64(len(r.times)-1))]
}

// ratio is the number of prompt tokens read for each new one.
func (r *replay) ratio() float64 { return float64(r.read) / float64(r.new) }

// maxReadRatio is the stated bound on the prompt tokens that are read for each new one.
const maxReadRatio = 1.5

// Load pattern: conversations whose whole prompt comes with each turn, at many instances, on a route without stored
// history.
func TestConversationsAreReadOnce(t *testing.T) {
	is := is.New(t)
	play := func(work func([]placement.Part) placement.Work) float64 {
		r := newReplay(40, 24, 16)
		if work != nil {
			r.work = work
		}
		r.programs(30, 8, 40*time.Second)
		r.run()
		return r.ratio()
	}
	byCost := play(nil)
	t.Logf("read for each new token: %.2f", byCost)
	is.True(byCost <= maxReadRatio)
	byCount := play(func([]placement.Part) placement.Work { return placement.Work{} })
	t.Logf("read for each new token by counts of requests: %.2f", byCount)
	is.True(byCount > maxReadRatio)
}

func placementFleet(servers int) *Fleet {
	f := New("dc-0", time.Second)
	for i := range servers {
		f.Upsert(Entry{ID: fmt.Sprintf("s-%05d", i), Service: "llm", DataCentre: fmt.Sprint("dc-", i%4), Slots: 16})
	}
	return f
}

func conversation(i int) Criteria {
	return Criteria{Service: "llm", CacheTokens: modelCache, Work: placement.Work{Route: "chat", Prompt: []placement.Part{
		{ID: fmt.Sprint("shared-", i%16), Tokens: sharedTokens}, {ID: fmt.Sprint("session-", i), Tokens: turnTokens},
	}}}
}

func TestRetryGoesToAnotherServer(t *testing.T) {
	is := is.New(t)
	f := placementFleet(3)
	c := conversation(1)
	for range 3 {
		b := f.Acquire(c)
		is.True(b != nil)
		c.Exclude = append(c.Exclude, b.ID)
		f.Release(b, true)
	}
	is.Equal(f.Acquire(c), nil)
}

func TestSubagentGoesWhereItsParentsConversationIs(t *testing.T) {
	is := is.New(t)
	f := placementFleet(40)
	parent := f.Acquire(conversation(5))
	is.Equal(parent.Decision().Reason, ReasonShared)
	f.Release(parent, false)
	c := conversation(5)
	c.Work.Prompt = append(c.Work.Prompt, placement.Part{ID: "child", Tokens: 300})
	child := f.Acquire(c)
	is.Equal(child.ID, parent.ID)
	is.Equal(child.Decision().Reason, ReasonSession)
	is.Equal(child.Decision().Read, int64(300))
}

func TestConversationLeavesAServerThatHasTooMuchToRead(t *testing.T) {
	is := is.New(t)
	f := placementFleet(8)
	first := f.Acquire(conversation(3))
	f.Release(first, false)
	is.Equal(f.Acquire(conversation(3)).ID, first.ID)
	f.byID[first.ID].reading += 10 * time.Second
	is.True(f.Acquire(conversation(3)).ID != first.ID)
}

func TestNothingIsLeftToDoOnceAllRequestsHaveEnded(t *testing.T) {
	is := is.New(t)
	f := placementFleet(6)
	var sent []*Backend
	for i := range 100 {
		sent = append(sent, f.Acquire(conversation(i)))
	}
	for i, b := range sent {
		switch i % 3 {
		case 0:
			f.FirstEvent(b, 1)
			f.Completed(b, 100)
			f.Release(b, false)
		case 1:
			f.Cancel(b)
		default:
			f.Release(b, true)
		}
	}
	for _, s := range f.byID {
		is.Equal(s.inFlight, 0)
		is.Equal(s.reading, time.Duration(0))
		is.Equal(s.left, time.Duration(0))
	}
}

// A server at its request limit is picked before a token for it is asked for.
func TestServerThatWasPassedOverIsNotExpectedToKeepThePrompt(t *testing.T) {
	is := is.New(t)
	f := placementFleet(40)
	c := conversation(5)
	first := f.Acquire(c)
	f.Release(first, false)
	c.Exclude = []string{first.ID}
	passed := f.Acquire(c)
	is.True(passed.ID != first.ID)
	f.Cancel(passed)
	is.Equal(f.byID[passed.ID].kept.Prefix(c.Work.Prompt, false), int64(0))
	again := f.Acquire(conversation(5))
	is.Equal(again.ID, first.ID)
	is.Equal(again.Decision().Read, int64(0))
	f.Cancel(again)
	// What it had before stays.
	is.Equal(f.byID[first.ID].kept.Prefix(c.Work.Prompt, false), int64(sharedTokens+turnTokens))
}

// Load pattern: servers that limit their requests; the wait for a token says nothing of their speed.
func TestWaitForATokenIsNotTheServersTime(t *testing.T) {
	is := is.New(t)
	f := placementFleet(1)
	now := time.Unix(1000, 0)
	f.now = func() time.Time { return now }
	for range 10 {
		b := f.Acquire(conversation(1))
		now = now.Add(20 * time.Millisecond)
		f.Sent(b)
		now = now.Add(100 * time.Millisecond)
		f.FirstEvent(b, 1)
		f.Completed(b, 10)
		f.Release(b, false)
	}
	is.Equal(f.Outlook(conversation(1)).Service.Round(time.Millisecond), 100*time.Millisecond)
}

// Load pattern: a client that states prompts of a size that no server holds.
func TestPromptOfAbsurdSizeCountsNoMoreThanAServersMemory(t *testing.T) {
	is := is.New(t)
	f := placementFleet(1)
	c := conversation(1)
	c.Work.Prompt[1].Tokens = 1 << 40
	b := f.Acquire(c)
	is.Equal(b.Decision().Read, int64(modelCache))
	is.True(f.byID[b.ID].reading <= f.placementOf("llm").costs.ReadTime(modelCache))
}

func TestOutlookTellsTheWaitAndTheTimeOfAService(t *testing.T) {
	is := is.New(t)
	f := placementFleet(2)
	f.random = rand.New(rand.NewPCG(1, 1)).IntN
	now := time.Unix(1000, 0)
	f.now = func() time.Time { return now }
	c := conversation(1)
	is.Equal(f.Outlook(c), placement.Outlook{Servers: 2, Places: 32, Free: 32})
	for i := range 40 {
		b := f.Acquire(conversation(i))
		now = now.Add(100 * time.Millisecond)
		f.FirstEvent(b, 27)
		now = now.Add(300 * time.Millisecond)
		f.Completed(b, 270)
		f.Release(b, false)
	}
	for i := range 60 {
		f.FirstEvent(f.Acquire(conversation(i)), 27)
	}
	o := f.Outlook(c)
	is.Equal(o.Free, 0)
	is.True(o.Service > 390*time.Millisecond && o.Service < 410*time.Millisecond)
	is.True(o.Wait > 100*time.Millisecond && o.Wait < time.Second)
}

func benchmarkAcquire(b *testing.B, servers int) {
	f := placementFleet(servers)
	requests := make([]Criteria, 512)
	for i := range requests {
		requests[i] = conversation(i)
		f.Release(f.Acquire(requests[i]), false)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		f.Release(f.Acquire(requests[i%len(requests)]), false)
	}
}

func BenchmarkAcquireAmong60Servers(b *testing.B)    { benchmarkAcquire(b, 60) }
func BenchmarkAcquireAmong10000Servers(b *testing.B) { benchmarkAcquire(b, 10_000) }

func TestAbsurdRequestsArePlaced(t *testing.T) {
	is := is.New(t)
	f := placementFleet(5)
	for i, c := range []Criteria{
		{Service: "llm", Work: placement.Work{Route: "r", Prompt: []placement.Part{{}}}},
		{Service: "llm", Work: placement.Work{Route: "r", Prompt: []placement.Part{{ID: "a", Tokens: math.MinInt64}, {ID: "a", Tokens: math.MaxInt64}}}},
		{Service: "llm", CacheTokens: -5, Preferred: "none", Work: placement.Work{Route: "r", OutputHint: math.MaxInt64, MaxOutput: math.MinInt64, Prompt: make([]placement.Part, 5000)}},
		{Service: "llm", CacheTokens: 1, Work: placement.Work{Route: "r", OutputHint: math.MinInt64, Prompt: []placement.Part{{ID: "a", Tokens: 1 << 40}}}},
	} {
		b := f.Acquire(c)
		is.True(b != nil)
		f.FirstEvent(b, math.MaxInt64)
		f.Completed(b, math.MinInt64)
		f.Release(b, i%2 == 0)
		is.Equal(b.server.left, time.Duration(0))
	}
	is.Equal(f.Acquire(Criteria{Service: "none", Work: placement.Work{Route: "r", Prompt: []placement.Part{{ID: "a"}}}}), nil)
}
