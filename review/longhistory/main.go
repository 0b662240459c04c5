// Command longhistory shows what becomes of new programs that continue from long conversations after a final fault.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/berylpond/berylpond/review/site"
)

const (
	// conversations is the number of long conversations, and of short ones for comparison.
	conversations = 6
	// turns and turnBytes are the size of a long conversation: the largest request body of the site files is 100,000 bytes.
	turns, turnBytes = 3, 95_000
	shortBytes       = 14_000
	// contact is contactMs, after which the machines are in touch again; down is down_s of the site's kill_all.
	contact = 3 * time.Second
	down    = 1400 * time.Millisecond
	recover = 12 * time.Second
	// tolerated is the number of such requests that the rule allows.
	tolerated = 3
)

// conversation is a line of turns.
type conversation struct {
	program, last string
	bytes         int
}

func main() {
	record := flag.String("record", "record.txt", "file of what was sent, answered and run")
	flag.Parse()
	code, err := run(*record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 2
	}
	os.Exit(code)
}

func run(record string, trouble bool) (int, error) {
	s, err := site.New(record, 3, nil)
	if err != nil {
		return 2, err
	}
	defer s.Close()
	if err := s.StartAll(); err != nil {
		return 2, err
	}
	time.Sleep(2 * time.Second)
	var long, short []*conversation
	for i := range conversations {
		long = append(long, &conversation{program: fmt.Sprint("long-", i)})
		short = append(short, &conversation{program: fmt.Sprint("short-", i)})
	}
	c := site.NewClient(s.IPs[0])
	defer c.Close()
	for n := range turns {
		for i := range conversations {
			for _, v := range []struct {
				*conversation
				bytes int
			}{{long[i], turnBytes}, {short[i], shortBytes}} {
				if a, _ := turn(s, c, v.conversation, v.program, fmt.Sprint(v.program, "-turn-", n), v.bytes); !done(a) {
					return 2, fmt.Errorf("turn %d of %s: status %d, %v", n, v.program, a.Status, a.Err)
				}
			}
		}
	}
	if trouble {
		for _, ip := range s.IPs {
			s.Kill(ip)
		}
		time.Sleep(down)
		if err := s.StartAll(); err != nil {
			return 2, err
		}
		time.Sleep(contact)
	}
	var broken atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(recover - contact)
	for i := range conversations {
		for _, v := range []*conversation{short[i], long[i]} {
			wg.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					program := v.program
					if trouble {
						program = fmt.Sprintf("new-%d-after-%s", n, v.program)
					}
					if goOn(s, s.IPs[(i+n)%len(s.IPs)], v, program, n) {
						broken.Add(1)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	s.Logf("%d requests of kept connections were passed on to a sound runner, which answered them whole, and ended with a closed connection and no whole answer; %d are tolerated", broken.Load(), tolerated)
	fmt.Printf("cut off: %d, tolerated: %d\n", broken.Load(), tolerated)
	if broken.Load() > tolerated {
		return 1, nil
	}
	return 0, nil
}

// goOn sends one turn that continues a conversation, on a connection that has carried a request before. It reports whether
// the connection was closed without a whole answer although a runner had answered whole.
func goOn(s *site.Site, ip string, v *conversation, program string, n int) (cut bool) {
	c := site.NewClient(ip)
	defer c.Close()
	id := fmt.Sprintf("read-%d-%s", n, v.program)
	a := c.Send("GET", "/read/x", map[string]string{"Request-Id": id}, nil, 1200*time.Millisecond)
	s.Logf("request %s to %s: status %d, whole %v", id, ip, a.Status, a.Whole)
	if a.Status != 200 {
		return false
	}
	// Several turns may name the same turn.
	follow := *v
	a, id = turn(s, c, &follow, program, fmt.Sprintf("%s-next-%d", v.program, n), 1680)
	ran, ok := s.Ran(id)
	return ok && ran.Ended && ran.Bytes == v.bytes+1680 && a.Err != nil
}

// turn sends a turn that continues a conversation.
func turn(s *site.Site, c *site.Client, v *conversation, program, id string, bytes int) (site.Answer, string) {
	h := map[string]string{
		"Request-Id": id, "Program-Id": program, "Session-Id": program, "Finish-Ms": "20000", "Token-Budget": "100000",
		"Token-Usage": fmt.Sprint(v.bytes+bytes, ",180"), "Prompt-Prefix": "5c1e07a2:800", "Model": "m",
	}
	if v.last != "" {
		h["Previous-Turn"] = v.last
	}
	a := c.Send("POST", "/chat/x", h, strings.NewReader(strings.Repeat("i", bytes)), 5*time.Second)
	ran, ok := s.Ran(id)
	s.Logf("turn %s of %s after %q: status %d, %d bytes, whole %v, error %v; ran %v with %d bytes, run ended %v",
		id, program, v.last, a.Status, len(a.Body), a.Whole, a.Err, ok, ran.Bytes, ran.Ended)
	if done(a) {
		v.last = id
		v.bytes += bytes + site.OutputBytes
	}
	return a, id
}

func done(a site.Answer) bool { return a.Status == 200 && a.Whole }
