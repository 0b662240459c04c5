package report

import (
	"maps"
	"sync"
	"time"
)

// Kind is what a call is for.
type Kind string

// Kinds of calls.
const (
	KindCreate Kind = "create"
	KindTurn   Kind = "turn"
	KindEffect Kind = "effect"
	KindEnd    Kind = "end"
)

// Call is one request as its caller saw it.
type Call struct {
	Account string
	Kind    Kind
	// Address is the instance that got the call.
	Address string
	Sent    time.Time
	Done    time.Time
	// WithinRate is set when the account's bucket had a token as the call was sent.
	WithinRate bool
	// TokensLeft are those that the bucket had besides.
	TokensLeft float64
	// Whole is set when the whole answer arrived.
	Whole   bool
	Status  int
	Reason  string
	Verdict string
	// FirstToken is the time to the first piece of the answer; zero when there was none.
	FirstToken time.Duration
	// Prompt, Cached and Completion are the engine's usage figures; History is the part of the prompt that an engine
	// had held before.
	Prompt, Cached, Completion, History int
	Replayed                            bool
}

// Refused reports whether the call ended without having run.
func (c *Call) Refused() bool { return !c.Whole && c.Verdict == "not-run" }

// Program is the outcome of one program without a parent.
type Program struct {
	Account string
	// Latency is from the program's start to its end, or to its deadline if it failed.
	Latency time.Duration
	// Ideal is the latency on idle engines that have every prefix cached.
	Ideal  time.Duration
	Failed bool
	// Reason of a failure.
	Reason string
}

// Recorder keeps what callers saw. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	buckets    map[string]*Bucket
	calls      []Call
	programs   []Program
	effects    []Effect
	violations []Violation
	ended      map[string]time.Time
}

// NewRecorder returns a recorder with a bucket for each account.
func NewRecorder(buckets map[string]*Bucket) *Recorder {
	return &Recorder{buckets: buckets, ended: map[string]time.Time{}}
}

// Send reports whether a call of the account that is sent now is within rate, and the tokens that are left.
func (r *Recorder) Send(account string, now time.Time) (within bool, left float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.buckets[account]
	if b == nil {
		return false, 0
	}
	return b.Take(now), b.Left()
}

// Call records a call that Send was asked about.
func (r *Recorder) Call(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// Program records the outcome of a program.
func (r *Recorder) Program(p Program) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.programs = append(r.programs, p)
}

// Records returns all records.
func (r *Recorder) Records() ([]Call, []Program) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Call(nil), r.calls...), append([]Program(nil), r.programs...)
}

// Ended records that the site confirmed the end of a program.
func (r *Recorder) Ended(program string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended[program] = now
}

// EndedPrograms returns the time of each confirmed end.
func (r *Recorder) EndedPrograms() map[string]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.ended)
}
