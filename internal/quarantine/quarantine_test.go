package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/backendpath"
)

// newTest returns a quarantine whose probes have the given result.
func newTest(t *testing.T, probe error) *Quarantine {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return New(ctx, Options{
		Probe:     func(context.Context, string) error { return probe },
		InService: func(s Server) bool { return s.ID != "leaving" },
		OnNews:    func() {}, Metrics: NewMetrics(prometheus.NewRegistry()),
	})
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func (q *Quarantine) run(f Identity, server string) {
	q.BrokenOff(f, Run{Server: Server{ID: server}, Sent: time.Now().Add(-time.Millisecond)})
}

func (q *Quarantine) crashesOf(f Identity) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.register.records[f.whole()]; r != nil {
		return len(r.crashes)
	}
	return 0
}

// exchange sends what an instance has to report to the holder, and the response back.
func exchange(from, holder *Quarantine) {
	r, resp := &turnv1.TakeRequest{Instance: "from"}, &turnv1.TakeResponse{Holder: fmt.Sprintf("%p", holder)}
	from.Report(resp.Holder, r)
	holder.Exchange(r, resp)
	from.Learn(resp)
}

// Guards against a crash that follows another within the time that crashes settle in not being looked at again.
func TestEachCrashIsDecidedOnOnceItHasSettled(t *testing.T) {
	is := is.New(t)
	q := newTest(t, backendpath.ErrServerDown)
	f := identity("deadly")
	for i := range crashLimit {
		q.run(f, fmt.Sprint("s", i))
		time.Sleep(oneEvent + oneEvent/2)
	}
	is.True(q.Until(f).IsZero())
	time.Sleep(settleTime + 3*decisionInterval)
	is.True(!q.Until(f).IsZero())
}

func TestBrokenConnectionIsNoCrash(t *testing.T) {
	is := is.New(t)
	f := identity("r")
	for _, probe := range []error{nil, errors.New("timed out"), errors.Mark(errors.New("refused"), backendpath.ErrLost)} {
		q := newTest(t, probe)
		q.run(f, "s1")
		time.Sleep(20 * time.Millisecond)
		is.Equal(q.crashesOf(f), 0)
	}
	q := newTest(t, backendpath.ErrServerDown)
	q.run(f, "leaving")
	time.Sleep(20 * time.Millisecond)
	is.Equal(q.crashesOf(f), 0)
	q.run(f, "s1")
	eventually(t, "the crash", func() bool { return q.crashesOf(f) == 1 })
}

// The crashes are seen by three instances, one each, and the fourth learns the decision.
func TestHolderDecidesByTheReportsOfAllInstances(t *testing.T) {
	is := is.New(t)
	holder := newTest(t, nil)
	f := identity("deadly")
	for i := range crashLimit {
		q := newTest(t, backendpath.ErrServerDown)
		q.run(f, fmt.Sprint("s", i))
		eventually(t, "the crash", func() bool { return q.crashesOf(f) == 1 })
		exchange(q, holder)
		time.Sleep(oneEvent + 10*time.Millisecond)
	}
	eventually(t, "the decision", func() bool { return !holder.Until(f).IsZero() })
	other := newTest(t, nil)
	exchange(other, holder)
	is.True(!other.Until(f).IsZero())

	// The next holder learns it from any instance.
	next := newTest(t, nil)
	exchange(other, next)
	is.True(!next.Until(f).IsZero())

	// A run that completes anywhere ends it everywhere.
	other.Completed(f)
	exchange(other, next)
	is.True(next.Until(f).IsZero())
	third := newTest(t, nil)
	exchange(third, holder)
	exchange(third, next)
	is.True(third.Until(f).IsZero())
}

// The builds before this one answer without a revision, and know nothing of suspects.
func TestHolderOfAnOlderBuildIsToldNothingAndLosesNothing(t *testing.T) {
	is := is.New(t)
	q := newTest(t, backendpath.ErrServerDown)
	f := identity("deadly")
	r := &turnv1.TakeRequest{}
	q.Report("old", r)
	q.Learn(&turnv1.TakeResponse{Holder: "old"})
	for i := range crashLimit {
		q.run(f, fmt.Sprint("s", i))
		time.Sleep(oneEvent + 10*time.Millisecond)
	}
	q.Report("old", r)
	is.Equal(len(r.Suspects), 0)
	eventually(t, "a decision by itself", func() bool { return !q.Until(f).IsZero() })
	q.Report("new", r)
	is.Equal(len(r.Suspects), 1)
}

func TestReportsOfAFailedRequestAreSentAgain(t *testing.T) {
	is := is.New(t)
	q, holder := newTest(t, backendpath.ErrServerDown), newTest(t, nil)
	exchange(q, holder)
	f := identity("r")
	q.run(f, "s1")
	eventually(t, "the crash", func() bool { return q.crashesOf(f) == 1 })
	r := &turnv1.TakeRequest{}
	q.Report(q.holder, r)
	is.Equal(len(r.Suspects), 1)
	q.ReportFailed(r)
	exchange(q, holder)
	is.Equal(holder.crashesOf(f), 1)
	again := &turnv1.TakeRequest{}
	q.Report(q.holder, again)
	is.Equal(len(again.Suspects), 0)
}

// Exchanges without news change nothing, although the times in messages are ages that differ by the way.
func TestExchangesWithoutNewsKeepTheRevision(t *testing.T) {
	is := is.New(t)
	holder, q := newTest(t, backendpath.ErrServerDown), newTest(t, nil)
	f := identity("deadly")
	for i := range crashLimit {
		holder.run(f, fmt.Sprint("s", i))
		time.Sleep(oneEvent + 10*time.Millisecond)
	}
	eventually(t, "a decision by itself", func() bool { return !holder.Until(f).IsZero() })
	exchange(q, holder)
	before := holder.register.revision
	for range 5 {
		time.Sleep(10 * time.Millisecond)
		q.holder = "" // the next exchange reports everything
		exchange(q, holder)
	}
	is.Equal(holder.register.revision, before)
}

// Guards against requests being remembered for ever when nothing crashes any more.
func TestQuarantineIsForgottenWithoutNews(t *testing.T) {
	is := is.New(t)
	q, holder := newTest(t, backendpath.ErrServerDown), newTest(t, nil)
	f := identity("deadly")
	for i := range crashLimit {
		q.run(f, fmt.Sprint("s", i))
		time.Sleep(oneEvent + 10*time.Millisecond)
	}
	eventually(t, "a decision by itself", func() bool { return !q.Until(f).IsZero() })
	q.mu.Lock()
	q.now = func() time.Time { return time.Now().Add(2*q.register.ttl + expiryInterval) }
	q.mu.Unlock()
	is.True(q.Until(f).IsZero())
	exchange(q, holder) // as each instance does three times a second
	q.mu.Lock()
	defer q.mu.Unlock()
	is.Equal(len(q.register.records), 0)
}
