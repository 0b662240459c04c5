// Package turnlog keeps the histories and budgets of programs on the platform's log. Each program belongs to a partition
// of one topic; the instance that owns the partition decides on the program's turns, and records what must last with
// conditional appends, so that an owner that has been replaced can acknowledge nothing.
package turnlog

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/platform"
)

const (
	// Topic is the topic of programs.
	Topic = "programs"
	// inlineAfter is the age of records from which a history is written anew: a third of the store's shortest retention
	// in use, so that a turn and all that it depends on outlive the time for which turns are kept.
	inlineAfter = 100 * time.Second
	// findTimeout bounds the question to the other owners about a turn that no partition here knows.
	findTimeout = 700 * time.Millisecond
	// confirmTimeout bounds the look at the store that confirms a refusal.
	confirmTimeout = 700 * time.Millisecond
)

// PartitionOf returns the partition of a program among n.
func PartitionOf(program string, n int) int {
	h := fnv.New32a()
	h.Write([]byte(program))
	return int(h.Sum32() % uint32(n))
}

// Finder asks the owners of the other partitions for a turn.
type Finder interface {
	FindElsewhere(ctx context.Context, r *turnv1.FindRequest, own []int) (*turnv1.FindResponse, error)
}

// Owner owns the partitions that its instance was dealt. It serves the gRPC service Turns.
type Owner struct {
	turnv1.UnimplementedTurnsServer

	store      *platform.Store
	settings   platform.StoreSettings
	writer     string
	finder     Finder
	metrics    *Metrics
	now        func() time.Time
	background context.Context

	mu         sync.Mutex
	partitions map[int]*partition
}

// NewOwner returns an owner without partitions. The writer's name is unique for each start of the process; the context
// ends all writing.
func NewOwner(ctx context.Context, store *platform.Store, s platform.StoreSettings, writer string, f Finder, m *Metrics) *Owner {
	return &Owner{
		store: store, settings: s, writer: writer, finder: f, metrics: m, now: time.Now, background: ctx,
		partitions: map[int]*partition{},
	}
}

// Assign makes the owner hold exactly the given partitions. Those that are no longer listed are released first; it
// reports whether there were any.
func (o *Owner) Assign(numbers []int) (released bool) {
	wanted := map[int]bool{}
	for _, n := range numbers {
		wanted[n] = true
	}
	o.mu.Lock()
	var gone []*partition
	for n, p := range o.partitions {
		if !wanted[n] {
			gone = append(gone, p)
			delete(o.partitions, n)
		}
	}
	o.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range gone {
		wg.Go(p.release)
	}
	wg.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	for n := range wanted {
		if o.partitions[n] == nil {
			o.partitions[n] = o.open(n)
		}
	}
	return len(gone) > 0
}

func (o *Owner) open(number int) *partition {
	ctx, cancel := context.WithCancel(o.background)
	p := &partition{
		number: number, name: platform.Partition{Topic: Topic, Number: number}, store: o.store, writer: o.writer,
		callBytes: o.settings.MaxCallBytes, now: o.now, metrics: o.metrics, state: newState(inlineAfter),
		wake: make(chan struct{}, 1), cancel: cancel, closed: make(chan struct{}),
	}
	go p.run(ctx)
	return p
}

// Owned lists the partitions that are held and read.
func (o *Owner) Owned() []int {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []int
	for n, p := range o.partitions {
		p.mu.Lock()
		if p.owned {
			out = append(out, n)
		}
		p.mu.Unlock()
	}
	return out
}

// Assigned reports whether the partition was dealt to this instance, read or not.
func (o *Owner) Assigned(number int) bool { return o.partition(number) != nil }

func (o *Owner) partition(number int) *partition {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.partitions[number]
}

func (o *Owner) partitionOf(program string) *partition {
	return o.partition(PartitionOf(program, o.settings.Partitions))
}

// Begin implements turnv1.TurnsServer.
func (o *Owner) Begin(ctx context.Context, r *turnv1.BeginRequest) (*turnv1.BeginResponse, error) {
	resp := o.begin(ctx, r)
	o.metrics.begins.WithLabelValues(resp.Outcome.String()).Inc()
	if resp.Outcome != turnv1.Outcome_OUTCOME_OK {
		klog.InfoS("turn not begun", "request", r.Turn, "program", r.Program, "previous", r.Previous,
			"outcome", resp.Outcome.String(), "budget", r.Budget, "most", r.Most, "charged", resp.Charged,
			"outstanding", resp.Outstanding)
	}
	return resp, nil
}

func (o *Owner) begin(ctx context.Context, r *turnv1.BeginRequest) *turnv1.BeginResponse {
	p := o.partitionOf(r.Program)
	if p == nil {
		return &turnv1.BeginResponse{Outcome: turnv1.Outcome_OUTCOME_NOT_OWNER}
	}
	p.mu.Lock()
	if !p.owned {
		p.mu.Unlock()
		return &turnv1.BeginResponse{Outcome: turnv1.Outcome_OUTCOME_UNAVAILABLE}
	}
	a := p.state.admit(r, o.now())
	p.mu.Unlock()
	resp := &turnv1.BeginResponse{Outcome: a.outcome, Charged: a.charged, Outstanding: a.outstanding}
	if a.outcome != turnv1.Outcome_OUTCOME_OK {
		resp.Outcome = o.confirm(ctx, p, a.outcome)
		return resp
	}
	if a.previous != nil {
		resp.Backend = a.previous.backend
		if !r.HistoryKnown {
			resp.History = a.previous.history()
		}
	}
	if a.foreign {
		found := o.find(ctx, &turnv1.FindRequest{Account: r.Account, Turn: r.Previous})
		if found.Outcome != turnv1.Outcome_OUTCOME_OK {
			o.release(r.Program, r.Turn)
			return &turnv1.BeginResponse{Outcome: found.Outcome}
		}
		resp.History, resp.Backend, resp.Foreign = found.History, found.Backend, true
	}
	if a.grant > 0 {
		if outcome := o.grant(ctx, p, r, a); outcome != turnv1.Outcome_OUTCOME_OK {
			o.release(r.Program, r.Turn)
			return &turnv1.BeginResponse{Outcome: outcome}
		}
	}
	return resp
}

// grant records that the program's turns may generate as many tokens as the admission needs.
func (o *Owner) grant(ctx context.Context, p *partition, r *turnv1.BeginRequest, a admission) turnv1.Outcome {
	err := p.submit(ctx, &turnv1.Record{Change: &turnv1.Record_Granted{Granted: &turnv1.Granted{
		Program: r.Program, Account: r.Account, Budget: r.Budget, Granted: a.grant, KeepMs: r.KeepMs,
		AtUnixMs: o.now().UnixMilli(), Charged: a.charged, Forgiven: a.forgiven,
	}}})
	return outcomeOf(err)
}

func outcomeOf(err error) turnv1.Outcome {
	switch {
	case err == nil:
		return turnv1.Outcome_OUTCOME_OK
	case errors.Is(err, errNotOwner):
		return turnv1.Outcome_OUTCOME_NOT_OWNER
	default:
		return turnv1.Outcome_OUTCOME_UNAVAILABLE
	}
}

func (o *Owner) release(program, turn string) {
	if p := o.partitionOf(program); p != nil {
		p.mu.Lock()
		p.state.settle(program, turn, 0)
		p.mu.Unlock()
	}
}

// confirm lets a refusal that ends a program stand only if no other process has written to the partition since.
func (o *Owner) confirm(ctx context.Context, p *partition, refusal turnv1.Outcome) turnv1.Outcome {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if !p.isNewest(ctx) {
		return turnv1.Outcome_OUTCOME_UNAVAILABLE
	}
	return refusal
}

// find looks for a turn that is not in its program's partition: a new program may continue another's turn.
func (o *Owner) find(ctx context.Context, r *turnv1.FindRequest) *turnv1.FindResponse {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	resp, err := o.findEverywhere(ctx, r)
	if err == nil && resp.Outcome == turnv1.Outcome_OUTCOME_NO_SUCH_TURN {
		// A refusal that ends a program must not rest on an owner that has been replaced.
		confirmed := &turnv1.FindRequest{Account: r.Account, Turn: r.Turn, Confirm: true}
		resp, err = o.findEverywhere(ctx, confirmed)
	}
	if err != nil {
		klog.InfoS("turn not looked up at every owner", "turn", r.Turn, "cause", err.Error())
		return &turnv1.FindResponse{Outcome: turnv1.Outcome_OUTCOME_UNAVAILABLE}
	}
	return resp
}

func (o *Owner) findEverywhere(ctx context.Context, r *turnv1.FindRequest) (*turnv1.FindResponse, error) {
	local, err := o.Find(ctx, r)
	if err != nil || local.Outcome == turnv1.Outcome_OUTCOME_OK {
		return local, err
	}
	own := make([]int, 0, len(local.Partitions))
	for _, n := range local.Partitions {
		own = append(own, int(n))
	}
	return o.finder.FindElsewhere(ctx, r, own)
}

// Find implements turnv1.TurnsServer.
func (o *Owner) Find(ctx context.Context, r *turnv1.FindRequest) (*turnv1.FindResponse, error) {
	o.mu.Lock()
	partitions := make([]*partition, 0, len(o.partitions))
	for _, p := range o.partitions {
		partitions = append(partitions, p)
	}
	o.mu.Unlock()
	resp := &turnv1.FindResponse{Outcome: turnv1.Outcome_OUTCOME_NO_SUCH_TURN}
	for _, p := range partitions {
		p.mu.Lock()
		if !p.owned {
			p.mu.Unlock()
			continue
		}
		t := p.state.turns[r.Turn]
		p.mu.Unlock()
		if t == nil {
			if !r.Confirm || p.isNewest(ctx) {
				resp.Partitions = append(resp.Partitions, int32(p.number))
			}
			continue
		}
		if t.account != r.Account {
			resp.Partitions = append(resp.Partitions, int32(p.number))
			continue
		}
		return &turnv1.FindResponse{Outcome: turnv1.Outcome_OUTCOME_OK, History: t.history(), Backend: t.backend}, nil
	}
	return resp, nil
}

// End implements turnv1.TurnsServer.
func (o *Owner) End(ctx context.Context, r *turnv1.EndRequest) (*turnv1.EndResponse, error) {
	outcome := o.endTurn(ctx, r)
	o.metrics.ends.WithLabelValues(outcome.String()).Inc()
	return &turnv1.EndResponse{Outcome: outcome}, nil
}

func (o *Owner) endTurn(ctx context.Context, r *turnv1.EndRequest) turnv1.Outcome {
	p := o.partitionOf(r.Program)
	if p == nil {
		return turnv1.Outcome_OUTCOME_NOT_OWNER
	}
	p.mu.Lock()
	if !p.owned {
		p.mu.Unlock()
		return turnv1.Outcome_OUTCOME_UNAVAILABLE
	}
	if !r.Complete {
		p.state.settle(r.Program, r.Turn, r.Tokens)
		p.mu.Unlock()
		return turnv1.Outcome_OUTCOME_OK
	}
	if p.state.turns[r.Turn] != nil {
		p.mu.Unlock()
		return turnv1.Outcome_OUTCOME_OK
	}
	record := o.completed(p, r)
	p.mu.Unlock()
	if proto.Size(record) > o.settings.MaxRecordBytes {
		klog.InfoS("turn is too large for the log", "request", r.Turn, "program", r.Program, "bytes", proto.Size(record))
		return turnv1.Outcome_OUTCOME_UNAVAILABLE
	}
	outcome := outcomeOf(p.submit(ctx, record))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.settle(r.Program, r.Turn, r.Tokens)
	return outcome
}

func (o *Owner) completed(p *partition, r *turnv1.EndRequest) *turnv1.Record {
	inherited := r.Inherited
	if len(inherited) == 0 {
		inherited = p.state.inherit(r.Previous, o.now())
	}
	next := p.state.nextGrant(r.Program, r.Turn, r.Tokens, r.Most)
	return &turnv1.Record{Change: &turnv1.Record_Completed{Completed: &turnv1.Completed{
		Program: r.Program, Account: r.Account, Turn: r.Turn, Previous: r.Previous, Input: r.Input, Output: r.Output,
		Tokens: r.Tokens, Backend: r.Backend, Budget: r.Budget, Inherited: inherited,
		Granted: next.granted, Charged: next.charged, Forgiven: next.forgiven, KeepMs: r.KeepMs,
		AtUnixMs: o.now().UnixMilli(),
	}}}
}
