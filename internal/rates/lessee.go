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
	// heartbeat is the longest pause between two messages to the holder, by which it knows whom it serves.
	heartbeat = 350 * time.Millisecond
	// takeTimeout bounds a message to the holder.
	takeTimeout = 250 * time.Millisecond
	// waitFor is how long a request waits for a token; a bucket refills within that time where the account is not over
	// its rate for longer.
	waitFor = 200 * time.Millisecond
	// waitForHolder is the same while no holder answers: the buckets get another within about as long.
	waitForHolder = 700 * time.Millisecond
	// aloneAfter is how long without an answer of a holder until an instance uses a part of its share of each rate. It is
	// longer than activeWithin, after which the holder no longer counts the instance as served.
	aloneAfter = 1300 * time.Millisecond
	// askPause spaces messages to the holder.
	askPause = 10 * time.Millisecond
	// failPause is the pause after a holder that did not answer or is none.
	failPause = 50 * time.Millisecond
	// demandDecay is the weight of the newest interval in the estimate of an account's demand.
	demandDecay = 0.3
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

	mu       sync.Mutex
	leases   map[string]*lease
	started  time.Time
	answered time.Time
	// servedBy is the holder that answered last, and before the one that did so until then; each is empty once it said
	// that it is none.
	servedBy string
	before   served
	// instances is how many there are, as the holder last said.
	instances int
	wake      chan struct{}
}

// served is a holder with the time of its last grant.
type served struct {
	holder string
	at     time.Time
}

type lot struct {
	tokens  int64
	expires time.Time
}

type lease struct {
	lots    []lot
	waiters []*waiter
	// unused counts tokens of lots that have expired, to be given back.
	unused int64
	// arrivals since the last message, and the estimate of demand in requests a second.
	arrivals int64
	demand   float64
	asked    time.Time
	// own is the bucket used while no holder answers.
	own bucket
	// retryAfter is the holder's last word on when the bucket holds a token again.
	retryAfter time.Duration
	// programsFrom is when the bucket should be full enough for new programs.
	programsFrom time.Time
}

type waiter struct {
	granted chan bool
	since   time.Time
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

// wait reports whether the waiter got a token within the limit. It returns early if there will be none for a while.
func (w *waiter) wait(ctx context.Context, limit time.Duration) bool {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case ok := <-w.granted:
		return ok
	case <-t.C:
	case <-ctx.Done():
	}
	return false
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

func (s *lease) take(now time.Time) bool {
	s.expire(now)
	if len(s.lots) == 0 {
		return false
	}
	s.lots[0].tokens--
	if s.lots[0].tokens == 0 {
		s.lots = s.lots[1:]
	}
	return true
}

func (s *lease) held(now time.Time) int64 {
	s.expire(now)
	var n int64
	for _, x := range s.lots {
		n += x.tokens
	}
	return n
}

func (s *lease) expire(now time.Time) {
	for len(s.lots) > 0 && !now.Before(s.lots[0].expires) {
		s.unused += s.lots[0].tokens
		s.lots = s.lots[1:]
	}
}

func (l *Lessee) ask() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run exchanges messages with the holder until the context ends.
func (l *Lessee) Run(ctx context.Context) {
	t := time.NewTimer(heartbeat)
	defer t.Stop()
	for {
		t.Reset(heartbeat)
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-t.C:
		}
		pause := askPause
		if !l.exchange(ctx) {
			pause = failPause
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		if l.waiting() {
			l.ask()
		}
	}
}

func (l *Lessee) waiting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.leases {
		if len(s.waiters) > 0 {
			return true
		}
	}
	return false
}

// exchange sends one message to the holder and hands out what it grants.
func (l *Lessee) exchange(ctx context.Context) bool {
	holder := l.holder()
	l.leave(ctx, holder)
	r := l.request()
	sent := l.now()
	resp, err := l.take(ctx, holder, r)
	if err != nil || resp.Outcome != turnv1.Outcome_OUTCOME_OK {
		l.released(resp)
		l.selfGrant()
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if resp.Holder != l.servedBy {
		l.before = served{holder: l.servedBy, at: l.answered}
	}
	l.answered, l.servedBy, l.instances = l.now(), resp.Holder, int(resp.Instances)
	for _, g := range resp.Grants {
		s := l.lease(g.Account)
		s.own = bucket{}
		s.retryAfter = time.Duration(g.RetryAfterMs) * time.Millisecond
		s.programsFrom = l.answered.Add(time.Duration(g.ProgramsAfterMs) * time.Millisecond)
		if g.Tokens > 0 {
			// The life of a grant counts from before the holder could have made it.
			s.lots = append(s.lots, lot{tokens: g.Tokens, expires: sent.Add(grantLife)})
		}
		s.serve(l.now())
		if g.RetryAfterMs > 0 && s.retryAfter > waitFor {
			s.refuse()
		}
	}
	return true
}

// holder returns the present holder; while none is known, the last one, which may go on.
func (l *Lessee) holder() string {
	if a := l.taker.Holder(); a != "" {
		return a
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servedBy
}

func (l *Lessee) take(ctx context.Context, holder string, r *turnv1.TakeRequest) (*turnv1.TakeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	return l.taker.Take(ctx, holder, r)
}

// leave tells the last holder that this instance goes to the next. Until the last one has answered, the next counts this
// instance as served by it, and grants it nothing.
func (l *Lessee) leave(ctx context.Context, next string) {
	l.mu.Lock()
	last, age := l.servedBy, l.now().Sub(l.answered)
	l.mu.Unlock()
	if last == "" || last == next || age > activeWithin {
		return
	}
	if resp, err := l.take(ctx, last, &turnv1.TakeRequest{Instance: l.self, Leaving: true}); err == nil {
		l.released(resp)
	}
}

// released notes that the last holder has given the buckets up.
func (l *Lessee) released(resp *turnv1.TakeResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case resp == nil:
	case resp.Holder == l.servedBy:
		l.servedBy = ""
	case resp.Holder == l.before.holder:
		l.before.holder = ""
	}
}

// serve hands held tokens to the requests that wait, in order.
func (s *lease) serve(now time.Time) {
	for len(s.waiters) > 0 && s.take(now) {
		s.waiters[0].granted <- true
		s.waiters = s.waiters[1:]
	}
}

func (s *lease) refuse() {
	for _, w := range s.waiters {
		w.granted <- false
	}
	s.waiters = nil
}

// request collects what every account needs.
func (l *Lessee) request() *turnv1.TakeRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	r := &turnv1.TakeRequest{
		Instance: l.self, Known: l.members(),
		ServedBy: l.servedBy, ServedMsAgo: now.Sub(l.answered).Milliseconds(),
		ServedBefore: l.before.holder, ServedBeforeMsAgo: now.Sub(l.before.at).Milliseconds(),
	}
	for name, s := range l.leases {
		if elapsed := now.Sub(s.asked); elapsed >= aheadFor/2 {
			s.demand += demandDecay * (float64(s.arrivals)/elapsed.Seconds() - s.demand)
			s.arrivals, s.asked = 0, now
		}
		held := s.held(now)
		want := int64(len(s.waiters)) + int64(s.demand*aheadFor.Seconds()+0.5) - held
		if want <= 0 && s.unused == 0 {
			continue
		}
		r.Demands = append(r.Demands, &turnv1.Demand{Account: name, Want: max(want, 0), Unused: s.unused})
		s.unused = 0
	}
	return r
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// selfGrant lets the instance use a part of its own share of each rate once no holder has answered for a while.
func (l *Lessee) selfGrant() {
	c := l.accounts()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	// A process that has just started may have used its share before, so its own start counts as an answer.
	if c == nil || now.Sub(later(l.answered, l.started)) < aloneAfter {
		return
	}
	part := cutOffShare / float64(max(len(l.members())+1, l.instances))
	for name, s := range l.leases {
		a, ok := c.Accounts[name]
		if !ok {
			continue
		}
		if s.own.filled.IsZero() {
			s.own.filled = now
		}
		s.own.tokens = min(s.own.tokens+a.Rate*part*now.Sub(s.own.filled).Seconds(), max(a.Burst*part, 1))
		s.own.filled = now
		if whole := int64(s.own.tokens); whole > 0 {
			s.own.tokens -= float64(whole)
			s.lots = append(s.lots, lot{tokens: whole, expires: now.Add(grantLife)})
			s.serve(now)
		}
	}
}
