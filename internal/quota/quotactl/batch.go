package quotactl

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	quotav1 "github.com/berylpond/berylpond/api/quota/v1"
)

const (
	// maxInFlight is the largest number of concurrent Take calls to one holder. Further takes wait for the next batch.
	maxInFlight = 2
	// maxBatch is the largest number of takes in one Take call.
	maxBatch = 512
	// maxQueued is the largest number of takes that wait for a call to one holder.
	maxQueued = 4096
)

var (
	errQueueFull    = errors.New("too many takes are queued for the holder")
	errSilentHolder = errors.New("recent calls to the holder failed")
)

type takeResponse struct {
	result result
	err    error
}

type queuedTake struct {
	item *quotav1.TakeItem
	done chan takeResponse
}

// batcher sends takes to one holder in batches.
type batcher struct {
	c    *Controller
	addr string

	mu       sync.Mutex
	queue    []queuedTake
	inFlight int
	// failures counts consecutive failed calls. Takes fail without a call until silentUntil.
	failures    int
	silentUntil time.Time
}

func (c *Controller) batcher(addr string) *batcher {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.batches[addr]
	if b == nil {
		b = &batcher{c: c, addr: addr}
		c.batches[addr] = b
	}
	return b
}

// take sends one take. If it returns an error other than errSilentHolder, the caller must assume that the holder has
// spent the tokens.
func (b *batcher) take(ctx context.Context, item *quotav1.TakeItem) (result, error) {
	w := queuedTake{item: item, done: make(chan takeResponse, 1)}
	b.mu.Lock()
	if b.c.now().Before(b.silentUntil) {
		b.mu.Unlock()
		return result{}, errSilentHolder
	}
	if len(b.queue) >= maxQueued {
		b.mu.Unlock()
		return result{}, errQueueFull
	}
	b.queue = append(b.queue, w)
	if b.inFlight < maxInFlight {
		b.inFlight++
		go b.send()
	}
	b.mu.Unlock()
	select {
	case a := <-w.done:
		return a.result, a.err
	case <-ctx.Done():
		return result{}, ctx.Err()
	}
}

// send sends batches until the queue is empty.
func (b *batcher) send() {
	for {
		batch := b.nextBatch()
		if len(batch) == 0 {
			return
		}
		b.callBatch(batch)
	}
}

func (b *batcher) nextBatch() []queuedTake {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.queue), maxBatch)
	if n == 0 {
		b.inFlight--
		return nil
	}
	batch := b.queue[:n:n]
	b.queue = b.queue[n:]
	return batch
}

func (b *batcher) callBatch(batch []queuedTake) {
	req := &quotav1.TakeRequest{Items: make([]*quotav1.TakeItem, len(batch))}
	for i, w := range batch {
		req.Items[i] = w.item
	}
	resp, err := b.invoke(req)
	b.recordOutcome(err)
	if err == nil && len(resp.Results) != len(batch) {
		err = errors.Newf("%d results for %d takes", len(resp.Results), len(batch))
	}
	for i, w := range batch {
		if err != nil {
			w.done <- takeResponse{err: err}
			continue
		}
		r := resp.Results[i]
		w.done <- takeResponse{result: result{outcome: r.Outcome, retryAfter: micros(r.RetryAfterUs), overRate: r.OverRate}}
	}
}

// recordOutcome suspends calls to a holder that does not respond, so that takes for it fail without waiting.
func (b *batcher) recordOutcome(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.failures = 0
		return
	}
	if b.failures++; b.failures >= silentHolderCalls {
		b.silentUntil = b.c.now().Add(silentHolderBackoff)
	}
}

func (b *batcher) invoke(req *quotav1.TakeRequest) (*quotav1.TakeResponse, error) {
	conn, err := b.c.dial.Conn(b.addr)
	if err != nil {
		return nil, errors.Wrap(err, "connecting to the holder")
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.c.cfg.TakeTimeout)
	defer cancel()
	return quotav1.NewQuotaClient(conn).Take(ctx, req)
}
