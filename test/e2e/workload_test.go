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
	// endedMemoryWithin is the target for engine memory held for ended programs.
	endedMemoryWithin = 10 * time.Second
	// recoverWithin bounds the wait for a program to go on after a fault has ended.
	recoverWithin = 20 * time.Second
	notRun        = "not-run"
	turnTokens    = 12
	// maxTurns keeps histories short of their budgets.
	maxTurns = 40
)

// workload drives programs, requests that must not be repeated and single calls at every instance, and checks what the
// callers were told against what the stand-ins saw.
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
	// never holds messages of calls that were all answered with not-run.
	never []string
	whole int
	ended []string
	// unknownReasons holds the reasons of calls that may have run.
	unknownReasons []string
	// slowest holds the longest wait for an answer by instance and reason.
	slowest map[string]time.Duration
}

// programRun is one program as its caller knows it.
type programRun struct {
	programRef
	n     int
	turns int
	// unknown holds the contents of calls on the current head that may have run.
	unknown []string
	tries   int
}

// effectRun is one request that must not be repeated.
type effectRun struct {
	key     string
	mu      sync.Mutex
	done    bool
	unknown bool
}

// startWorkload starts n programs, n/2 senders of effects and one of single calls.
func (s *site) startWorkload(name string, n int) *workload {
	w := &workload{s: s, c: s.caller("big"), name: name, quit: make(chan struct{}), slowest: map[string]time.Duration{}}
	w.c.seen = w.seen
	for i := range n {
		p := &programRun{n: i}
		w.programs = append(w.programs, p)
		w.loop(func(r *rand.Rand) { w.step(p, r) }, uint64(i))
	}
	for i := range (n + 1) / 2 {
		w.loop(func(r *rand.Rand) { w.effect(r) }, uint64(100+i))
	}
	w.loop(func(r *rand.Rand) { w.single(r) }, 200)
	return w
}

func (w *workload) loop(step func(*rand.Rand), seed uint64) {
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

func (w *workload) problem(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

// seen notes how long the answer took, and when there was none.
func (w *workload) seen(in *instance, a answer) {
	var late net.Error
	if errors.As(a.err, &late) && late.Timeout() {
		w.problem("a call at %s got no final answer: %v", in.id, a.err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	kind := fmt.Sprintf("%s %d %s", in.id, a.status, a.reason)
	w.slowest[kind] = max(w.slowest[kind], a.took.Round(10*time.Millisecond))
}

// answered returns the number of whole answers so far.
func (w *workload) answered() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.whole
}

// noteUnknown keeps why a call has an unknown outcome. A refused connection has had no effect, and a duplicate request
// is told about the one that runs.
func (w *workload) noteUnknown(a answer) {
	if a.verdict == notRun || a.reason == "duplicate_request" || errors.Is(a.err, syscall.ECONNREFUSED) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unknownReasons = append(w.unknownReasons, fmt.Sprintf("%d %s %s %v", a.status, a.verdict, a.reason, a.err))
}

// any picks an instance that the platform's balancer would send to.
func (w *workload) any(r *rand.Rand) *instance {
	for {
		if in := w.s.instances[r.IntN(len(w.s.instances))]; !in.unhealthy.Load() {
			return in
		}
	}
}

// step makes the program's next call, or creates the program.
func (w *workload) step(p *programRun, r *rand.Rand) bool {
	if p.id == "" {
		in := w.any(r)
		if w.s.home != "" && in.dc != w.s.home {
			return false
		}
		p.programRef, _ = w.c.create(in, map[string]int{"tokens": 2_000_000, "calls": 1000})
		return false
	}
	if len(p.unknown) > 0 {
		return w.repeat(p, r)
	}
	if p.turns >= maxTurns {
		if w.c.do(w.any(r), http.MethodDelete, "/v1/programs/"+p.id, nil, nil).status == http.StatusOK {
			w.mu.Lock()
			w.ended = append(w.ended, p.id)
			w.mu.Unlock()
			p.id, p.turns = "", 0
		}
		return false
	}
	p.tries++
	content := fmt.Sprintf("%s-p%d-t%d-a%d", w.name, p.n, p.turns, p.tries)
	if r.IntN(8) == 0 {
		return w.fork(p, content, r)
	}
	return w.turn(p, content, r)
}

// streams chooses the form of a call's answer; a repeated call has the same.
func streams(content string) bool { return len(content)%2 == 0 }

// turn makes one call on the program's head. It reports whether the program moved on.
func (w *workload) turn(p *programRun, content string, r *rand.Rand) bool {
	a := w.c.turn(w.any(r), &p.programRef, content, streams(content))
	return w.judge(p, content, a)
}

// judge takes in the answer to a call with the given content.
func (w *workload) judge(p *programRun, content string, a answer) bool {
	want := fmt.Sprintf("/%d]", 2*p.turns+1)
	full := engine.AnswerText([]engine.Message{{Role: "user", Content: content}}, turnTokens)
	digest := full[:strings.Index(full, "/")]
	if a.text != "" && !strings.HasPrefix(a.text, digest) {
		w.problem("program %d turn %d: answer %q belongs to another message than %q", p.n, p.turns, a.text, content)
	}
	switch {
	case a.whole:
		if !strings.Contains(a.text, want) {
			w.problem("program %d turn %d: the engine saw %q, want %q", p.n, p.turns, a.text, want)
		}
		if got, all := a.text[strings.Index(a.text, "]")+1:], full[strings.Index(full, "]")+1:]; got != all {
			w.problem("program %d turn %d: answer is not whole: %q", p.n, p.turns, a.text)
		}
		p.turns, p.unknown = p.turns+1, nil
		w.mu.Lock()
		w.whole++
		w.mu.Unlock()
		return true
	case a.verdict == notRun && !slices.Contains(p.unknown, content):
		w.mu.Lock()
		w.never = append(w.never, content)
		w.mu.Unlock()
		if a.reason == "wrong_head" || a.reason == "unknown_program" || a.reason == "program_ended" {
			w.problem("program %d turn %d: lost: %s on %s", p.n, p.turns, a.reason, p.head)
			p.id = ""
		}
	case a.verdict != notRun && !slices.Contains(p.unknown, content):
		w.noteUnknown(a)
		p.unknown = append(p.unknown, content)
	}
	return false
}

// repeat sends the calls that may have run again, until one of them is answered: the head decides which one counts.
func (w *workload) repeat(p *programRun, r *rand.Rand) bool {
	refused := 0
	for _, content := range append([]string(nil), p.unknown...) {
		a := w.c.turn(w.any(r), &p.programRef, content, streams(content))
		if a.reason == "wrong_head" {
			refused++
		}
		if w.judge(p, content, a) {
			return true
		}
	}
	if refused == len(p.unknown) {
		w.problem("program %d turn %d: its head moved on by none of %v", p.n, p.turns, p.unknown)
		p.id, p.unknown = "", nil
	}
	return false
}

// fork makes two calls on one head at once; at most one may count.
func (w *workload) fork(p *programRun, content string, r *rand.Rand) bool {
	rival := programRef{id: p.id, head: p.head}
	in, content2 := w.any(r), content+"-rival"
	done := make(chan answer)
	go func() { done <- w.c.turn(in, &rival, content2, streams(content2)) }()
	mine := p.programRef
	a := w.c.turn(w.any(r), &mine, content, streams(content))
	b := <-done
	switch {
	case a.whole && b.whole:
		w.problem("program %d turn %d: two calls on one head were both answered", p.n, p.turns)
		fallthrough
	case a.whole:
		p.programRef = mine
		return w.judge(p, content, a)
	case b.whole:
		p.programRef = rival
		return w.judge(p, content2, b)
	}
	for c, got := range map[string]answer{content: a, content2: b} {
		if got.verdict != notRun {
			p.unknown = append(p.unknown, c)
		}
	}
	return false
}

// effect sends one request that must not be repeated, also twice at once, until its outcome is known.
func (w *workload) effect(r *rand.Rand) {
	w.mu.Lock()
	e := &effectRun{key: fmt.Sprintf("%s-e%d", w.name, len(w.effects))}
	w.effects = append(w.effects, e)
	w.mu.Unlock()
	for range 1 + r.IntN(3) {
		var both sync.WaitGroup
		for range 1 + r.IntN(2) {
			in := w.any(r)
			both.Go(func() { e.send(w, in) })
		}
		both.Wait()
	}
}

func (e *effectRun) send(w *workload, in *instance) {
	a := w.c.effect(in, e.key, e.key)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case a.status == http.StatusOK:
		e.done = true
	case a.verdict != notRun:
		w.noteUnknown(a)
		e.unknown = true
	}
}

// single makes one call outside any program.
func (w *workload) single(r *rand.Rand) {
	content := fmt.Sprintf("%s-s%d", w.name, r.Uint64())
	a := w.c.chat(w.any(r), content, 2, r.IntN(2) == 0)
	if a.whole && a.text != engine.AnswerText([]engine.Message{{Role: "user", Content: content}}, 2) {
		w.problem("single call %s was answered %q", content, a.text)
	}
	if !a.whole && a.verdict == notRun {
		w.mu.Lock()
		w.never = append(w.never, content)
		w.mu.Unlock()
	}
}

// finish ends the load, lets every program make one more turn and end, and checks everything.
func (w *workload) finish(t testing.TB) {
	t.Helper()
	close(w.quit)
	w.wg.Wait()
	r := rand.New(rand.NewPCG(9, 9))
	for _, p := range w.programs {
		end := time.Now().Add(recoverWithin)
		for !w.step(p, r) {
			if time.Now().After(end) {
				w.problem("program %d did not go on after the fault", p.n)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	w.endPrograms(r)
	w.checkEffects()
	w.checkMessages()
	w.checkMemory()
	w.s.checkDaemons(w.problem)
	for _, p := range w.problems {
		t.Errorf("%s: %s", w.name, p)
	}
	if w.whole == 0 {
		t.Errorf("%s: no call was answered", w.name)
	}
	if t.Failed() {
		t.Logf("%s: slowest answers %v", w.name, w.slowest)
	}
}

func (w *workload) endPrograms(r *rand.Rand) {
	for _, p := range w.programs {
		for end := time.Now().Add(recoverWithin); p.id != ""; time.Sleep(20 * time.Millisecond) {
			if w.c.do(w.any(r), http.MethodDelete, "/v1/programs/"+p.id, nil, nil).status == http.StatusOK {
				w.ended = append(w.ended, p.id)
				break
			}
			if time.Now().After(end) {
				w.problem("program %d did not end", p.n)
				break
			}
		}
	}
}

func (w *workload) checkEffects() {
	n := map[string]int{}
	for _, f := range w.s.service {
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
			w.problem("%s had %d effects", e.key, got)
		case e.done && got == 0:
			w.problem("%s was answered without an effect", e.key)
		case !e.done && !e.unknown && got != 0:
			w.problem("%s was always refused with not-run and had an effect", e.key)
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
	for _, m := range w.never {
		if seen[m] > 0 {
			w.problem("call %s was refused with not-run and reached an engine", m)
		}
	}
}

// checkMemory waits until no engine holds memory for the ended programs.
func (w *workload) checkMemory() {
	var held []string
	for end := time.Now().Add(endedMemoryWithin); ; time.Sleep(100 * time.Millisecond) {
		held = w.s.heldFor(w.ended)
		if len(held) == 0 {
			return
		}
		if time.Now().After(end) {
			w.problem("engines hold memory for ended programs: %v", held)
			return
		}
	}
}

// heldFor returns those of the programs that engines hold memory for.
func (s *site) heldFor(programs []string) []string {
	var held []string
	for _, f := range s.backendServers() {
		if f.name != "engine" {
			continue
		}
		var keys engine.Keys
		f.call(http.MethodGet, "/v1/cache/keys", nil, &keys)
		for _, k := range keys.Keys {
			if slices.Contains(programs, k.Key) {
				held = append(held, k.Key)
			}
		}
	}
	return held
}

// checkDaemons reports violated invariants and panics.
func (s *site) checkDaemons(problem func(string, ...any)) {
	for _, in := range s.instances {
		for _, line := range strings.Split(in.out.String(), "\n") {
			if strings.Contains(line, "Invariant violated") || strings.HasPrefix(line, "panic:") || strings.Contains(line, "Request panicked") {
				problem("%s: %s", in.id, line)
			}
		}
	}
}
