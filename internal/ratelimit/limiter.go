package ratelimit

import (
	"context"
	"sync"
	"time"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/backendlimit"
	"github.com/berylpond/berylpond/internal/routing"
)

const (
	// grantTTL is how long granted tokens may be used. The windows over which rates are measured must tolerate that tokens
	// are used up to that much later than they were granted.
	grantTTL = 350 * time.Millisecond
	// prefetchWindow is the time for whose expected demand tokens are prefetched.
	prefetchWindow = 250 * time.Millisecond
	// maxWait is how long a request waits for a token. A bucket refills within that time unless the account exceeds its
	// rate for longer.
	maxWait = 200 * time.Millisecond
	// maxWaitWithoutHolder is the same while no holder responds. It takes about as long until the buckets have another
	// holder.
	maxWaitWithoutHolder = 700 * time.Millisecond
)

// HolderClient sends requests for tokens to holders.
type HolderClient interface {
	// Holder returns the address of the current holder, or "" if none is known.
	Holder() string
	// Take sends a request for tokens to a holder.
	Take(ctx context.Context, holder string, r *turnv1.TakeRequest) (*turnv1.TakeResponse, error)
}

// Loads is what an instance tells the holder of the loads of backend servers, and learns from it. It travels like Suspects.
type Loads interface {
	// Report adds what this instance knows to a request to the holder.
	Report(holder string, r *turnv1.TakeRequest)
	// ReportFailed tells that the holder has not taken the request.
	ReportFailed(r *turnv1.TakeRequest)
	// Learn takes what the holder's response says.
	Learn(resp *turnv1.TakeResponse)
}

// Suspects is what an instance tells the holder about requests that make backend servers crash. It travels with the requests
// for tokens, which every instance sends to the holder anyway.
type Suspects interface {
	// Report adds the news to a request to the holder. ReportFailed is called if the request failed, Learn with its response
	// otherwise.
	Report(holder string, r *turnv1.TakeRequest)
	ReportFailed(r *turnv1.TakeRequest)
	Learn(resp *turnv1.TakeResponse)
}

// Limiter admits the requests of one instance with tokens from the holder.
type Limiter struct {
	configuration ConfigurationFunc
	members       MembersFunc
	self          string
	client        HolderClient
	now           func() time.Time
	// OnLimit, if not nil, is called with what the holder tells about the limit of a backend server.
	OnLimit func(backendlimit.Server, backendlimit.State)
	// Suspects, if not nil, is exchanged along with the tokens.
	Suspects Suspects
	// Loads, if not nil, is exchanged along with the tokens.
	Loads Loads

	mu     sync.Mutex
	states map[string]*tokenState
	// servers holds the state of backend servers that limit their requests.
	servers map[backendlimit.Server]*serverState
	// limits holds the announced limits of backend servers, and unreported those that changed since the last request to the
	// holder. limitsRevision is the revision that the holder last sent, zero for a new holder.
	limits         limits
	unreported     map[backendlimit.Server]bool
	limitsRevision int64
	// started is when the process started, lastResponse when a holder last responded.
	started      time.Time
	lastResponse time.Time
	// servedBy is the holder that responded last, and previous the one before it. Each is cleared once that instance has
	// reported that it no longer serves this one.
	servedBy string
	previous formerHolder
	// inFallback is set while the instance uses its own share.
	inFallback bool
	// instances is the number of instances that the holder last reported.
	instances int
	wake      chan struct{}
}

// formerHolder is a holder with the time of its last response.
type formerHolder struct {
	holder string
	at     time.Time
}

// Denial is the reason for which a request got no token.
type Denial struct {
	// OverRate means that the account exceeds its rate; otherwise no holder responded.
	OverRate   bool
	RetryAfter time.Duration
}

// NewLimiter returns a limiter without tokens.
func NewLimiter(configuration ConfigurationFunc, members MembersFunc, self string, client HolderClient) *Limiter {
	return &Limiter{
		configuration: configuration, members: members, self: self, client: client, now: time.Now,
		states:  map[string]*tokenState{},
		servers: map[backendlimit.Server]*serverState{},
		limits:  limits{}, unreported: map[backendlimit.Server]bool{},
		started: time.Now(),
		wake:    make(chan struct{}, 1),
	}
}

// Admit takes a token for a request of the account, waiting for it briefly if none is held. It returns nil if the
// request is admitted. The first request of a program is refused while the bucket is below the reserve for running
// programs.
func (l *Limiter) Admit(ctx context.Context, a routing.Account, first bool) *Denial {
	if a.RequestsPerSecond <= 0 {
		return nil
	}
	l.mu.Lock()
	s := l.state(a.Name)
	now := l.now()
	if wait := s.newProgramsFrom.Sub(now); first && wait > 0 {
		l.mu.Unlock()
		l.requestExchange()
		return &Denial{OverRate: true, RetryAfter: wait}
	}
	s.arrivals++
	if len(s.waiters) == 0 && s.takeToken(now) {
		low := s.heldTokens(now) < int64(s.demand*prefetchWindow.Seconds()/2)
		l.mu.Unlock()
		if low {
			l.requestExchange()
		}
		return nil
	}
	w := s.addWaiter(now)
	l.mu.Unlock()
	return l.await(ctx, s, w)
}

// await waits until the waiter gets a token or is refused.
func (l *Limiter) await(ctx context.Context, s *tokenState, w *waiter) *Denial {
	l.requestExchange()
	if w.wait(ctx, maxWait) || !l.respondedSince(w.since) && w.wait(ctx, maxWaitWithoutHolder-maxWait) {
		return nil
	}
	return l.cancelWait(s, w)
}

// DenyProgram returns the reason for which no program of the account may begin now, or nil. It is for first requests that were
// not known as such when their token was taken.
func (l *Limiter) DenyProgram(a routing.Account) *Denial {
	if a.RequestsPerSecond <= 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(a.Name)
	if wait := s.newProgramsFrom.Sub(l.now()); wait > 0 {
		// Tokens that are prefetched for programs which may not begin would keep the bucket below the reserve.
		s.arrivals = max(s.arrivals-1, 0)
		return &Denial{OverRate: true, RetryAfter: wait}
	}
	return nil
}

// Refund returns the token of an admitted request that no backend server has run and none will. The token goes back to the
// holder, so that it is granted again with a new time to live. Load pattern: a program whose budget is spent goes on
// asking, and each refusal would take a token from the account's other programs.
func (l *Limiter) Refund(a routing.Account) {
	if a.RequestsPerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFallback {
		// The token may come from the instance's own share, which the holder's buckets do not contain.
		return
	}
	l.state(a.Name).unused++
}

// respondedSince reports whether a holder has responded after the given time. If not, the holder may be about to
// change.
func (l *Limiter) respondedSince(t time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastResponse.After(t)
}

// cancelWait removes a waiter. It returns nil if the waiter was granted a token meanwhile.
func (l *Limiter) cancelWait(s *tokenState, w *waiter) *Denial {
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
	return &Denial{OverRate: l.lastResponse.After(w.since), RetryAfter: s.retryAfter}
}

func (l *Limiter) state(account string) *tokenState {
	s := l.states[account]
	if s == nil {
		s = &tokenState{}
		l.states[account] = s
	}
	return s
}

// ExchangeSoon has the next request sent to the holder without waiting for its time.
func (l *Limiter) ExchangeSoon() { l.requestExchange() }

func (l *Limiter) requestExchange() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
