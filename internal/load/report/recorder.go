package report

import (
	"maps"
	"sync"
	"time"
)

// Kind is the purpose of a call.
type Kind string

// Kinds of calls.
const (
	KindCreate Kind = "create"
	KindTurn   Kind = "turn"
	KindEffect Kind = "effect"
	KindEnd    Kind = "end"
)

// Call is the record of one request by its caller.
type Call struct {
	Account string
	Kind    Kind
	// Address is the address of the instance that the call was sent to.
	Address string
	Sent    time.Time
	Done    time.Time
	// WithinRate is set if the account's bucket had a token when the call was sent.
	WithinRate bool
	// TokensLeft is the number of tokens that remained in the bucket.
	TokensLeft float64
	// Complete is set if the complete response arrived.
	Complete bool
	Status   int
	Reason   string
	Verdict  string
	// FirstToken is the time to the first token of the response; zero if there was none.
	FirstToken time.Duration
	// PromptTokens, CachedTokens and CompletionTokens are the token counts reported by the engine; CacheableTokens is
	// the number of prompt tokens that an engine processed in earlier turns.
	PromptTokens, CachedTokens, CompletionTokens, CacheableTokens int
	Replayed                                                      bool
}

// Refused reports whether the call did not run.
func (c *Call) Refused() bool { return !c.Complete && c.Verdict == "not-run" }

// Program is the outcome of one top-level program.
type Program struct {
	Account string
	// Latency is the time from the program's start to its end, or to its deadline if it failed.
	Latency time.Duration
	// IdealLatency is the latency on idle engines with every prefix cached.
	IdealLatency time.Duration
	Failed       bool
	// Reason is the reason of the failure.
	Reason string
}

// Recorder collects the callers' records of a run. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	buckets    map[string]*Bucket
	calls      []Call
	programs   []Program
	effects    []Effect
	violations []Violation
	ended      map[string]time.Time
}

// NewRecorder returns a recorder with the given token buckets, by account.
func NewRecorder(buckets map[string]*Bucket) *Recorder {
	return &Recorder{buckets: buckets, ended: map[string]time.Time{}}
}

// TakeToken takes a token from the account's bucket for a call that is sent now. It reports whether the call is within
// the rate and how many tokens are left.
func (r *Recorder) TakeToken(account string, now time.Time) (within bool, left float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.buckets[account]
	if b == nil {
		return false, 0
	}
	return b.Take(now), b.Remaining()
}

// RecordCall records a call. TakeToken must have been called when it was sent.
func (r *Recorder) RecordCall(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// RecordProgram records the outcome of a program.
func (r *Recorder) RecordProgram(p Program) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.programs = append(r.programs, p)
}

// Records returns the recorded calls and programs.
func (r *Recorder) Records() ([]Call, []Program) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Call(nil), r.calls...), append([]Program(nil), r.programs...)
}

// RecordProgramEnd records the time when the site confirmed the end of a program.
func (r *Recorder) RecordProgramEnd(program string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended[program] = now
}

// EndedPrograms returns the time of each confirmed end, by program id.
func (r *Recorder) EndedPrograms() map[string]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.ended)
}
