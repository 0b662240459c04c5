package rates

import (
	"context"
	"sync"
	"time"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/routing"
)

const (
	// grantLife is how long granted tokens may be used. Tokens of one moment can be used up to so much later, which
	// the windows over which rates are judged must bear.
	grantLife = 350 * time.Millisecond
	// aheadFor is the time for which tokens are taken ahead of need.
	aheadFor = 250 * time.Millisecond
	// waitFor is how long a request waits for a token; a bucket refills within that time where the account is not over
	// its rate for longer.
	waitFor = 200 * time.Millisecond
	// waitForHolder is the same while no holder answers: the buckets get another within about as long.
	waitForHolder = 700 * time.Millisecond
)

// Taker reaches the holders.
type Taker interface {
	// Holder returns the address of the present holder; empty if none is known.
	Holder() string
	// Take sends a request for tokens to a holder.
	Take(ctx context.Context, holder string, r *turnv1.TakeRequest) (*turnv1.TakeResponse, error)
}

// Lessee admits the requests of one instance.
type Lessee struct {
	accounts Accounts
	members  Members
	self     string
	taker    Taker
	now      func() time.Time

	mu     sync.Mutex
	leases map[string]*lease
	// started is when the process began, answered when a holder last answered.
	started  time.Time
	answered time.Time
	// servedBy is the holder that answered last, and before the one that did so until then; each is empty once it said
	// that it is none.
	servedBy string
	before   served
	// alone is set while the instance grants itself.
	alone bool
	// instances is how many there are, as the holder last said.
	instances int
	wake      chan struct{}
}

// served is a holder with the time of its last grant.
type served struct {
	holder string
	at     time.Time
}

// Denial says why a request got no token.
type Denial struct {
	// OverRate means that the account is beyond its rate; otherwise no holder answered.
	OverRate   bool
	RetryAfter time.Duration
}

// NewLessee returns a lessee without tokens.
func NewLessee(a Accounts, m Members, self string, t Taker) *Lessee {
	return &Lessee{
		accounts: a, members: m, self: self, taker: t, now: time.Now, leases: map[string]*lease{}, started: time.Now(),
		wake: make(chan struct{}, 1),
	}
}

// Admit takes a token for a request of the account and waits for one briefly. It returns nil if the request may go on.
// The first request of a program is refused while the account has hardly enough for the programs under way.
func (l *Lessee) Admit(ctx context.Context, a routing.Account, first bool) *Denial {
	if a.Rate <= 0 {
		return nil
	}
	l.mu.Lock()
	s := l.lease(a.Name)
	s.arrivals++
	now := l.now()
	if wait := s.programsFrom.Sub(now); first && wait > 0 {
		l.mu.Unlock()
		l.ask()
		return &Denial{OverRate: true, RetryAfter: wait}
	}
	if len(s.waiters) == 0 && s.take(now) {
		low := s.held(now) < int64(s.demand*aheadFor.Seconds()/2)
		l.mu.Unlock()
		if low {
			l.ask()
		}
		return nil
	}
	w := &waiter{granted: make(chan bool, 1), since: now}
	s.waiters = append(s.waiters, w)
	l.mu.Unlock()
	l.ask()
	if w.wait(ctx, waitFor) || !l.answeredSince(w.since) && w.wait(ctx, waitForHolder-waitFor) {
		return nil
	}
	return l.giveUp(s, w)
}

// answeredSince reports whether a holder has answered after a time. If not, the next holder may be on its way.
func (l *Lessee) answeredSince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answered.After(t)
}

// giveUp withdraws a waiter; it returns nil if a token came just then.
func (l *Lessee) giveUp(s *lease, w *waiter) *Denial {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range s.waiters {
		if other == w {
			s.waiters = append(s.waiters[:i:i], s.waiters[i+1:]...)
			break
		}
	}
	select {
	case ok := <-w.granted:
		if ok {
			return nil
		}
	default:
	}
	return &Denial{OverRate: l.answered.After(w.since), RetryAfter: s.retryAfter}
}

func (l *Lessee) lease(account string) *lease {
	s := l.leases[account]
	if s == nil {
		s = &lease{}
		l.leases[account] = s
	}
	return s
}

func (l *Lessee) ask() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
