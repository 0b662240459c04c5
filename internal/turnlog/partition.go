package turnlog

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/platform"
)

const (
	// trimInterval is the interval between deletions of old records.
	trimInterval = 20 * time.Second
	// expirySlack is how much longer than required programs are kept, to allow for clock skew.
	expirySlack = 5 * time.Second
	// releaseTimeout bounds the wait for the last appends of a partition that is being released, and releasePollInterval
	// is the interval between checks for their completion.
	releaseTimeout      = 400 * time.Millisecond
	releasePollInterval = 2 * time.Millisecond
)

// errNotOwner means that another process owns the partition, or that this one has stopped writing to it.
var errNotOwner = errors.New("another instance owns the partition")

// entry is a record that is queued for an append.
type entry struct {
	record *turnv1.Record
	// ctx ends when the submitter no longer waits for the entry.
	ctx  context.Context
	done chan error
}

// partition owns one partition of the programs topic. Ownership rests on conditional appends: the process that appended
// the newest records has read all preceding ones, and its next append fails if another process has appended since.
type partition struct {
	number        int
	name          platform.Partition
	store         *platform.Store
	writer        string
	sizes         recordSizes
	advanceGrants bool
	now           func() time.Time
	metrics       *Metrics
	memory        Memory

	mu    sync.Mutex
	state *state
	// kept is what memory counts for the partition.
	kept  int64
	owned bool
	// busy is set while an append is in progress.
	busy     bool
	end      int64
	sequence uint64
	outage   outage
	// slowUntil is the end of the period in which the store is treated as slow; only the writing goroutine uses it.
	slowUntil     time.Time
	queue         []*entry
	offsetSamples []offsetSample

	wake   chan struct{}
	cancel context.CancelFunc
	closed chan struct{}
}

// offsetSample is the end offset of the partition at a point in time.
type offsetSample struct {
	at     time.Time
	offset int64
}

func (p *partition) newState() *state {
	s := newState(inlineAfter)
	s.useLag, s.advanceGrants = useLag, p.advanceGrants
	return s
}

// run acquires the partition and writes to it until the context ends, and acquires it again after another process took
// it over.
func (p *partition) run(ctx context.Context) {
	defer close(p.closed)
	for ctx.Err() == nil {
		if err := p.acquire(ctx); err != nil {
			return
		}
		p.write(ctx)
		p.dropOwnership()
	}
}

func (p *partition) dropOwnership() {
	p.mu.Lock()
	defer p.mu.Unlock()
	klog.InfoS("partition released", "partition", p.number, "end", p.end, "programs", len(p.state.programs))
	p.owned, p.busy = false, false
	for _, e := range p.queue {
		e.done <- errNotOwner
	}
	p.queue = nil
}

// write appends queued records, one append at a time, until ownership is lost or the context ends.
func (p *partition) write(ctx context.Context) {
	lastTrim := p.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		for {
			batch := p.nextBatch()
			if len(batch) == 0 {
				break
			}
			if !p.commit(ctx, batch) {
				return
			}
		}
		if p.now().Sub(lastTrim) >= trimInterval {
			lastTrim = p.now()
			p.trim(ctx)
		}
	}
}

// nextBatch removes the entries of the next append from the queue. Entries whose context has ended are dropped. An entry
// that needs more than one append is returned alone, so that no other is in the log if it fails half-way.
func (p *partition) nextBatch() []*entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var batch []*entry
	size, consumed := 0, 0
	for _, e := range p.queue {
		recordSize := p.sizes.stored(proto.Size(e.record))
		if len(batch) > 0 && size+recordSize > p.sizes.append {
			break
		}
		consumed++
		if e.ctx.Err() != nil {
			e.done <- e.ctx.Err()
			continue
		}
		batch = append(batch, e)
		size += recordSize
	}
	p.queue = append(p.queue[:0], p.queue[consumed:]...)
	p.busy = len(batch) > 0
	return batch
}

func (p *partition) commit(ctx context.Context, batch []*entry) bool {
	start := p.now()
	end, err := p.appendBatch(ctx, batch)
	if err != nil {
		klog.ErrorS(err, "append failed", "partition", p.number, "at", end, "records", len(batch),
			"took_ms", p.now().Sub(start).Milliseconds())
		for _, e := range batch {
			e.done <- err
		}
		return false
	}
	p.metrics.commits.Observe(p.now().Sub(start).Seconds())
	p.metrics.batch.Observe(float64(len(batch)))
	p.mu.Lock()
	for _, e := range batch {
		p.state.apply(e.record)
	}
	p.countKept(p.state.bytes)
	p.end = end
	p.mu.Unlock()
	for _, e := range batch {
		e.done <- nil
	}
	return true
}

// appendBatch appends the records of a batch at the end of the partition and returns the new end.
func (p *partition) appendBatch(ctx context.Context, batch []*entry) (end int64, err error) {
	end = p.end
	var records []*turnv1.Record
	for _, e := range batch {
		fragments, err := p.sizes.split(e.record)
		if err != nil {
			return end, err
		}
		records = append(records, fragments...)
	}
	for _, some := range p.sizes.appends(records) {
		next, err := p.append(ctx, end, some)
		if err != nil {
			return end, err
		}
		end = next
	}
	return end, nil
}

// submit queues a record and waits until it is durable. It returns errNotOwner if the record never will be, or the
// context's error if the context ended first, in which case the record may still be appended.
func (p *partition) submit(ctx context.Context, r *turnv1.Record) error {
	if err := checkEncodable(r); err != nil {
		klog.ErrorS(err, "record not written", "partition", p.number)
		return err
	}
	e := &entry{record: r, ctx: ctx, done: make(chan error, 1)}
	p.mu.Lock()
	if !p.owned {
		p.mu.Unlock()
		return errNotOwner
	}
	p.queue = append(p.queue, e)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	select {
	case err := <-e.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release stops accepting records, gives back unused grants, waits up to releaseTimeout for the queued records to be appended,
// and stops the writer.
func (p *partition) release() {
	p.mu.Lock()
	if p.owned && p.state.advanceGrants {
		for _, r := range p.state.unused() {
			p.queue = append(p.queue, &entry{record: r, ctx: context.Background(), done: make(chan error, 1)})
		}
	}
	p.owned = false
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	for deadline := p.now().Add(releaseTimeout); p.now().Before(deadline); time.Sleep(releasePollInterval) {
		p.mu.Lock()
		idle := !p.busy && len(p.queue) == 0
		p.mu.Unlock()
		if idle {
			break
		}
	}
	p.cancel()
	<-p.closed
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countKept(0)
}

// countKept sets what memory counts for the partition. p.mu must be held.
func (p *partition) countKept(bytes int64) {
	if p.memory != nil {
		p.memory.Keep(bytes - p.kept)
	}
	p.kept = bytes
}

// isCurrentOwner reads the end of the partition from the store and reports whether no other process has appended to it.
func (p *partition) isCurrentOwner(ctx context.Context) bool {
	p.mu.Lock()
	at := p.end
	p.mu.Unlock()
	page, err := p.store.Read(ctx, p.name, at, 1<<10, 0)
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// An append of this process may have been applied between reading p.end and reading the store.
	return p.owned && page.End <= p.end
}

// trim deletes the records that no retained program depends on.
func (p *partition) trim(ctx context.Context) {
	now := p.now()
	p.mu.Lock()
	p.state.expire(now, expirySlack)
	p.countKept(p.state.bytes)
	retention := time.Duration(0)
	for _, pr := range p.state.programs {
		retention = max(retention, pr.keep)
	}
	p.offsetSamples = append(p.offsetSamples, offsetSample{at: now, offset: p.end})
	before := int64(-1)
	for len(p.offsetSamples) > 0 && now.Sub(p.offsetSamples[0].at) > retention+inlineAfter+expirySlack {
		before = p.offsetSamples[0].offset
		p.offsetSamples = p.offsetSamples[1:]
	}
	p.mu.Unlock()
	if before < 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := p.store.Trim(callCtx, p.name, before); err != nil {
		klog.ErrorS(err, "failed to trim the partition", "partition", p.number, "before", before)
	}
}
