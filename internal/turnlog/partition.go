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
	// trimEvery is the pause between two deletions of old records.
	trimEvery = 20 * time.Second
	// expirySlack is how much longer than promised programs are kept, for clocks that differ.
	expirySlack = 5 * time.Second
	// releaseTimeout bounds the wait for the last appends of a partition that is given up, and releasePoll spaces the
	// looks at them.
	releaseTimeout = 400 * time.Millisecond
	releasePoll    = 2 * time.Millisecond
	// frameBytes is added to each record of an append.
	frameBytes = 4
)

// errNotOwner means that another process writes the partition, or that this one has stopped to.
var errNotOwner = errors.New("another instance owns the partition")

// entry is a record that waits to be appended.
type entry struct {
	record *turnv1.Record
	// ctx ends when nobody waits for the entry any more.
	ctx  context.Context
	done chan error
}

// partition owns one partition of the topic of programs. Ownership is a conditional append: whoever added the newest
// records knows all that precede them, and its next append fails if another process has added any since.
type partition struct {
	number    int
	name      platform.Partition
	store     *platform.Store
	writer    string
	callBytes int
	now       func() time.Time
	metrics   *Metrics

	mu    sync.Mutex
	state *state
	owned bool
	// busy is set while an append is under way.
	busy     bool
	end      int64
	sequence uint64
	// slowUntil is when the store counts as quick again; only the writing goroutine uses it.
	slowUntil time.Time
	queue     []*entry
	horizons  []horizon

	wake   chan struct{}
	cancel context.CancelFunc
	closed chan struct{}
}

// horizon remembers which offset was the newest at a time.
type horizon struct {
	at     time.Time
	offset int64
}

// run acquires the partition and writes to it until the context ends or another process takes it.
func (p *partition) run(ctx context.Context) {
	defer close(p.closed)
	for ctx.Err() == nil {
		if err := p.acquire(ctx); err != nil {
			return
		}
		p.write(ctx)
		p.disown()
	}
}

func (p *partition) disown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	klog.InfoS("partition released", "partition", p.number, "end", p.end, "programs", len(p.state.programs))
	p.owned, p.busy = false, false
	for _, e := range p.queue {
		e.done <- errNotOwner
	}
	p.queue = nil
}

// write appends what is queued, one append at a time, until the partition is lost or the context ends.
func (p *partition) write(ctx context.Context) {
	lastTrim := p.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		for {
			batch := p.next()
			if len(batch) == 0 {
				break
			}
			if !p.commit(ctx, batch) {
				return
			}
		}
		if p.now().Sub(lastTrim) >= trimEvery {
			lastTrim = p.now()
			p.trim(ctx)
		}
	}
}

// next takes the entries of the next append off the queue. Entries that nobody waits for are dropped.
func (p *partition) next() []*entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var batch []*entry
	size, taken := 0, 0
	for _, e := range p.queue {
		n := proto.Size(e.record) + len(p.writer) + 32 + frameBytes
		if len(batch) > 0 && size+n > p.callBytes {
			break
		}
		taken++
		if e.ctx.Err() != nil {
			e.done <- e.ctx.Err()
			continue
		}
		batch = append(batch, e)
		size += n
	}
	p.queue = append(p.queue[:0], p.queue[taken:]...)
	p.busy = len(batch) > 0
	return batch
}

func (p *partition) commit(ctx context.Context, batch []*entry) bool {
	start := p.now()
	sequence := p.sequence
	records := make([][]byte, len(batch))
	for i, e := range batch {
		records[i] = p.stamp(e.record)
	}
	end, err := p.append(ctx, p.end, records, sequence)
	if err != nil {
		klog.ErrorS(err, "append given up", "partition", p.number, "at", p.end, "records", len(records),
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
	p.end = end
	p.mu.Unlock()
	for _, e := range batch {
		e.done <- nil
	}
	return true
}

// submit queues a record and waits until it is durable. It returns errNotOwner if it never will be, or the context's
// error if that ended first: the record may then still land.
func (p *partition) submit(ctx context.Context, r *turnv1.Record) error {
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

// release stops taking records, lets those that wait be appended, and ends the writer.
func (p *partition) release() {
	p.mu.Lock()
	p.owned = false
	p.mu.Unlock()
	for deadline := p.now().Add(releaseTimeout); p.now().Before(deadline); time.Sleep(releasePoll) {
		p.mu.Lock()
		idle := !p.busy && len(p.queue) == 0
		p.mu.Unlock()
		if idle {
			break
		}
	}
	p.cancel()
	<-p.closed
}

// isNewest reports whether no other process has written to the partition: the store is asked for its end.
func (p *partition) isNewest(ctx context.Context) bool {
	p.mu.Lock()
	at := p.end
	p.mu.Unlock()
	page, err := p.store.Read(ctx, p.name, at, 1<<10, 0)
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	// The own append may have landed between the two looks.
	return p.owned && page.End <= p.end
}

// trim deletes the records that no kept program depends on.
func (p *partition) trim(ctx context.Context) {
	now := p.now()
	p.mu.Lock()
	p.state.expire(now, expirySlack)
	longest := time.Duration(0)
	for _, pr := range p.state.programs {
		longest = max(longest, pr.keep)
	}
	p.horizons = append(p.horizons, horizon{at: now, offset: p.end})
	before := int64(-1)
	for len(p.horizons) > 0 && now.Sub(p.horizons[0].at) > longest+inlineAfter+expirySlack {
		before = p.horizons[0].offset
		p.horizons = p.horizons[1:]
	}
	p.mu.Unlock()
	if before < 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := p.store.Trim(callCtx, p.name, before); err != nil {
		klog.ErrorS(err, "old records not deleted", "partition", p.number, "before", before)
	}
}
