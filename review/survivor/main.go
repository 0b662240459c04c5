// Command survivor shows what becomes of the machines that are left when most machines are lost: whether they can take over
// what the others owned within their memory.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"errors"
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
	// usual is the number of programs that begin in a second on the sheet, of which a share of disputes is customer-dispute. A
	// burst multiplies all traffic for burstTime, and one of customer-dispute multiplies that for disputeTime meanwhile. The
	// next ones begin burstPause after the end, until the loss.
	usual        = 32.4
	disputes     = 11.2 / 32.4
	burst        = 1.8
	disputeBurst = 2.1
	burstTime    = 6 * time.Second
	disputeTime  = 4 * time.Second
	burstPause   = time.Second
	// lossAt is when lost of the machines are lost, length how long the script sends.
	lossAt = 88 * time.Second
	length = 104 * time.Second
	// readers is the number of clients that call plain services of the machine that is left.
	readers = 20
	// firstBytes and nextBytes are the inputs of a program's first turn and of the others.
	firstBytes, nextBytes = 12_600 + 1_680, 1_680
	turns                 = 6
	think                 = 150 * time.Millisecond
	deadline              = 5 * time.Second
	machines, lost        = 9, 8
	// memoryBytes is memoryMb of the settings; restartDelay is the time until the platform starts a process again.
	memoryBytes  = 164 << 20
	restartDelay = 500 * time.Millisecond
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

func run(record string, trouble bool) (int, error) {
	s, err := site.New(record, machines, nil)
	if err != nil {
		return 2, err
	}
	defer s.Close()
	if err := s.StartAll(); err != nil {
		return 2, err
	}
	time.Sleep(3 * time.Second)
	left := s.IPs[lost:]
	limit := newMemoryLimit(s, left)
	defer limit.close()
	var served, other, cut atomic.Int64
	var wg sync.WaitGroup
	began := time.Now()
	report := time.NewTicker(time.Second)
	defer report.Stop()
	for i := range readers {
		wg.Go(func() { read(s, left[i%len(left)], fmt.Sprint("reader-", i), began.Add(length), &cut) })
	}
	next, down := began, false
	for n := 0; time.Since(began) < length; n++ {
		rate := usual
		if at := time.Since(began); at < lossAt {
			at %= burstTime + burstPause
			if at < disputeTime {
				rate *= 1 + disputes*(disputeBurst-1)
			}
			if at < burstTime {
				rate *= burst
			}
		} else if trouble && !down {
			down = true
			for _, ip := range s.IPs[:lost] {
				s.Kill(ip)
			}
		}
		next = next.Add(time.Duration(float64(time.Second) / rate))
		time.Sleep(time.Until(next))
		ip := s.IPs[n%machines]
		if down {
			ip = left[n%len(left)]
		}
		wg.Go(func() { program(s, ip, n, &served, &other) })
		select {
		case <-report.C:
			s.Logf("turns served %d, not served %d; calls cut off %d; memory %v", served.Load(), other.Load(), cut.Load(), limit)
		default:
		}
	}
	wg.Wait()
	s.Logf("end: turns served %d, not served %d; calls cut off %d; memory %v", served.Load(), other.Load(), cut.Load(), limit)
	fmt.Printf("calls cut off %d, tolerated %d; turns served %d, not served %d; memory %v\n",
		cut.Load(), tolerated, served.Load(), other.Load(), limit)
	if cut.Load() > tolerated {
		return 1, nil
	}
	return 0, nil
}

// read calls a plain service again and again on a kept connection, and counts the calls that a runner has begun and whose
// connection is closed without an answer.
func read(s *site.Site, ip, name string, end time.Time, cut *atomic.Int64) {
	client := site.NewClient(ip)
	defer client.Close()
	kept := false
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		a := client.Send("GET", "/read/x", map[string]string{"Request-Id": id}, nil, 1200*time.Millisecond)
		_, ran := s.Ran(id)
		s.Logf("call %s to %s: status %d, error %v, connection kept %v; ran %v", id, ip, a.Status, a.Err, kept, ran)
		if kept && ran && a.Err != nil && !errors.Is(a.Err, context.DeadlineExceeded) {
			cut.Add(1)
		}
		kept = a.Err == nil
		time.Sleep(50 * time.Millisecond)
	}
}

// program runs the turns of one program on one kept connection.
func program(s *site.Site, ip string, n int, served, other *atomic.Int64) {
	client := site.NewClient(ip)
	defer client.Close()
	name := fmt.Sprint("program-", n)
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
		s.Logf("turn %s to %s: status %d, %d bytes, error %v; ran %v, run ended %v", id, ip, a.Status, len(a.Body), a.Err, ok, ran.Ended)
		if a.Status != 200 || !a.Whole {
			other.Add(1)
			return
		}
		served.Add(1)
		last, bytes = id, bytes+input+site.OutputBytes
		time.Sleep(think)
	}
}
