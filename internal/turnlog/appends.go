package turnlog

import (
	"context"
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
	// retryPause is the pause before a failed call to the store is repeated.
	retryPause = 60 * time.Millisecond
)

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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
