package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// workTime is how long a payment takes at its server, within its objective of 500 ms.
	workTime = 400 * time.Millisecond
	// leaveAfter is when clients leave, at most half of the objective.
	leaveAfter = 150 * time.Millisecond
	// leavingShare is the divisor of the clients that gives those that leave.
	leavingShare = 5
)

// leavers: a fifth of the clients leave before their payment has ended. They end their side of the connection and read what
// still comes until the instance ends its side.
func leavers(r *rig) error {
	if err := r.configure(baseConfig(1)); err != nil {
		return err
	}
	for n := range 4 {
		r.serve(fmt.Sprint("tool-", n+1), "tool", 0, workTime)
	}
	for range 2 {
		if err := r.place().start(true); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	var wg sync.WaitGroup
	for n := range 100 {
		wg.Go(func() {
			q := request{
				id: newID(), method: "POST", target: fmt.Sprint("/pay/", n), key: "key-acme", body: fmt.Sprint("payment ", n),
				header: map[string]string{"Deadline-Ms": "3000"},
			}
			leaves := r.trouble && n%leavingShare == 0
			a := r.sendAndLeave(r.daemons[n%2], q, leaves)
			if a.status/100 == 2 && a.err == nil && a.header.Get("Response-Stamp") == "" {
				r.breaks("MIXED: request %s got a whole answer with status %d and no Response-Stamp", q.id, a.status)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Second)
	for _, s := range r.servers {
		for _, e := range s.Executions() {
			r.logf("server %s ran %s %s, %q", s.ID, e.Method, e.ID, e.Body)
		}
	}
	return nil
}

// sendAndLeave sends a request on a new connection and reads its answer. A client that leaves ends its side before that.
func (r *rig) sendAndLeave(d *daemon, q request, leaves bool) response {
	began := time.Now()
	c, err := net.DialTimeout("tcp", d.client(), time.Second)
	if err != nil {
		return response{err: err, took: time.Since(began)}
	}
	defer c.Close()
	_ = c.SetDeadline(began.Add(10 * time.Second))
	if _, err := io.WriteString(c, q.encode()); err != nil {
		return response{err: err, took: time.Since(began)}
	}
	what := "stayed"
	if leaves {
		time.Sleep(leaveAfter)
		_ = c.(*net.TCPConn).CloseWrite()
		what = fmt.Sprintf("ended its side after %d ms", time.Since(began).Milliseconds())
	}
	a := readAnswer(c, q.method, began)
	r.logf("client: %s %s id %s to daemon %d, %s: %v", q.method, q.target, q.id, d.number, what, a)
	return a
}
