package scheduler

import (
	"fmt"
	"math/rand"
	"slices"
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
	seed      int64
	span      time.Duration // programs arrive for this long
	load      float64       // of the engines' capacity with every prefix cached
	aggressor float64       // factor on the rate of account loud; 0 means none
	loud      int
	kv        int64 // tokens of cache of an engine; 0 means simKV
}

type simResult struct {
	p50, p95, p99 float64 // seconds, all programs
	p95ByAccount  map[string]float64
	wasted        float64 // recomputed prefix tokens over prompt tokens
	refusals      int
}

type simEvent struct {
	at  time.Time
	run func()
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

type sim struct {
	l       simLoad
	now     time.Time
	events  []simEvent // in order of time, then of insertion
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
		e := v.events[0]
		v.events = v.events[1:]
		v.now = e.at
		e.run()
	}
	return v.result()
}

func (v *sim) at(d time.Duration, f func()) {
	t := v.now.Add(d)
	i := sort.Search(len(v.events), func(i int) bool { return v.events[i].at.After(t) })
	v.events = slices.Insert(v.events, i, simEvent{t, f})
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
