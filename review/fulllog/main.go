// Command fulllog shows what becomes of turns when bursts of users come again and again: whether the store, which holds what
// has to be kept several times over, is filled with what need not be kept any more.
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
	// usual is the number of programs that begin in a second on the sheet of the grown kiosk deployment.
	usual = 110.5
	// A burst multiplies that for burstTime, and another one begins burstPause after its end. The last one ends before calm.
	burst      = 1.8
	burstTime  = 6 * time.Second
	burstPause = time.Second
	calm       = 91 * time.Second
	length     = 102 * time.Second
	// firstBytes and nextBytes are the inputs of a program's first turn and of the others: 12,600 shared and 1,680 own tokens
	// of one byte.
	firstBytes, nextBytes = 12_600 + 1_680, 1_680
	turns                 = 5
	think                 = 150 * time.Millisecond
	deadline              = 4 * time.Second
	machines              = 9
	// tolerated is the number of requests cut off that the rule allows.
	tolerated = 3
)

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

type counts struct{ served, refused, cut, failed atomic.Int64 }

func run(record string, trouble bool) (int, error) {
	full := &fullStore{partitions: map[string]*partitionSize{}}
	s, err := site.New(record, machines, full.wrap)
	if err != nil {
		return 2, err
	}
	defer s.Close()
	if err := s.StartAll(); err != nil {
		return 2, err
	}
	time.Sleep(3 * time.Second)
	var c counts
	var wg sync.WaitGroup
	began := time.Now()
	report := time.NewTicker(time.Second)
	defer report.Stop()
	next := began
	for n := 0; time.Since(began) < length; n++ {
		rate := usual
		if at := time.Since(began); trouble && at < calm && at%(burstTime+burstPause) < burstTime {
			rate *= burst
		}
		next = next.Add(time.Duration(float64(time.Second) / rate))
		time.Sleep(time.Until(next))
		wg.Go(func() { program(s, s.IPs[n%machines], n, &c) })
		select {
		case <-report.C:
			bytes, refused := full.usage()
			s.Logf("the store holds %d MB, %d appends refused with 507; turns served %d, refused %d, cut off %d, failed %d",
				bytes>>20, refused, c.served.Load(), c.refused.Load(), c.cut.Load(), c.failed.Load())
		default:
		}
	}
	wg.Wait()
	bytes, refused := full.usage()
	s.Logf("end: the store holds %d MB, %d appends refused with 507; turns served %d, refused %d, cut off %d, failed %d",
		bytes>>20, refused, c.served.Load(), c.refused.Load(), c.cut.Load(), c.failed.Load())
	fmt.Printf("cut off: %d, tolerated: %d; served %d, refused %d, failed otherwise %d; the store holds %d MB\n",
		c.cut.Load(), tolerated, c.served.Load(), c.refused.Load(), c.failed.Load(), bytes>>20)
	if c.cut.Load() > tolerated {
		return 1, nil
	}
	return 0, nil
}

// program runs the turns of one program on one kept connection.
func program(s *site.Site, ip string, n int, c *counts) {
	client := site.NewClient(ip)
	defer client.Close()
	name := fmt.Sprint("program-", n)
	client.Send("GET", "/read/x", map[string]string{"Request-Id": name + "-read"}, nil, 1200*time.Millisecond)
	last, bytes := "", 0
	for t := range turns {
		input := nextBytes
		if t == 0 {
			input = firstBytes
		}
		id := fmt.Sprintf("%s-turn-%d", name, t)
		h := map[string]string{
			"Request-Id": id, "Program-Id": name, "Session-Id": name, "Finish-Ms": "9000", "Token-Budget": "4600",
			"Token-Usage": fmt.Sprint(bytes+input, ",423"), "Prompt-Prefix": "5c1e07a2:800", "Model": "m",
		}
		if last != "" {
			h["Previous-Turn"] = last
		}
		a := client.Send("POST", "/chat/x", h, strings.NewReader(strings.Repeat("i", input)), deadline)
		ran, ok := s.Ran(id)
		switch {
		case a.Status == 200 && a.Whole:
			c.served.Add(1)
		case a.Err == nil:
			c.refused.Add(1)
		case ok && ran.Ended:
			c.cut.Add(1)
		default:
			c.failed.Add(1)
		}
		s.Logf("turn %s to %s: status %d, %d bytes, error %v; ran %v, run ended %v", id, ip, a.Status, len(a.Body), a.Err, ok, ran.Ended)
		if a.Status != 200 || !a.Whole {
			return
		}
		last, bytes = id, bytes+input+site.OutputBytes
		time.Sleep(think)
	}
}
