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
	// appendTimeout bounds one attempt of an append; after it the append is retried. The store responds within
	// milliseconds, and within 250 ms while it is slow.
	appendTimeout = 600 * time.Millisecond
	// firstAttemptTimeout bounds the first attempt of an append, after which the log is read to see whether the append
	// took effect. It is several times the store's usual latency. It is short because responses may be lost and the
	// appends of a partition are serialized.
	firstAttemptTimeout = 50 * time.Millisecond
	// verifyTimeout bounds that read.
	verifyTimeout = 100 * time.Millisecond
	// slowStorePeriod is how long the store is treated as slow after a verifying read was inconclusive. During it
	// appends use appendTimeout from the first attempt on.
	slowStorePeriod = 2 * time.Second
	// readTimeout bounds one read of the log during a takeover.
	readTimeout = 3 * time.Second
	// retryDelay is the delay before a failed call to the store is retried.
	retryDelay = 60 * time.Millisecond
)

func (p *partition) decode(b []byte, offset int64) *turnv1.Record {
	r := &turnv1.Record{}
	if err := proto.Unmarshal(b, r); err != nil {
		klog.ErrorS(err, "skipped a record that cannot be decoded", "partition", p.number, "offset", offset)
		return nil
	}
	return r
}

// read retries a read until the store responds or the context ends.
func (p *partition) read(ctx context.Context, offset int64) (platform.ReadResult, error) {
	defer p.setOutage(outage{})
	for began := p.now(); ; {
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := p.store.Read(callCtx, p.name, offset, readBytes, 0)
		cancel()
		var trimmed *platform.TrimmedError
		if err == nil || errors.As(err, &trimmed) || ctx.Err() != nil {
			return page, err
		}
		p.setOutage(outage{since: began})
		p.metrics.storeRetries.WithLabelValues("read").Inc()
		sleep(ctx, retryDelay)
	}
}

// encode sets the writer and the sequence number of the next append in records and encodes them. The pair identifies the append:
// if its response is lost, the writer can tell its record in the log from those of other processes.
func (p *partition) encode(records []*turnv1.Record) ([][]byte, error) {
	out := make([][]byte, len(records))
	for i, r := range records {
		r.Writer, r.Sequence = p.writer, p.sequence
		b, err := proto.Marshal(r)
		if err != nil {
			return nil, errors.Wrap(err, "encoding a record")
		}
		out[i] = b
	}
	return out, nil
}

// append adds records at an offset and retries until the outcome is known. It returns errNotOwner if the records are not in the
// log and never will be.
func (p *partition) append(ctx context.Context, offset int64, unencoded []*turnv1.Record) (int64, error) {
	records, err := p.encode(unencoded)
	if err != nil {
		return 0, err
	}
	sequence := p.sequence
	p.sequence++
	began := p.now()
	if end, ok := p.tryAppend(ctx, offset, records, sequence); ok {
		return end, nil
	}
	p.setOutage(outage{since: began})
	defer p.setOutage(outage{})
	for {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		end, err := p.store.Append(callCtx, p.name, offset, records)
		cancel()
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			return end, nil
		case errors.As(err, &conflict):
			appended, err := p.isAppended(ctx, offset, sequence)
			if err != nil {
				return 0, err
			}
			if appended {
				return offset + int64(len(records)), nil
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
		sleep(ctx, retryDelay)
	}
}

func (p *partition) setOutage(o outage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outage = o
}

// tryAppend makes the first attempt of an append. Without a response within firstAttemptTimeout it reads the log to
// check whether the records were appended anyway. It reports false if the outcome is unknown.
func (p *partition) tryAppend(ctx context.Context, offset int64, records [][]byte, seq uint64) (end int64, ok bool) {
	if p.now().Before(p.slowUntil) {
		return 0, false
	}
	callCtx, cancel := context.WithTimeout(ctx, firstAttemptTimeout)
	end, err := p.store.TryAppend(callCtx, p.name, offset, records)
	cancel()
	if err == nil {
		return end, true
	}
	if !errors.Is(err, platform.ErrOutcomeUnknown) {
		return 0, false
	}
	callCtx, cancel = context.WithTimeout(ctx, verifyTimeout)
	page, err := p.store.Read(callCtx, p.name, offset, 1<<10, 0)
	cancel()
	if err == nil && p.startsWithAppend(page, offset, seq) {
		p.metrics.storeRetries.WithLabelValues("look").Inc()
		return offset + int64(len(records)), true
	}
	p.slowUntil = p.now().Add(slowStorePeriod)
	return 0, false
}

// isAppended reports whether the record at an offset belongs to this process's append with the given sequence number.
func (p *partition) isAppended(ctx context.Context, offset int64, sequence uint64) (bool, error) {
	page, err := p.read(ctx, offset)
	if err != nil {
		return false, err
	}
	return p.startsWithAppend(page, offset, sequence), nil
}

// startsWithAppend reports whether a page read from an offset begins with this process's append with the given sequence
// number.
func (p *partition) startsWithAppend(page platform.ReadResult, offset int64, sequence uint64) bool {
	if len(page.Records) == 0 {
		return false
	}
	r := p.decode(page.Records[0], offset)
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
