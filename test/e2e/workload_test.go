package e2e

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylpond/berylpond/internal/fakes/engine"
)

const (
	// memoryReleaseTimeout is the target for the release of an ended program's engine memory.
	memoryReleaseTimeout = 10 * time.Second
	// recoveryTimeout bounds the wait for a program's next turn after a fault has ended.
	recoveryTimeout = 20 * time.Second
	notRun          = "not-run"
	turnTokens      = 12
	// maxTurns keeps programs below their token budget.
	maxTurns = 40
)

// workload runs programs, requests that must not be repeated, and single calls at every instance. It compares the
// results that callers received with the requests that the fakes recorded.
type workload struct {
	s    *site
	c    *caller
	name string
	quit chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	problems []string
	programs []*programRun
	effects  []*effectRun
	// notRunMessages holds messages whose calls were all refused with not-run.
	notRunMessages []string
	completed      int
	endedPrograms  []string
	// unknownReasons describes the results of calls that may have run.
	unknownReasons []string
	// slowest holds the longest response time by instance, status and reason.
	slowest map[string]time.Duration
}

// programRun is the caller's state of one program.
type programRun struct {
	programRef
	index int
	turns int
	// unknownCalls holds the contents of calls on the current head that may have run.
	unknownCalls []string
	attempts     int
}

// effectRun is the caller's state of one request that must not be repeated.
type effectRun struct {
	key     string
	mu      sync.Mutex
	done    bool
	unknown bool
}

// startWorkload starts n programs, (n+1)/2 senders of effects and one sender of single calls.
func (s *site) startWorkload(name string, n int) *workload {
	w := &workload{s: s, c: s.caller("big"), name: name, quit: make(chan struct{}), slowest: map[string]time.Duration{}}
	w.c.onResult = w.recordResult
	for i := range n {
		p := &programRun{index: i}
		w.programs = append(w.programs, p)
		w.runLoop(func(r *rand.Rand) { w.step(p, r) }, uint64(i))
	}
	for i := range (n + 1) / 2 {
		w.runLoop(func(r *rand.Rand) { w.effect(r) }, uint64(100+i))
	}
	w.runLoop(func(r *rand.Rand) { w.singleCall(r) }, 200)
	return w
}

func (w *workload) runLoop(step func(*rand.Rand), seed uint64) {
	w.wg.Go(func() {
		r := rand.New(rand.NewPCG(seed, 1))
		for {
			select {
			case <-w.quit:
				return
			case <-time.After(5 * time.Millisecond):
				step(r)
			}
		}
	})
}

func (w *workload) reportf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

// recordResult records the response time and reports a client timeout as a problem.
func (w *workload) recordResult(in *instance, res callResult) {
	var netErr net.Error
	if errors.As(res.err, &netErr) && netErr.Timeout() {
		w.reportf("a call at %s timed out without a final response: %v", in.id, res.err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	kind := fmt.Sprintf("%s %d %s", in.id, res.status, res.reason)
	w.slowest[kind] = max(w.slowest[kind], res.elapsed.Round(10*time.Millisecond))
}

// completedCalls returns the number of turns with a complete response so far.
func (w *workload) completedCalls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.completed
}

// recordUnknown records the result of a call whose outcome is unknown. A refused connection has had no effect, and the
// outcome of a duplicate request is that of the request already running.
func (w *workload) recordUnknown(res callResult) {
	if res.verdict == notRun || res.reason == "duplicate_request" || errors.Is(res.err, syscall.ECONNREFUSED) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unknownReasons = append(w.unknownReasons, fmt.Sprintf("%d %s %s %v", res.status, res.verdict, res.reason, res.err))
}

// pickInstance returns a random instance to which the platform's load balancer would route a call.
func (w *workload) pickInstance(r *rand.Rand) *instance {
	for {
		if in := w.s.instances[r.IntN(len(w.s.instances))]; !in.unhealthy.Load() {
			return in
		}
	}
}

// step makes the program's next call, creates the program, or ends it after maxTurns turns. It reports whether a turn
// was completed.
func (w *workload) step(p *programRun, r *rand.Rand) bool {
	if p.id == "" {
		in := w.pickInstance(r)
		if w.s.homeDataCentre != "" && in.dc != w.s.homeDataCentre {
			return false
		}
		p.programRef, _ = w.c.createProgram(in, map[string]int{"tokens": 2_000_000, "calls": 1000})
		return false
	}
	if len(p.unknownCalls) > 0 {
		return w.retryUnknown(p, r)
	}
	if p.turns >= maxTurns {
		if w.c.do(w.pickInstance(r), http.MethodDelete, "/v1/programs/"+p.id, nil, nil).status == http.StatusOK {
			w.mu.Lock()
			w.endedPrograms = append(w.endedPrograms, p.id)
			w.mu.Unlock()
			p.id, p.turns = "", 0
		}
		return false
	}
	p.attempts++
	content := fmt.Sprintf("%s-p%d-t%d-a%d", w.name, p.index, p.turns, p.attempts)
	if r.IntN(8) == 0 {
		return w.concurrentTurns(p, content, r)
	}
	return w.turn(p, content, r)
}

// useStream decides from the content whether a call is streamed, so that a retried call uses the same mode.
func useStream(content string) bool { return len(content)%2 == 0 }

// turn makes one call on the program's head. It reports whether the turn was completed.
func (w *workload) turn(p *programRun, content string, r *rand.Rand) bool {
	res := w.c.turn(w.pickInstance(r), &p.programRef, content, useStream(content))
	return w.checkResult(p, content, res)
}

// checkResult checks the result of a call with the given content and updates the program. It reports whether the turn
// was completed.
func (w *workload) checkResult(p *programRun, content string, res callResult) bool {
	want := fmt.Sprintf("/%d]", 2*p.turns+1)
	expected := engine.ResponseText([]engine.Message{{Role: "user", Content: content}}, turnTokens)
	digest := expected[:strings.Index(expected, "/")]
	if res.text != "" && !strings.HasPrefix(res.text, digest) {
		w.reportf("program %d turn %d: response %q belongs to another message than %q", p.index, p.turns, res.text, content)
	}
	switch {
	case res.complete:
		if !strings.Contains(res.text, want) {
			w.reportf("program %d turn %d: response %q does not contain the message count %q", p.index, p.turns, res.text, want)
		}
		if got, tail := res.text[strings.Index(res.text, "]")+1:], expected[strings.Index(expected, "]")+1:]; got != tail {
			w.reportf("program %d turn %d: response is marked complete but truncated: %q", p.index, p.turns, res.text)
		}
		p.turns, p.unknownCalls = p.turns+1, nil
		w.mu.Lock()
		w.completed++
		w.mu.Unlock()
		return true
	case res.verdict == notRun && !slices.Contains(p.unknownCalls, content):
		w.mu.Lock()
		w.notRunMessages = append(w.notRunMessages, content)
		w.mu.Unlock()
		if res.reason == "wrong_head" || res.reason == "unknown_program" || res.reason == "program_ended" {
			w.reportf("program %d turn %d: lost: %s on %s", p.index, p.turns, res.reason, p.head)
			p.id = ""
		}
	case res.verdict != notRun && !slices.Contains(p.unknownCalls, content):
		w.recordUnknown(res)
		p.unknownCalls = append(p.unknownCalls, content)
	}
	return false
}

// retryUnknown resends the calls that may have run until one of them gets a complete response. All of them are based on
// the same head, so at most one can be committed.
func (w *workload) retryUnknown(p *programRun, r *rand.Rand) bool {
	rejected := 0
	for _, content := range append([]string(nil), p.unknownCalls...) {
		res := w.c.turn(w.pickInstance(r), &p.programRef, content, useStream(content))
		if res.reason == "wrong_head" {
			rejected++
		}
		if w.checkResult(p, content, res) {
			return true
		}
	}
	if rejected == len(p.unknownCalls) {
		w.reportf("program %d turn %d: the head changed, but none of %v was committed", p.index, p.turns, p.unknownCalls)
		p.id, p.unknownCalls = "", nil
	}
	return false
}

// concurrentTurns makes two concurrent calls on one head, at most one of which may be committed.
func (w *workload) concurrentTurns(p *programRun, content string, r *rand.Rand) bool {
	rival := programRef{id: p.id, head: p.head}
	in, rivalContent := w.pickInstance(r), content+"-rival"
	done := make(chan callResult)
	go func() { done <- w.c.turn(in, &rival, rivalContent, useStream(rivalContent)) }()
	own := p.programRef
	res := w.c.turn(w.pickInstance(r), &own, content, useStream(content))
	rivalRes := <-done
	switch {
	case res.complete && rivalRes.complete:
		w.reportf("program %d turn %d: two calls on one head both completed", p.index, p.turns)
		fallthrough
	case res.complete:
		p.programRef = own
		return w.checkResult(p, content, res)
	case rivalRes.complete:
		p.programRef = rival
		return w.checkResult(p, rivalContent, rivalRes)
	}
	for c, got := range map[string]callResult{content: res, rivalContent: rivalRes} {
		if got.verdict != notRun {
			p.unknownCalls = append(p.unknownCalls, c)
		}
	}
	return false
}

// effect sends a request that must not be repeated one to three times, each time by one caller or two concurrent ones.
func (w *workload) effect(r *rand.Rand) {
	w.mu.Lock()
	e := &effectRun{key: fmt.Sprintf("%s-e%d", w.name, len(w.effects))}
	w.effects = append(w.effects, e)
	w.mu.Unlock()
	for range 1 + r.IntN(3) {
		var both sync.WaitGroup
		for range 1 + r.IntN(2) {
			in := w.pickInstance(r)
			both.Go(func() { e.send(w, in) })
		}
		both.Wait()
	}
}

func (e *effectRun) send(w *workload, in *instance) {
	res := w.c.refund(in, e.key, e.key)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case res.status == http.StatusOK:
		e.done = true
	case res.verdict != notRun:
		w.recordUnknown(res)
		e.unknown = true
	}
}

// singleCall makes one call that belongs to no program.
func (w *workload) singleCall(r *rand.Rand) {
	content := fmt.Sprintf("%s-s%d", w.name, r.Uint64())
	res := w.c.chat(w.pickInstance(r), content, 2, r.IntN(2) == 0)
	if res.complete && res.text != engine.ResponseText([]engine.Message{{Role: "user", Content: content}}, 2) {
		w.reportf("single call %s got the response %q", content, res.text)
	}
	if !res.complete && res.verdict == notRun {
		w.mu.Lock()
		w.notRunMessages = append(w.notRunMessages, content)
		w.mu.Unlock()
	}
}

// finish stops the load, completes one more turn of every program, ends the programs and runs all checks.
func (w *workload) finish(t testing.TB) {
	t.Helper()
	close(w.quit)
	w.wg.Wait()
	r := rand.New(rand.NewPCG(9, 9))
	for _, p := range w.programs {
		end := time.Now().Add(recoveryTimeout)
		for !w.step(p, r) {
			if time.Now().After(end) {
				w.reportf("program %d completed no turn after the fault", p.index)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	w.endPrograms(r)
	w.checkEffects()
	w.checkMessages()
	w.checkMemory()
	w.s.checkDaemons(w.reportf)
	for _, p := range w.problems {
		t.Errorf("%s: %s", w.name, p)
	}
	if w.completed == 0 {
		t.Errorf("%s: no call was completed", w.name)
	}
	if t.Failed() {
		t.Logf("%s: slowest responses %v", w.name, w.slowest)
	}
}

func (w *workload) endPrograms(r *rand.Rand) {
	for _, p := range w.programs {
		for end := time.Now().Add(recoveryTimeout); p.id != ""; time.Sleep(20 * time.Millisecond) {
			if w.c.do(w.pickInstance(r), http.MethodDelete, "/v1/programs/"+p.id, nil, nil).status == http.StatusOK {
				w.endedPrograms = append(w.endedPrograms, p.id)
				break
			}
			if time.Now().After(end) {
				w.reportf("program %d did not end", p.index)
				break
			}
		}
	}
}

func (w *workload) checkEffects() {
	n := map[string]int{}
	for _, f := range w.s.services {
		var e struct {
			ByKey map[string]int `json:"by_key"`
		}
		f.call(http.MethodGet, "/effects", nil, &e)
		for k, v := range e.ByKey {
			n[k] += v
		}
	}
	for _, e := range w.effects {
		got := n[e.key]
		switch {
		case got > 1:
			w.reportf("%s had %d effects", e.key, got)
		case e.done && got == 0:
			w.reportf("%s succeeded without an effect", e.key)
		case !e.done && !e.unknown && got != 0:
			w.reportf("%s was always refused with not-run and had an effect", e.key)
		}
	}
}

func (w *workload) checkMessages() {
	seen := map[string]int{}
	for _, f := range w.s.backendServers() {
		if f.name != "engine" {
			continue
		}
		var e engine.Executions
		f.call(http.MethodGet, "/executions", nil, &e)
		for m, n := range e.Messages {
			seen[m] += n
		}
	}
	for _, m := range w.notRunMessages {
		if seen[m] > 0 {
			w.reportf("call %s was refused with not-run and reached an engine", m)
		}
	}
}

// checkMemory waits until no engine holds memory for the ended programs.
func (w *workload) checkMemory() {
	var held []string
	for end := time.Now().Add(memoryReleaseTimeout); ; time.Sleep(100 * time.Millisecond) {
		held = w.s.programsInMemory(w.endedPrograms)
		if len(held) == 0 {
			return
		}
		if time.Now().After(end) {
			w.reportf("engines hold memory for ended programs: %v", held)
			return
		}
	}
}

// programsInMemory returns the given programs for which an engine holds memory.
func (s *site) programsInMemory(programs []string) []string {
	var held []string
	for _, f := range s.backendServers() {
		if f.name != "engine" {
			continue
		}
		var keys engine.CachedKeys
		f.call(http.MethodGet, "/v1/cache/keys", nil, &keys)
		for _, k := range keys.Keys {
			if slices.Contains(programs, k.Key) {
				held = append(held, k.Key)
			}
		}
	}
	return held
}

// checkDaemons reports invariant violations and panics in the daemons' logs.
func (s *site) checkDaemons(problem func(string, ...any)) {
	for _, in := range s.instances {
		for _, line := range strings.Split(in.log.String(), "\n") {
			if strings.Contains(line, "Invariant violated") || strings.HasPrefix(line, "panic:") || strings.Contains(line, "Request panicked") {
				problem("%s: %s", in.id, line)
			}
		}
	}
}
