package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"sync"
	"time"
)

const (
	// tenantPrograms is the number of programs of each tenant, with the same ids.
	tenantPrograms = 24
	// forgottenAfter is when instances have forgotten a program: retainS of the route and the 5 s that they add.
	forgottenAfter = 66 * time.Second
	// otherPrograms is the number of programs that run after that, a few in each partition.
	otherPrograms = 120
	// retention is retainS of the route.
	retention = 60 * time.Second
	// turnTries is how often a turn is sent that gets a promise.
	turnTries = 5
)

// partitionOf is the partition of a program.
func partitionOf(program string) int {
	h := fnv.New32a()
	h.Write([]byte(program))
	return int(h.Sum32() % partitions)
}

func turn(key, program, previous, input string) request {
	q := request{id: newID(), method: "POST", target: "/chat/1", key: key, body: input, header: map[string]string{
		"Deadline-Ms": "5000", "Token-Usage": "100,450", "Token-Budget": "4600", "Program-Id": program, "Session-Id": "s1",
		"Finish-Ms": "20000",
	}}
	if previous != "" {
		q.header["Previous-Turn"] = previous
	}
	return q
}

// turnUntilServed sends a turn, again after each promise, and returns the id under which it was answered last.
func (r *rig) turnUntilServed(first int, key, program, previous, input string) (string, response) {
	for try := 0; ; try++ {
		q := turn(key, program, previous, input)
		a := r.send(r.daemons[(first+try)%len(r.daemons)], q)
		if a.status != 503 && a.status != 429 || try+1 == turnTries {
			return q.id, a
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// tenants: a tenant numbers its programs as another one did a minute before, and the instances are stopped and started in turn.
func tenants(r *rig) error {
	if err := r.configure(baseConfig(1)); err != nil {
		return err
	}
	for n := range 3 {
		r.serve(fmt.Sprint("llm-", n+1), "llm", 3, 20*time.Millisecond)
	}
	for range 3 {
		if err := r.place().start(true); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	for n := range tenantPrograms {
		if _, a := r.turnUntilServed(n, "key-acme", strconv.Itoa(n+1), "", "first turn of acme\n"); a.status != 200 || a.err != nil {
			return fmt.Errorf("program %d of the first tenant was not served: %v", n+1, a)
		}
	}
	time.Sleep(forgottenAfter)
	var wg sync.WaitGroup
	for n := range otherPrograms {
		wg.Go(func() { r.turnUntilServed(n, "key-acme", "other-"+strconv.Itoa(n), "", "another program\n") })
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)

	whole := map[string]string{}
	answered := map[string]time.Time{}
	for n := range tenantPrograms {
		program := strconv.Itoa(n + 1)
		if id, a := r.turnUntilServed(n, "key-bolt", program, "", "first turn of bolt\n"); a.status == 200 && a.err == nil {
			whole[program], answered[program] = id, time.Now()
		}
	}
	if len(whole) == 0 {
		return errors.New("no program of the second tenant was served")
	}
	if r.trouble {
		for _, d := range r.daemons {
			if err := d.stop(); err != nil {
				return err
			}
			if err := d.start(false); err != nil {
				return err
			}
		}
	}
	time.Sleep(contact + time.Second)
	for n := range tenantPrograms {
		program := strconv.Itoa(n + 1)
		previous := whole[program]
		if previous == "" {
			continue
		}
		id, a := r.turnUntilServed(n, "key-bolt", program, previous, "second turn of bolt\n")
		age := time.Since(answered[program])
		if (a.status == 404 || a.status == 410) && age < retention {
			r.breaks("LOST: turn %s of program %s (partition %d) got %d, though its previous turn %s was answered whole %.1f s before",
				id, program, partitionOf(program), a.status, previous, age.Seconds())
		}
	}
	return nil
}
