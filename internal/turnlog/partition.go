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
	// appendTimeout is how long an append is awaited before it is repeated. The store answers within milliseconds and
	// within a quarter of a second while it is slow.
	appendTimeout = 600 * time.Millisecond
	// firstAnswer is how long the first answer to an append is awaited before the log is looked at: several times what the
	// store takes. Answers may be lost, and the appends of a partition wait for each other.
	firstAnswer = 50 * time.Millisecond
	// lookTimeout bounds that look.
	lookTimeout = 100 * time.Millisecond
	// slowFor is how long the store counts as slow, and its answers are awaited, after a look that did not help.
	slowFor = 2 * time.Second
	// readTimeout bounds one read of the log at a take-over.
	readTimeout = 3 * time.Second
	// readBytes is the size of one read at a take-over.
	readBytes = 1 << 20
	// retryPause is the pause before a failed call to the store is repeated.
	retryPause = 60 * time.Millisecond
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

// acquire reads the partition and marks its end as the start of this ownership.
func (p *partition) acquire(ctx context.Context) error {
	start := p.now()
	s := newState(inlineAfter)
	var at int64
	var records, bytes int
	for {
		page, err := p.read(ctx, at)
		var trimmed *platform.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			at = trimmed.First
			continue
		case err != nil:
			return err
		}
		for _, b := range page.Records {
			bytes += len(b)
			if r := p.decode(b, at); r != nil {
				s.apply(r)
			}
			at++
			records++
		}
		if at < page.End {
			continue
		}
		mark := p.stamp(&turnv1.Record{Change: &turnv1.Record_Acquired{Acquired: &turnv1.Acquired{}}})
		end, err := p.append(ctx, at, [][]byte{mark}, p.sequence)
		if errors.Is(err, errNotOwner) {
			continue
		}
		if err != nil {
			return err
		}
		at = end
		break
	}
	s.adopt()
	s.expire(p.now(), expirySlack)
	programs, turns := len(s.programs), len(s.turns)
	p.mu.Lock()
	p.state, p.end, p.owned = s, at, true
	p.mu.Unlock()
	p.metrics.takeovers.Observe(p.now().Sub(start).Seconds())
	klog.InfoS("partition acquired", "partition", p.number, "end", at, "records", records, "bytes", bytes,
		"programs", programs, "turns", turns, "took_ms", p.now().Sub(start).Milliseconds())
	return nil
}

func (p *partition) decode(b []byte, offset int64) *turnv1.Record {
	r := &turnv1.Record{}
	if err := proto.Unmarshal(b, r); err != nil {
		klog.ErrorS(err, "unreadable record of programs skipped", "partition", p.number, "offset", offset)
		return nil
	}
	return r
}

// read repeats a read until the store answers or the context ends.
func (p *partition) read(ctx context.Context, from int64) (platform.Records, error) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := p.store.Read(callCtx, p.name, from, readBytes, 0)
		cancel()
		var trimmed *platform.TrimmedError
		if err == nil || errors.As(err, &trimmed) || ctx.Err() != nil {
			return page, err
		}
		p.metrics.storeRetries.WithLabelValues("read").Inc()
		sleep(ctx, retryPause)
	}
}

// stamp names the writer and the append in a record and encodes it. The pair tells an append that landed without an
// answer from those of other processes.
func (p *partition) stamp(r *turnv1.Record) []byte {
	r.Writer, r.Sequence = p.writer, p.sequence
	b, err := proto.Marshal(r)
	if err != nil {
		klog.ErrorS(err, "record of a program can't be encoded", "partition", p.number)
	}
	return b
}

// append adds records at an offset and repeats the append until its outcome is known. It returns errNotOwner if the
// records are not in the log and never will be.
func (p *partition) append(ctx context.Context, at int64, records [][]byte, sequence uint64) (int64, error) {
	p.sequence++
	if end, done := p.tryAppend(ctx, at, records, sequence); done {
		return end, nil
	}
	for {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		end, err := p.store.Append(callCtx, p.name, at, records)
		cancel()
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return end, nil
		case errors.As(err, &conflict):
			mine, err := p.landed(ctx, at, sequence)
			if err != nil {
				return 0, err
			}
			if mine {
				return at + int64(len(records)), nil
			}
			return 0, errNotOwner
		case ctx.Err() != nil:
			return 0, ctx.Err()
		case errors.Is(err, platform.ErrRejected):
			return 0, err
		case errors.Is(err, platform.ErrFull):
			klog.ErrorS(err, "append refused", "partition", p.number, "records", len(records))
		}
		p.metrics.storeRetries.WithLabelValues("append").Inc()
		sleep(ctx, retryPause)
	}
}

// tryAppend makes the first attempt of an append. If no answer comes soon it looks whether the records are in the log all
// the same. It reports false if the outcome is not known.
func (p *partition) tryAppend(ctx context.Context, at int64, records [][]byte, sequence uint64) (end int64, done bool) {
	if p.now().Before(p.slowUntil) {
		return 0, false
	}
	callCtx, cancel := context.WithTimeout(ctx, firstAnswer)
	end, err := p.store.TryAppend(callCtx, p.name, at, records)
	cancel()
	if err == nil {
		return end, true
	}
	if !errors.Is(err, platform.ErrUnknown) {
		return 0, false
	}
	callCtx, cancel = context.WithTimeout(ctx, lookTimeout)
	page, err := p.store.Read(callCtx, p.name, at, 1<<10, 0)
	cancel()
	if err == nil && p.isFirst(page, at, sequence) {
		p.metrics.storeRetries.WithLabelValues("look").Inc()
		return at + int64(len(records)), true
	}
	p.slowUntil = p.now().Add(slowFor)
	return 0, false
}

// landed reports whether the record at an offset is this process's append with the given sequence.
func (p *partition) landed(ctx context.Context, at int64, sequence uint64) (bool, error) {
	page, err := p.read(ctx, at)
	if err != nil {
		return false, err
	}
	return p.isFirst(page, at, sequence), nil
}

// isFirst reports whether a page that was read from an offset begins with this process's append of the given sequence.
func (p *partition) isFirst(page platform.Records, at int64, sequence uint64) bool {
	if len(page.Records) == 0 {
		return false
	}
	r := p.decode(page.Records[0], at)
	return r != nil && r.Writer == p.writer && r.Sequence == sequence
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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
