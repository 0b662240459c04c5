package rates

import (
	"context"
	"time"
)

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
