package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func TestPartIsOfUseOnlyIfAllBeforeItAreKept(t *testing.T) {
	is := is.New(t)
	var k Kept
	prompt := []Part{{"shared", 1000}, {"session", 200}}
	is.Equal(k.Prefix(prompt, false), int64(0))
	is.Equal(k.Prefix(prompt, true), int64(1000))
	k.Use(prompt, 10_000, 1)
	is.Equal(k.Prefix(prompt, false), int64(1200))
	is.Equal(k.Prefix([]Part{{"other", 500}, {"session", 200}}, false), int64(0))
	k.Grow("session", 50)
	is.Equal(k.Prefix([]Part{{"shared", 1000}, {"session", 300}}, false), int64(1250))
	is.Equal(k.Prefix([]Part{{"shared", 1000}, {"session", 300}, {"child", 10}}, false), int64(1250))
}

func TestLeastRecentlyUsedPartsGoFirst(t *testing.T) {
	is := is.New(t)
	var k Kept
	k.Use([]Part{{"shared", 600}, {"a", 300}}, 1300, 1)
	k.Use([]Part{{"shared", 600}, {"b", 300}}, 1300, 1)
	is.True(k.Has("a") && k.Has("b"))
	k.Use([]Part{{"shared", 600}, {"c", 300}}, 1300, 1)
	is.True(!k.Has("a"))
	is.True(k.Has("shared") && k.Has("b") && k.Has("c"))
}

func TestAbsurdPromptsAreBounded(t *testing.T) {
	is := is.New(t)
	var k Kept
	var prompt []Part
	for i := range 5000 {
		prompt = append(prompt, Part{fmt.Sprint(i), math.MaxInt64})
	}
	prompt = append(prompt, Part{"negative", math.MinInt64})
	k.Use(prompt, 0, 1)
	is.True(len(k.byID) <= maxKeptParts)
	is.True(k.tokens > 0)
	is.True(k.Prefix(prompt, true) <= maxTokens)
	k.Grow("0", math.MaxInt64)
	is.True(k.tokens > 0)
	k.Use(prompt, 100, 1)
	is.Equal(k.order.Len(), 0)
	w := Work{Route: "r", Prompt: prompt, OutputHint: math.MaxInt64, MaxOutput: math.MaxInt64}
	e := NewCosts().Estimate(w)
	is.True(e.Read > 0 && e.Generate > 0)
	is.True(Completion(Load{Requests: math.MaxInt32, Slots: -1, Reading: e.Read}, e.Read, e.Generate, time.Hour, 1, true) > 0)
}

func TestReadingRateIsLearnedFromFirstEvents(t *testing.T) {
	is := is.New(t)
	c := NewCosts()
	for i := range 100 {
		read := int64(i%5) * 3000
		c.ObserveFirstEvent(read, 8*time.Millisecond+time.Duration(read)*time.Millisecond/100)
	}
	got := c.ReadTime(10_000)
	is.True(got > 95*time.Millisecond && got < 105*time.Millisecond)
	for range 100 {
		c.ObserveFirstEvent(3000, time.Hour)
	}
	is.True(c.ReadTime(10_000) <= 400*time.Millisecond)
}

func TestOutputFollowsTheHintCorrectedByTheErrorOfTheRoute(t *testing.T) {
	is := is.New(t)
	c := NewCosts()
	work := func(hint int64) Work {
		return Work{Route: "r", Prompt: []Part{{"a", 10}}, OutputHint: hint, MaxOutput: 4000}
	}
	is.Equal(c.Estimate(work(100)).Output, int64(100))
	for i := range 50 {
		n := int64(100 + i%100)
		c.ObserveOutput(work(n), 2*n, 2*n-27, time.Duration(2*n-27)*time.Millisecond, float64(i%10)/10, start)
	}
	e := c.Estimate(work(150))
	is.True(e.Sure)
	is.True(e.Output > 270 && e.Output < 330)
	is.True(e.Generate > 250*time.Millisecond && e.Generate < 350*time.Millisecond)
	is.True(c.Estimate(work(150_000)).Output < 1000)
}

func TestRoutesAreBoundedAndForgotten(t *testing.T) {
	is := is.New(t)
	c := NewCosts()
	for i := range 3 * maxRoutes {
		c.ObserveCall(Work{Route: fmt.Sprint(i)}, time.Second, start.Add(time.Duration(i)*time.Second))
	}
	is.Equal(len(c.routes), maxRoutes)
	is.Equal(c.Estimate(Work{Route: "0"}).Generate, defaultCallTime)
	w := Work{Route: fmt.Sprint(3*maxRoutes - 1)}
	is.Equal(c.Estimate(w).Generate, time.Second)
	c.ObserveCall(w, time.Millisecond, start.Add(time.Hour))
	is.Equal(c.Estimate(w).Generate, time.Millisecond)
}

func TestSharedPartGetsServersInProportionToItsLoad(t *testing.T) {
	is := is.New(t)
	const capacity, tokens = 350_000, 12_600
	members := func() []string { return names(48) }
	a, b := NewHomes(), NewHomes()
	for i := range 2000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		for _, h := range []*Homes{a, b} {
			if i%4 > 0 {
				h.Observe(Part{"hot", tokens}, true, capacity, now)
			} else {
				h.Observe(Part{fmt.Sprint("cold", i%60), tokens}, true, capacity, now)
			}
		}
	}
	hot, cold := a.Of("dc", Part{"hot", tokens}, members), a.Of("dc", Part{"cold4", tokens}, members)
	is.Equal(hot, b.Of("dc", Part{"hot", tokens}, members))
	is.True(len(hot) > 40)
	is.True(len(cold) >= minHomes && len(cold) < 12)
	is.Equal(len(a.Of("dc", Part{"unseen", tokens}, members)), minHomes)
	a.MembersChanged()
	is.Equal(len(a.Of("dc", Part{"hot", tokens}, func() []string { return names(1) })), 1)
}

// Load pattern: instances that have seen few requests of parts that all fit into every server.
func TestPartsThatAllFitGetAllServersAfterFewConversations(t *testing.T) {
	is := is.New(t)
	const capacity, tokens = 310_000, 12_600
	few, many := NewHomes(), NewHomes()
	for i := range 12 {
		few.Observe(Part{fmt.Sprint(i % 6), tokens}, true, capacity, start)
		many.Observe(Part{fmt.Sprint(i), tokens}, true, capacity, start)
	}
	members := func() []string { return names(20) }
	is.True(len(few.Of("dc", Part{"3", tokens}, members)) >= 18)
	is.Equal(len(many.Of("dc", Part{"3", tokens}, members)), minHomes)
}

func TestLossOfAServerMovesNoOtherHome(t *testing.T) {
	is := is.New(t)
	before := rank("part", names(20))
	after := rank("part", append(names(20)[:7:7], names(20)[8:]...))
	var kept []string
	for _, id := range before {
		if id != names(20)[7] {
			kept = append(kept, id)
		}
	}
	is.Equal(after, kept)
}

func TestPartsOfHomesAreBounded(t *testing.T) {
	is := is.New(t)
	h := NewHomes()
	for i := range 5000 {
		h.Observe(Part{fmt.Sprint(i), math.MaxInt64}, true, 1, start)
		h.Of("dc", Part{fmt.Sprint(i), 1}, func() []string { return names(3) })
	}
	is.True(len(h.parts) <= maxPopularParts)
	is.True(len(h.ranks) <= maxPopularParts)
	h.Observe(Part{"later", 1}, true, 1, start.Add(time.Hour))
	is.Equal(len(h.parts), 1)
}

func TestSlownessIsEvidenceThatFades(t *testing.T) {
	is := is.New(t)
	var s Speed
	is.Equal(s.Slowness(start), 1.0)
	s.Observe(1000, start)
	is.True(s.Slowness(start) < 2.1)
	for range 50 {
		s.Observe(2, start)
	}
	is.True(s.Slowness(start) > 1.6)
	is.True(s.Slowness(start.Add(2*time.Minute)) < 1.1)
}

func TestServersOfNearlyEqualSpeedCountAlike(t *testing.T) {
	is := is.New(t)
	var fast, slow Speed
	for range 50 {
		fast.Observe(0.85, start)
		slow.Observe(1.15, start)
	}
	is.Equal(fast.Slowness(start), 1.0)
	is.Equal(slow.Slowness(start), 1.0)
}

func TestSessionsAreBounded(t *testing.T) {
	is := is.New(t)
	var s Sessions
	for i := range 5 * sessionsPerGeneration {
		s.Put(fmt.Sprint(i), "a")
	}
	is.True(len(s.young)+len(s.old) <= 2*sessionsPerGeneration)
	is.Equal(s.Get(fmt.Sprint(5*sessionsPerGeneration-1)), "a")
	is.Equal(s.Get("0"), "")
}

func TestReadingCostsMoreWhereMoreIsRunning(t *testing.T) {
	is := is.New(t)
	idle, busy := Load{Slots: 16, Slowness: 1}, Load{Requests: 8, Slots: 16, Slowness: 1}
	const generate, service = 400 * time.Millisecond, 500 * time.Millisecond
	// A conversation stays at a busy server, since to read it again delays what another one runs.
	is.True(Completion(busy, 0, generate, service, 0.5, false) < Completion(Load{Requests: 4, Slots: 16, Slowness: 1}, 120*time.Millisecond, generate, service, 0.5, false))
	// It leaves a server where it would wait for longer than that.
	full := Load{Requests: 40, Slots: 16, Slowness: 1}
	is.True(Completion(full, 0, generate, service, 0.5, false) > Completion(idle, 120*time.Millisecond, generate, service, 0.5, false))
}

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("s-%04d", i)
	}
	return out
}

func TestRequestsThatAreNotSentDoNotMakeAPartPopular(t *testing.T) {
	is := is.New(t)
	h, now := NewHomes(), time.Unix(1000, 0)
	part := Part{ID: "a", Tokens: 1000}
	h.Observe(part, true, 100_000, now)
	before := *h.parts["a"]
	for range 5 {
		h.Observe(part, true, 100_000, now)
		h.TakeBack(part, true)
	}
	is.Equal(h.parts["a"].weight, before.weight)
	is.Equal(h.parts["a"].conversations, before.conversations)
	is.Equal(h.total, 1.0)
	is.Equal(h.conversations, 1)
	h.TakeBack(Part{ID: "unknown"}, true)
	is.Equal(h.conversations, 1)
}
