package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"sort"
	"time"

	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// Service-time model of one engine.
const (
	simBatch       = 8
	simKV          = 120_000   // tokens
	simPrefill     = 1.0 / 8e3 // seconds per uncached token
	simDecode      = 0.002     // seconds per token alone in the batch
	simSlowdown    = 0.5       // slower by this part in a full batch
	simEngines     = 6
	simReportEvery = 200 * time.Millisecond
)

// simLoad describes one run.
type simLoad struct {
	seed       int64
	span       time.Duration // programs arrive for this long
	load       float64       // of the engines' capacity with every prefix cached
	aggressor  float64       // factor on the rate of account 7
	objective  framework.Objective
	longPrompt float64 // factor on new tokens of a turn
	kv         int64   // tokens of cache of an engine; 0 means simKV
}

type simResult struct {
	p50, p95, p99  float64 // seconds, all programs
	p95ByAccount   map[string]float64
	wasted         float64 // recomputed prefix tokens over prompt tokens
	refusals       int
	calls          int
	worstQueueWait time.Duration
}

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type simHeap []simEvent

func (h simHeap) Len() int { return len(h) }
func (h simHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq)
}
func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type simEngine struct {
	addr    string
	kv      int64
	running int
	active  int64 // tokens of the running calls
	queue   []simQueued
	cache   map[string]int64
	used    map[string]time.Time
}

func (e *simEngine) store(now time.Time, key string, tokens int64) {
	e.cache[key], e.used[key] = tokens, now
	for e.held() > e.kv {
		oldest := ""
		for k := range e.cache {
			if oldest == "" || e.used[k].Before(e.used[oldest]) || (e.used[k].Equal(e.used[oldest]) && k < oldest) {
				oldest = k
			}
		}
		delete(e.cache, oldest)
	}
}

type simQueued struct {
	tokens int64
	start  func()
}

// fits reports whether a call of that many tokens can join the batch: running calls need their memory.
func (e *simEngine) fits(tokens int64) bool {
	return e.running < simBatch && (e.running == 0 || e.active+tokens <= e.kv)
}

// admit starts queued calls in order, as long as they fit.
func (e *simEngine) admit() {
	for len(e.queue) > 0 && e.fits(e.queue[0].tokens) {
		next := e.queue[0]
		e.queue = e.queue[1:]
		next.start()
	}
}

func (e *simEngine) held() (sum int64) {
	for _, n := range e.cache {
		sum += n
	}
	return sum
}

type simTurn struct {
	fresh, out int64
	pause      time.Duration
	subAgent   bool
}

type simProgram struct {
	name, account string
	weight        float64
	began         time.Time
	turns         []simTurn
	turn          int
	prefix        int64
	subPrefix     int64
}

type sim struct {
	l       simLoad
	now     time.Time
	events  simHeap
	seq     int
	g       *Group
	engines map[string]*simEngine
	waiting map[string]*simProgram
	rand    *rand.Rand
	res     simResult
	lat     map[string][]float64
	prompt  int64
	again   int64
	open    int
}

func runSim(s framework.Settings, l simLoad) simResult {
	s.Objective = l.objective
	if l.kv == 0 {
		l.kv = simKV
	}
	v := &sim{
		l: l, now: time.Unix(0, 0), g: New(s), engines: map[string]*simEngine{},
		waiting: map[string]*simProgram{}, rand: rand.New(rand.NewSource(l.seed)), lat: map[string][]float64{},
	}
	var specs []framework.EngineSpec
	for i := range simEngines {
		a := fmt.Sprintf("e%d", i)
		specs = append(specs, framework.EngineSpec{Address: a})
		v.engines[a] = &simEngine{addr: a, kv: l.kv, cache: map[string]int64{}, used: map[string]time.Time{}}
	}
	v.g.SetEngines(v.now, specs)
	v.arrivals()
	v.at(0, v.tick)
	for len(v.events) > 0 && v.open > 0 {
		e := heap.Pop(&v.events).(simEvent)
		v.now = e.at
		e.run()
	}
	return v.result()
}

func (v *sim) at(d time.Duration, f func()) {
	v.seq++
	heap.Push(&v.events, simEvent{v.now.Add(d), v.seq, f})
}

// arrivals draws all programs ahead, so that every policy meets the same ones.
func (v *sim) arrivals() {
	shares := []float64{0.3, 0.2, 0.15, 0.1, 0.08, 0.07, 0.05, 0.05}
	var probe float64
	for range 4000 {
		for _, t := range v.shape() {
			probe += v.slotSeconds(t) / 4000
		}
	}
	total := v.l.load * simEngines * simBatch / probe // programs per second
	for i, share := range shares {
		rate := total * share
		if i == 7 && v.l.aggressor > 0 {
			rate *= v.l.aggressor
		}
		r := rand.New(rand.NewSource(v.l.seed*100 + int64(i)))
		v.rand = r
		for t := r.ExpFloat64() / rate; t < v.l.span.Seconds(); t += r.ExpFloat64() / rate {
			p := &simProgram{name: fmt.Sprintf("p%d-%.6f", i, t), account: fmt.Sprintf("a%d", i), weight: share, turns: v.shape()}
			v.open++
			v.at(time.Duration(t*float64(time.Second)), func() { p.began = v.now; v.submit(p, nil) })
		}
	}
}

// shape draws a chain with a heavy tail of turns, growing history, pauses and some turns of sub-agents.
func (v *sim) shape() []simTurn {
	n := int(min(24, 1+math.Floor(2*math.Pow(1-v.rand.Float64(), -0.8))))
	turns := make([]simTurn, n)
	for i := range turns {
		turns[i] = simTurn{
			fresh:    int64((200 + 1200*v.rand.Float64()) * max(1, v.l.longPrompt)),
			out:      int64(40 + 160*v.rand.Float64()),
			pause:    time.Duration(v.rand.ExpFloat64() * 0.8 * float64(time.Second)),
			subAgent: i > 0 && v.rand.Float64() < 0.15,
		}
	}
	return turns
}

func (v *sim) slotSeconds(t simTurn) float64 {
	return float64(t.fresh)*simPrefill + float64(t.out)*simDecode*(1+simSlowdown)
}

func (v *sim) submit(p *simProgram, avoid []string) {
	t := p.turns[p.turn]
	c := framework.Call{
		ID: fmt.Sprintf("%s/%d", p.name, p.turn), Program: p.name, Account: p.account, Weight: p.weight, Turn: p.turn,
		PrefixTokens: p.prefix, NewTokens: t.fresh, ExpectedOutput: 120, Avoid: avoid,
	}
	if t.subAgent {
		c.Program, c.Root, c.PrefixTokens = p.name+"/s", p.name, p.subPrefix
	}
	if err := v.g.Submit(v.now, c); err != nil {
		v.res.refusals++
		v.at(max(10*time.Millisecond, err.RetryAfter), func() { v.submit(p, avoid) })
		return
	}
	v.waiting[c.ID] = p
	v.decide()
}

func (v *sim) decide() {
	d := v.g.Decide(v.now)
	for _, r := range d.Refusals {
		p := v.waiting[r.CallID]
		delete(v.waiting, r.CallID)
		v.res.refusals++
		v.at(max(10*time.Millisecond, r.Err.RetryAfter), func() { v.submit(p, nil) })
	}
	for _, g := range d.Grants {
		v.res.worstQueueWait = max(v.res.worstQueueWait, g.QueueWait)
		p := v.waiting[g.CallID]
		delete(v.waiting, g.CallID)
		e := v.engines[g.Engine]
		t := p.turns[p.turn]
		tokens := p.prefix + t.fresh + t.out
		if t.subAgent {
			tokens += p.subPrefix - p.prefix
		}
		e.queue = append(e.queue, simQueued{tokens, func() { v.start(e, p, g.CallID, tokens) }})
		e.admit()
	}
}

func (v *sim) start(e *simEngine, p *simProgram, id string, tokens int64) {
	e.running++
	e.active += tokens
	t, key, prefix := p.turns[p.turn], p.name, &p.prefix
	if t.subAgent {
		key, prefix = p.name+"/s", &p.subPrefix
	}
	cached := min(e.cache[key], *prefix)
	v.res.calls++
	v.prompt += *prefix + t.fresh
	v.again += *prefix - cached
	first := float64(*prefix-cached+t.fresh) * simPrefill
	rest := float64(t.out) * simDecode * (1 + simSlowdown*float64(e.running)/simBatch)
	v.at(secondsOf(first), func() { v.g.Progress(v.now, id) })
	v.at(secondsOf(first+rest), func() {
		e.running--
		e.active -= tokens
		prompt := *prefix + t.fresh
		*prefix = prompt + t.out
		e.store(v.now, key, *prefix)
		v.g.Done(v.now, id, framework.Outcome{Kind: framework.OK, PromptTokens: prompt, CachedTokens: cached, CompletionTokens: t.out})
		e.admit()
		v.finish(p, t)
		v.decide()
	})
}

func secondsOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (v *sim) finish(p *simProgram, t simTurn) {
	if p.turn++; p.turn < len(p.turns) {
		v.at(t.pause, func() { v.submit(p, nil) })
		return
	}
	v.open--
	v.lat[p.account] = append(v.lat[p.account], v.now.Sub(p.began).Seconds())
	v.g.EndProgram(v.now, p.name)
}

// tick sends load reports, which lag by one interval, and applies release orders.
func (v *sim) tick() {
	for a, e := range v.engines {
		report := framework.Load{Running: e.running, Waiting: len(e.queue), KVUsedTokens: e.held(), KVCapacityTokens: e.kv}
		v.at(simReportEvery, func() { v.g.ObserveLoad(v.now, a, report) })
	}
	for _, r := range v.g.Releases(v.now) {
		for _, k := range r.Keys {
			delete(v.engines[r.Engine].cache, k)
		}
	}
	v.decide()
	v.at(simReportEvery, v.tick)
}

func (v *sim) result() simResult {
	var all []float64
	v.res.p95ByAccount = map[string]float64{}
	for a, l := range v.lat {
		all = append(all, l...)
		v.res.p95ByAccount[a] = percentile(l, 0.95)
	}
	v.res.p50, v.res.p95, v.res.p99 = percentile(all, 0.5), percentile(all, 0.95), percentile(all, 0.99)
	v.res.wasted = float64(v.again) / float64(max(1, v.prompt))
	return v.res
}

func percentile(x []float64, q float64) float64 {
	sort.Float64s(x)
	return x[min(len(x)-1, int(q*float64(len(x))))]
}
