// Package turnlog stores the histories and token budgets of programs in the platform's log. Each program is hashed to a
// partition of one topic. The instance that owns the partition admits the program's turns and makes its decisions
// durable with conditional appends, so that a replaced owner cannot acknowledge anything.
package turnlog

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/platform"
)

const (
	// Topic is the topic of programs.
	Topic = "programs"
	// inlineAfter is the age of a history's oldest record from which the history is rewritten into the next turn's record.
	// It is a third of the shortest store retention in use, so that a turn and the records that it depends on outlive the
	// time for which turns are kept.
	inlineAfter = 100 * time.Second
	// useLag is how long after a program's last record a turn may be in progress that needs no record for its tokens. It is longer
	// than outages of the store, in which such turns go on.
	useLag = 30 * time.Second
	// findTimeout bounds the lookup at the other owners of a turn that no local partition has.
	findTimeout = 700 * time.Millisecond
	// confirmTimeout bounds the read from the store that confirms a refusal.
	confirmTimeout = 700 * time.Millisecond
)

// PartitionOf returns the partition of a program among n.
func PartitionOf(program string, n int) int {
	h := fnv.New32a()
	h.Write([]byte(program))
	return int(h.Sum32() % uint32(n))
}

// Finder looks up a turn at the owners of the other partitions.
type Finder interface {
	FindAtOtherOwners(ctx context.Context, r *turnv1.FindRequest, own []int) (*turnv1.FindResponse, error)
}

// Memory counts the bytes that turns keep, which last for as long as the turns do.
type Memory interface {
	// Keep adds bytes; a negative number subtracts them.
	Keep(n int64)
	// IsFull reports whether there is room for no more.
	IsFull() bool
}

// Owner owns the partitions that are assigned to its instance. It serves the gRPC service Turns.
type Owner struct {
	turnv1.UnimplementedTurnsServer

	store      *platform.Store
	settings   platform.StoreSettings
	writer     string
	finder     Finder
	metrics    *Metrics
	now        func() time.Time
	background context.Context
	// AdvanceGrants has programs without stored history granted more than their next turn needs. It must be set before the
	// first call.
	AdvanceGrants bool
	// Memory counts what turns keep; nil for nothing. It must be set before the first call.
	Memory Memory

	mu         sync.Mutex
	partitions map[int]*partition
}

// NewOwner returns an owner without partitions. The writer name must be unique for each start of the process. All
// writing stops when the context ends.
func NewOwner(ctx context.Context, store *platform.Store, s platform.StoreSettings, writer string, f Finder, m *Metrics) *Owner {
	return &Owner{
		store: store, settings: s, writer: writer, finder: f, metrics: m, now: time.Now, background: ctx,
		partitions: map[int]*partition{},
	}
}

// Assign sets the partitions to own. Those that are no longer listed are released first; it reports whether there were
// any.
func (o *Owner) Assign(numbers []int) (released bool) {
	wanted := map[int]bool{}
	for _, n := range numbers {
		wanted[n] = true
	}
	o.mu.Lock()
	var removed []*partition
	for n, p := range o.partitions {
		if !wanted[n] {
			removed = append(removed, p)
			delete(o.partitions, n)
		}
	}
	o.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range removed {
		wg.Go(p.release)
	}
	wg.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	for n := range wanted {
		if o.partitions[n] == nil {
			o.partitions[n] = o.startPartition(n)
		}
	}
	return len(removed) > 0
}

func (o *Owner) startPartition(number int) *partition {
	ctx, cancel := context.WithCancel(o.background)
	p := &partition{
		number: number, name: platform.Partition{Topic: Topic, Number: number}, store: o.store, writer: o.writer,
		sizes:         newRecordSizes(o.settings.MaxRecordBytes, o.settings.MaxAppendBytes, o.writer),
		advanceGrants: o.AdvanceGrants, now: o.now, metrics: o.metrics, memory: o.Memory,
		wake: make(chan struct{}, 1), cancel: cancel, closed: make(chan struct{}),
	}
	p.state = p.newState()
	go p.run(ctx)
	return p
}

// OwnedPartitions lists the partitions that have been acquired and replayed.
func (o *Owner) OwnedPartitions() []int {
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

// IsAssigned reports whether the partition is assigned to this instance, replayed or not.
func (o *Owner) IsAssigned(number int) bool { return o.partition(number) != nil }

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
		klog.InfoS("turn not begun", "request", r.Turn, "account", r.Account, "program", r.Program, "previous", r.Previous,
			"outcome", resp.Outcome.String(), "budget", r.Budget, "most", r.Most, "charged", resp.Charged,
			"outstanding", resp.Outstanding, "store_away_ms", resp.StoreAwayMs)
	}
	return resp, nil
}

func (o *Owner) begin(ctx context.Context, r *turnv1.BeginRequest) *turnv1.BeginResponse {
	p := o.partitionOf(r.Program)
	if p == nil {
		return &turnv1.BeginResponse{Outcome: turnv1.Outcome_OUTCOME_NOT_OWNER}
	}
	p.mu.Lock()
	away, refuse := p.outage.refuses(o.now())
	unavailable := &turnv1.BeginResponse{Outcome: turnv1.Outcome_OUTCOME_UNAVAILABLE}
	if refuse {
		unavailable.StoreAwayMs = away.Milliseconds()
	}
	if !p.owned || p.memory != nil && p.memory.IsFull() {
		p.mu.Unlock()
		return unavailable
	}
	a := p.state.admit(r, o.now())
	backend := p.state.backendOf(keyOf(r), r.Session)
	p.mu.Unlock()
	resp := &turnv1.BeginResponse{
		Outcome: a.outcome, Charged: a.charged, Outstanding: a.outstanding, Backend: backend,
	}
	if a.outcome != turnv1.Outcome_OUTCOME_OK {
		resp.Outcome, resp.Backend = o.confirmRefusal(ctx, p, a.outcome), ""
		return resp
	}
	if a.previous != nil {
		resp.Backend, resp.Foreign = a.previous.backend, a.foreign
		if !r.HistoryKnown || a.foreign {
			resp.History = a.previous.history()
		}
	}
	if a.previousElsewhere {
		found := o.find(ctx, &turnv1.FindRequest{Account: r.Account, Turn: r.Previous})
		if found.Outcome != turnv1.Outcome_OUTCOME_OK {
			o.cancelReservation(keyOf(r), r.Turn)
			return &turnv1.BeginResponse{Outcome: found.Outcome}
		}
		resp.History, resp.Backend, resp.Foreign = found.History, found.Backend, true
	}
	if a.needsRecord() {
		if refuse {
			o.cancelReservation(keyOf(r), r.Turn)
			return unavailable
		}
		if outcome := o.recordBegin(ctx, p, r, a); outcome != turnv1.Outcome_OUTCOME_OK {
			o.cancelReservation(keyOf(r), r.Turn)
			return &turnv1.BeginResponse{Outcome: outcome}
		}
	}
	return resp
}

// recordBegin makes what the admission needs durable before the turn begins.
func (o *Owner) recordBegin(ctx context.Context, p *partition, r *turnv1.BeginRequest, a admission) turnv1.Outcome {
	return outcomeOf(p.submit(ctx, a.record(r)))
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

func (o *Owner) cancelReservation(program programKey, turn string) {
	if p := o.partitionOf(program.id); p != nil {
		p.mu.Lock()
		p.state.settle(program, turn, 0, o.now())
		p.mu.Unlock()
	}
}

// confirmRefusal returns the refusal if no other process has written to the partition since, and OUTCOME_UNAVAILABLE
// otherwise: a refusal ends a program, so it must not depend on the state of a replaced owner.
func (o *Owner) confirmRefusal(ctx context.Context, p *partition, refusal turnv1.Outcome) turnv1.Outcome {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if !p.isCurrentOwner(ctx) {
		return turnv1.Outcome_OUTCOME_UNAVAILABLE
	}
	return refusal
}

// find looks up a turn that is not in its program's partition, since a new program may continue a turn of another one.
func (o *Owner) find(ctx context.Context, r *turnv1.FindRequest) *turnv1.FindResponse {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	resp, err := o.findAtAllOwners(ctx, r)
	if err == nil && resp.Outcome == turnv1.Outcome_OUTCOME_NO_SUCH_TURN {
		// A refusal that ends a program must not depend on the response of a replaced owner.
		confirmed := &turnv1.FindRequest{Account: r.Account, Turn: r.Turn, Confirm: true}
		resp, err = o.findAtAllOwners(ctx, confirmed)
	}
	if err != nil {
		klog.InfoS("turn lookup did not reach every owner", "turn", r.Turn, "cause", err.Error())
		return &turnv1.FindResponse{Outcome: turnv1.Outcome_OUTCOME_UNAVAILABLE}
	}
	return resp
}

func (o *Owner) findAtAllOwners(ctx context.Context, r *turnv1.FindRequest) (*turnv1.FindResponse, error) {
	local, err := o.Find(ctx, r)
	if err != nil || local.Outcome == turnv1.Outcome_OUTCOME_OK {
		return local, err
	}
	own := make([]int, 0, len(local.Partitions))
	for _, n := range local.Partitions {
		own = append(own, int(n))
	}
	return o.finder.FindAtOtherOwners(ctx, r, own)
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
		t := p.state.wholeTurn(turnKey{r.Account, r.Turn})
		p.mu.Unlock()
		if t == nil {
			if !r.Confirm || p.isCurrentOwner(ctx) {
				resp.Partitions = append(resp.Partitions, int32(p.number))
			}
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
	p.state.adopt(r, o.now())
	p.state.remember(keyOf(r), r.Session, r.Backend)
	if !r.Complete {
		ahead := p.state.grantAhead(r, o.now())
		p.state.settle(keyOf(r), r.Turn, r.Tokens, o.now())
		p.mu.Unlock()
		if ahead == nil {
			return turnv1.Outcome_OUTCOME_OK
		}
		return outcomeOf(p.submit(ctx, &turnv1.Record{Change: &turnv1.Record_Granted{Granted: ahead}}))
	}
	if p.state.turns[turnKey{r.Account, r.Turn}] != nil {
		p.mu.Unlock()
		return turnv1.Outcome_OUTCOME_OK
	}
	if p.state.lacksHistory(r) {
		p.mu.Unlock()
		klog.InfoS("turn ended at an owner without its history", "request", r.Turn, "account", r.Account, "program", r.Program,
			"previous", r.Previous, "partition", p.number)
		return turnv1.Outcome_OUTCOME_HISTORY_MISSING
	}
	record := o.completedRecord(p, r)
	p.mu.Unlock()
	outcome := outcomeOf(p.submit(ctx, record))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.settle(keyOf(r), r.Turn, r.Tokens, o.now())
	return outcome
}

func (o *Owner) completedRecord(p *partition, r *turnv1.EndRequest) *turnv1.Record {
	inherited := r.Inherited
	if len(inherited) == 0 {
		inherited = p.state.historyToInline(turnKey{r.Account, r.Previous}, o.now())
	}
	next := p.state.nextGrant(keyOf(r), r.Turn, r.Tokens, r.Most)
	return &turnv1.Record{Change: &turnv1.Record_Completed{Completed: &turnv1.Completed{
		Program: r.Program, Account: r.Account, Turn: r.Turn, Previous: r.Previous, Input: r.Input, Output: r.Output,
		Tokens: r.Tokens, Backend: r.Backend, Budget: r.Budget, Inherited: inherited,
		Granted: next.granted, Charged: next.charged, Forgiven: next.forgiven, KeepMs: r.KeepMs,
		AtUnixMs: o.now().UnixMilli(),
	}}}
}
