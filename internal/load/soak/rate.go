package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/berylpond/berylpond/internal/load/report"
	"github.com/berylpond/berylpond/internal/load/workload"
)

// withinRate checks that no window holds more admitted calls of the account than rate x length + burst. A call was
// admitted at some instant between its sending and its answer, so it counts for a window that holds both.
func withinRate(calls []report.Call, l workload.Limit) (string, bool) {
	var admitted []report.Call
	for _, c := range calls {
		if c.Account == l.Account && wasAdmitted(&c) {
			admitted = append(admitted, c)
		}
	}
	slices.SortFunc(admitted, func(a, b report.Call) int { return a.Done.Compare(b.Done) })
	for i := range admitted {
		from, n := admitted[i].Sent, 0
		// Windows from this call's sending to each later answer.
		for j := range admitted {
			if admitted[j].Sent.Before(from) {
				continue
			}
			n++
			length := admitted[j].Done.Sub(from)
			if float64(n) > l.Rate*length.Seconds()+float64(l.Burst)+rateSlack {
				return fmt.Sprintf("%d calls in %s, rate %.2f/s, burst %d", n, length.Round(time.Millisecond), l.Rate, l.Burst), false
			}
		}
	}
	return "", true
}

// wasAdmitted reports whether the call certainly took a token: it was answered, or it may have run.
func wasAdmitted(c *report.Call) bool {
	return c.Whole || (c.Status != 0 && c.Verdict != verdictNotRun)
}

const verdictNotRun = "not-run"
