package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/berylpond/berylpond/internal/load/report"
	"github.com/berylpond/berylpond/internal/load/workload"
)

// withinRate checks that no time window has more admitted calls of the account than rate x length + burst. A call was
// admitted at some time between its request and its response, so it counts only in a window that contains both.
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
		// Windows from the start of this call to the end of each call that started no earlier.
		for j := range admitted {
			if admitted[j].Sent.Before(from) {
				continue
			}
			n++
			length := admitted[j].Done.Sub(from)
			if float64(n) > l.Rate*length.Seconds()+float64(l.Burst)+rateTolerance {
				return fmt.Sprintf("%d calls in %s, rate %.2f/s, burst %d", n, length.Round(time.Millisecond), l.Rate, l.Burst), false
			}
		}
	}
	return "", true
}

// wasAdmitted reports whether the call must have taken a token: it completed or may have run.
func wasAdmitted(c *report.Call) bool {
	return c.Complete || (c.Status != 0 && c.Verdict != verdictNotRun)
}

const verdictNotRun = "not-run"
