package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/ratelimit"
)

// returnQueue spreads the returns of refused clients over time. Load pattern: all servers of a service are cold after a
// power loss and accept a fraction of what clients ask; if all who were refused came back at the same moment, most of them
// would be refused again, and the servers would idle in between.
type returnQueue struct {
	// next is when the latest refused client was told to return.
	next time.Time
}

// delay returns when the next client should return, from now: one after the other at the rate that this instance may send.
// jitter in [0, 1) keeps the clients of different instances apart. Beyond most, when the servers are expected to be warm,
// the queue begins again, since everybody who returns then is served.
func (q *returnQueue) delay(now time.Time, perSecond float64, most time.Duration, jitter float64) time.Duration {
	if q.next.Before(now) {
		q.next = now
	}
	step := most
	if perSecond > 0 {
		step = min(time.Duration(float64(time.Second)/perSecond), most)
	}
	q.next = q.next.Add(time.Duration((0.5 + jitter) * float64(step)))
	if q.next.Sub(now) > most {
		q.next = now.Add(time.Duration(jitter * float64(min(step, most))))
	}
	return q.next.Sub(now)
}

// returnQueues holds the queue of each service.
type returnQueues struct {
	mu sync.Mutex
	of map[string]*returnQueue
}

func (q *returnQueues) delay(service string, o fleet.ColdOutlook, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.of == nil {
		q.of = map[string]*returnQueue{}
	}
	if q.of[service] == nil {
		q.of[service] = &returnQueue{}
	}
	return q.of[service].delay(now, o.Share, o.Left, rand.Float64())
}

// denyCold is the denial of a request that only cold servers could run, none of which has a token.
func (x *exchange) denyCold() *ratelimit.Denial {
	delay := x.coldReturns.delay(x.service, x.fleet.ColdOutlook(x.service), x.now())
	return &ratelimit.Denial{OverRate: true, RetryAfter: retryAfterTransient + delay}
}
