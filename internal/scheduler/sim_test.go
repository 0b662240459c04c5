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
	simSlowdown    = 0.5       // relative slowdown in a full batch
	simEngines     = 6
	simReportEvery = 200 * time.Millisecond
)

// simLoad describes one run.
type simLoad struct {
	seed             int64
	span             time.Duration // time during which programs arrive
	load             float64       // fraction of the engines' capacity when every prefix is cached
	aggressorFactor  float64       // factor on the rate of aggressorAccount; 0 means none
	aggressorAccount int
	kv               int64 // cache size of an engine in tokens; 0 means simKV
}

type simResult struct {
	p50, p95, p99 float64 // seconds, all programs
	p95ByAccount  map[string]float64
	wasted        float64 // recomputed prefix tokens as a fraction of prompt tokens
	refusals      int
}

type simEvent struct {
	at  time.Time
	run func()
}

type simEngine struct {
	addr         string
	kv           int64
	running      int
	activeTokens int64 // tokens of the running calls
	queue        []simQueued
	cache        map[string]int64
	lastUse      map[string]time.Time
}

func (e *simEngine) store(now time.Time, key string, tokens int64) {
	e.cache[key], e.lastUse[key] = tokens, now
	for e.held() > e.kv {
		oldest := ""
		for k := range e.cache {
			if oldest == "" || e.lastUse[k].Before(e.lastUse[oldest]) || (e.lastUse[k].Equal(e.lastUse[oldest]) && k < oldest) {
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

// fits reports whether a call of the given number of tokens can join the batch; the memory of running calls cannot be
// evicted.
func (e *simEngine) fits(tokens int64) bool {
	return e.running < simBatch && (e.running == 0 || e.activeTokens+tokens <= e.kv)
}

// admit starts queued calls in order while they fit.
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
	workload         simLoad
	now              time.Time
	events           []simEvent // in order of time, then of insertion
	g                *Group
	engines          map[string]*simEngine
	waiting          map[string]*simProgram
	rand             *rand.Rand
	stats            simResult
	latencies        map[string][]float64
	promptTokens     int64
	recomputedTokens int64
	unfinished       int
}

func runSim(s framework.Settings, workload simLoad) simResult {
	if workload.kv == 0 {
		workload.kv = simKV
	}
	v := &sim{
		workload: workload, now: time.Unix(0, 0), g: New(s), engines: map[string]*simEngine{},
		waiting: map[string]*simProgram{}, rand: rand.New(rand.NewSource(workload.seed)), latencies: map[string][]float64{},
	}
	var specs []framework.EngineSpec
	for i := range simEngines {
		a := fmt.Sprintf("e%d", i)
		specs = append(specs, framework.EngineSpec{Address: a})
		v.engines[a] = &simEngine{addr: a, kv: workload.kv, cache: map[string]int64{}, lastUse: map[string]time.Time{}}
	}
	v.g.SetEngines(v.now, specs)
	v.arrivals()
	v.at(0, v.tick)
	for len(v.events) > 0 && v.unfinished > 0 {
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
		ID: fmt.Sprintf("%s/%d", p.name, p.turn), Program: p.name, Account: p.account, Weight: p.weight,
		CompletedTurns: p.turn,
		PrefixTokens:   p.prefix, NewTokens: t.newTokens, ExpectedOutput: 120, FailedEngines: avoid,
	}
	if t.subAgent {
		c.Program, c.Root, c.PrefixTokens = p.name+"/s", p.name, p.subPrefix
	}
	if err := v.g.Submit(v.now, c); err != nil {
		v.stats.refusals++
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
		v.stats.refusals++
		v.at(max(10*time.Millisecond, r.Err.RetryAfter), func() { v.submit(p, nil) })
	}
	for _, g := range d.Grants {
		p := v.waiting[g.CallID]
		delete(v.waiting, g.CallID)
		e := v.engines[g.Engine]
		t := p.turns[p.turn]
		tokens := p.prefix + t.newTokens + t.outputTokens
		if t.subAgent {
			tokens += p.subPrefix - p.prefix
		}
		e.queue = append(e.queue, simQueued{tokens, func() { v.start(e, p, g.CallID, tokens) }})
		e.admit()
	}
}

func (v *sim) start(e *simEngine, p *simProgram, id string, tokens int64) {
	e.running++
	e.activeTokens += tokens
	t, key, prefix := p.turns[p.turn], p.name, &p.prefix
	if t.subAgent {
		key, prefix = p.name+"/s", &p.subPrefix
	}
	cached := min(e.cache[key], *prefix)
	v.promptTokens += *prefix + t.newTokens
	v.recomputedTokens += *prefix - cached
	first := float64(*prefix-cached+t.newTokens) * simPrefill
	rest := float64(t.outputTokens) * simDecode * (1 + simSlowdown*float64(e.running)/simBatch)
	v.at(secondsOf(first), func() { v.g.Progress(v.now, id) })
	v.at(secondsOf(first+rest), func() {
		e.running--
		e.activeTokens -= tokens
		prompt := *prefix + t.newTokens
		*prefix = prompt + t.outputTokens
		e.store(v.now, key, *prefix)
		v.g.Done(v.now, id, framework.Outcome{Kind: framework.OK, PromptTokens: prompt, CachedTokens: cached, CompletionTokens: t.outputTokens})
		e.admit()
		v.finish(p, t)
		v.decide()
	})
}

func secondsOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (v *sim) finish(p *simProgram, turn simTurn) {
	if p.turn++; p.turn < len(p.turns) {
		v.at(turn.thinkTime, func() { v.submit(p, nil) })
		return
	}
	v.unfinished--
	v.latencies[p.account] = append(v.latencies[p.account], v.now.Sub(p.started).Seconds())
	v.g.EndProgram(v.now, p.name)
}

// tick sends load reports, delayed by one interval, and applies release orders.
func (v *sim) tick() {
	for a, e := range v.engines {
		report := framework.LoadReport{Running: e.running, Waiting: len(e.queue), KVUsedTokens: e.held(),
			KVCapacityTokens: e.kv}
		v.at(simReportEvery, func() { v.g.ObserveLoad(v.now, a, report) })
	}
	for _, r := range v.g.DueReleases(v.now) {
		for _, k := range r.Keys {
			delete(v.engines[r.Engine].cache, k)
		}
	}
	v.decide()
	v.at(simReportEvery, v.tick)
}

func (v *sim) result() simResult {
	var all []float64
	v.stats.p95ByAccount = map[string]float64{}
	for a, l := range v.latencies {
		all = append(all, l...)
		v.stats.p95ByAccount[a] = percentile(l, 0.95)
	}
	v.stats.p50, v.stats.p95, v.stats.p99 = percentile(all, 0.5), percentile(all, 0.95), percentile(all, 0.99)
	v.stats.wasted = float64(v.recomputedTokens) / float64(max(1, v.promptTokens))
	return v.stats
}

func percentile(x []float64, q float64) float64 {
	sort.Float64s(x)
	return x[min(len(x)-1, int(q*float64(len(x))))]
}
