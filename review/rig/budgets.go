package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// tokensPerEvent is chunkTokens of the configuration.
	tokensPerEvent = 25
	turnEvents     = 14
	turnMost       = 575
	programBudget  = 4600
	// programTurns turns of that length, the last counted at its most, fit the budget: 10 x 350 + 575 tokens.
	programTurns = 11
	// contact is contactMs.
	contact = 3 * time.Second
)

// budgets: programs under way, on a route that keeps no history, while the instances are stopped and started in turn.
func budgets(r *rig) error {
	c := baseConfig(1)
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "replan", "host": "h.example", "pathPrefix": "/replan/", "kind": "streaming", "timeoutMs": 4000, "goalMs": 400, "priority": 2,
		"service": "llm", "maxAttempts": 1, "retain": false, "retainS": 60.0, "affinity": true, "resumable": true, "gapTargetMs": 400,
	})
	if err := r.configure(c); err != nil {
		return err
	}
	for n := range 4 {
		r.serve(fmt.Sprint("llm-", n+1), "llm", turnEvents, 20*time.Millisecond)
	}
	const instances = 4
	for range instances {
		if err := r.place().start(true); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	// inTouch is when each instance was last stopped or started; while it stops, a time to come.
	inTouch := make([]time.Time, instances)
	sent, denied, ended := 0, 0, 0
	play := func(number int) {
		program := fmt.Sprintf("%06x", 0x3fa81c+number*7919)
		delivered, uncertain := 0, 0
		for n := 0; n < programTurns; n++ {
			whole := false
			for try := 0; !whole && try < 12; try++ {
				d := r.daemons[(number+n+try)%instances]
				if !d.isReady() {
					continue
				}
				q := request{id: newID(), method: "POST", target: "/replan/1", key: "key-acme", body: fmt.Sprintf("turn %d\n", n), header: map[string]string{
					"Deadline-Ms": "4000", "Token-Usage": fmt.Sprintf("100,%d", turnMost), "Token-Budget": fmt.Sprint(programBudget),
					"Program-Id": program, "Session-Id": "s" + program, "Finish-Ms": "60000",
				}}
				a := r.send(d, q)
				tokens := strings.Count(a.body, "data: ") * tokensPerEvent
				mu.Lock()
				sent++
				touch := time.Since(inTouch[d.number-1]) > contact+a.took
				mu.Unlock()
				delivered += tokens
				switch {
				case a.status == 200 && a.err == nil:
					whole = true
				case a.status == 402:
					left := programBudget - delivered - uncertain
					r.logf("program %s: 402 at turn %d with %d of %d tokens delivered, %d more uncertain; %d left for a turn of %d; instance in touch: %v",
						program, n+1, delivered, programBudget, uncertain, left, turnMost, touch)
					if left >= turnMost && touch {
						mu.Lock()
						denied++
						mu.Unlock()
					}
					return
				case a.status != 503 && a.status != 429:
					uncertain += turnMost - tokens
				}
				if !whole {
					time.Sleep(400 * time.Millisecond)
				}
			}
			if !whole {
				r.logf("program %s: turn %d was not served", program, n+1)
				return
			}
			time.Sleep(1500 * time.Millisecond)
		}
		mu.Lock()
		ended++
		mu.Unlock()
	}
	const programs = 36
	var wg sync.WaitGroup
	for n := range programs {
		wg.Go(func() { play(n) })
		time.Sleep(20 * time.Millisecond)
	}
	if r.trouble {
		time.Sleep(time.Second)
		for i, d := range r.daemons {
			mu.Lock()
			inTouch[i] = time.Now().Add(stopTimeout)
			mu.Unlock()
			if err := d.stop(); err != nil {
				return err
			}
			if err := d.start(false); err != nil {
				return err
			}
			mu.Lock()
			inTouch[i] = time.Now()
			mu.Unlock()
			time.Sleep(1300 * time.Millisecond)
		}
	}
	wg.Wait()
	r.logf("%d requests, %d of %d programs ended whole, %d proper turns got 402 from instances in touch", sent, ended, programs, denied)
	if limit := 5 + sent/500; denied > limit {
		r.breaks("DENIED: %d proper requests of %d were ended with 402, more than %d", denied, sent, limit)
	}
	return nil
}
