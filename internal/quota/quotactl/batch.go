package quotactl

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	quotav1 "github.com/berylpond/berylpond/api/quota/v1"
)

const (
	// maxInFlight is the number of Take calls under way to one holder; further takes wait for the next batch.
	maxInFlight = 2
	// maxBatch is the largest number of takes in one call.
	maxBatch = 512
	// maxQueued is the largest number of takes that wait for a call to one holder.
	maxQueued = 4096
)

var (
	errQueueFull    = errors.New("too many takes wait for the holder")
	errSilentHolder = errors.New("the holder has not answered of late")
)

type answer struct {
	result result
	err    error
}

type waiting struct {
	item *quotav1.TakeItem
	done chan answer
}

// batcher sends the takes for one holder, several in one call.
type batcher struct {
	c    *Controller
	addr string

	mu       sync.Mutex
	queue    []waiting
	inFlight int
	// failures counts calls without an answer in a row. Until silentTil takes fail at once.
	failures  int
	silentTil time.Time
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

// take returns an error when the answer is lost; the tokens then count as spent.
func (b *batcher) take(ctx context.Context, item *quotav1.TakeItem) (result, error) {
	w := waiting{item: item, done: make(chan answer, 1)}
	b.mu.Lock()
	if b.c.now().Before(b.silentTil) {
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

// send makes calls until the queue is empty.
func (b *batcher) send() {
	for {
		batch := b.next()
		if len(batch) == 0 {
			return
		}
		b.call(batch)
	}
}

func (b *batcher) next() []waiting {
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

func (b *batcher) call(batch []waiting) {
	req := &quotav1.TakeRequest{Items: make([]*quotav1.TakeItem, len(batch))}
	for i, w := range batch {
		req.Items[i] = w.item
	}
	resp, err := b.invoke(req)
	b.note(err)
	if err == nil && len(resp.Results) != len(batch) {
		err = errors.Newf("%d results for %d takes", len(resp.Results), len(batch))
	}
	for i, w := range batch {
		if err != nil {
			w.done <- answer{err: err}
			continue
		}
		r := resp.Results[i]
		w.done <- answer{result: result{outcome: r.Outcome, retryAfter: micros(r.RetryAfterUs), overRate: r.OverRate}}
	}
}

// note leaves a holder alone for a while that does not answer, so that takes are refused at once.
func (b *batcher) note(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.failures = 0
		return
	}
	if b.failures++; b.failures >= silentHolderCalls {
		b.silentTil = b.c.now().Add(silentHolderPause)
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
