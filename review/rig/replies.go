package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// conversations is the number of programs.
	conversations = 36
	// replyAfter is when users reply to the first turn, within retainS.
	replyAfter = 59700 * time.Millisecond
	// roomAfter is when the runners have room again, so that the replies that were refused before are sent again and served.
	roomAfter = 60600 * time.Millisecond
	// stopAfter is when an instance is stopped: while the replies are being answered.
	stopAfter = 65050 * time.Millisecond
	// replyEvents and replyInterval make an answer take 4.5 s of the 5 s that clients wait.
	replyEvents   = 18
	replyInterval = 250 * time.Millisecond
	// replyTries are three sends of a turn with one retry each, resendAfter the least time between them.
	replyTries  = 6
	resendAfter = 300 * time.Millisecond
)

// replies: users reply about a minute after the first turn, when the runners are full for a moment, and an instance is stopped
// while the replies are answered.
func replies(r *rig) error {
	if err := r.configure(baseConfig(1)); err != nil {
		return err
	}
	var full atomic.Bool
	for n := range 4 {
		s := r.serve(fmt.Sprint("llm-", n+1), "llm", replyEvents, replyInterval)
		s.Handler = func(w http.ResponseWriter, q *http.Request, _ string) bool {
			if full.Load() {
				w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			}
			return false
		}
	}
	for range 3 {
		if err := r.place().start(true); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	// history is what has been said in each conversation, last the id of its last turn, and received what a server is to receive.
	said, last, received := map[int]string{}, map[int]string{}, map[string]string{}
	via := map[int]int{}
	say := func(n int, input string) {
		for try := 0; try < replyTries; try++ {
			mu.Lock()
			q := turn("key-acme", "conversation-"+strconv.Itoa(n), last[n], input)
			before := said[n]
			received[q.id] = before + input
			mu.Unlock()
			// Retries reach other instances, and some lines of turns arrive through another zone from one turn to the next. The first
			// instance is the one that stops.
			mu.Lock()
			via[n]++
			d := r.daemons[1+via[n]%(len(r.daemons)-1)]
			mu.Unlock()
			a := r.send(d, q)
			if a.status == 200 && a.err == nil {
				mu.Lock()
				last[n], said[n] = q.id, before+input+history(a.body)
				mu.Unlock()
				return
			}
			time.Sleep(max(a.retryAfter(), resendAfter))
		}
		r.logf("conversation %d: %q was not answered", n, input)
		mu.Lock()
		last[n] = ""
		mu.Unlock()
	}
	all := func(turnNumber int) {
		var wg sync.WaitGroup
		for n := range conversations {
			if turnNumber == 1 || last[n] != "" {
				wg.Go(func() { say(n, fmt.Sprintf("input %d\n", turnNumber)) })
			}
		}
		wg.Wait()
	}
	all(1)
	ended := time.Now()
	r.logf("the first turns have ended")
	if r.trouble {
		go func() {
			time.Sleep(time.Until(ended.Add(stopAfter)))
			d := r.daemons[0]
			if err := d.signal(syscall.SIGTERM); err != nil {
				r.logf("SIGTERM: %v", err)
			}
		}()
	}
	time.Sleep(time.Until(ended.Add(replyAfter)))
	full.Store(true)
	r.logf("the runners are full")
	time.AfterFunc(time.Until(ended.Add(roomAfter)), func() {
		full.Store(false)
		r.logf("the runners have room")
	})
	all(2)
	r.logf("the second turns have ended")
	all(3)
	for _, s := range r.servers {
		for _, e := range s.Executions() {
			if want, ok := received[e.ID]; ok && e.Body != want {
				r.breaks("UNASKED: server %s ran turn %s of %s with %q where its chain is %q", s.ID, e.ID, e.Header.Get("Program-Id"), e.Body, want)
			}
		}
	}
	return nil
}
