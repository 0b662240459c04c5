package soak

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fakes/engine"
	"github.com/berylpond/berylpond/internal/fakes/service"
	"github.com/berylpond/berylpond/internal/load/report"
	"github.com/berylpond/berylpond/internal/load/site"
	"github.com/berylpond/berylpond/internal/verdict"
)

// TestCheckEffects checks that every mismatch between executions and reported outcomes is detected: a duplicate, a lost
// execution, and an execution reported as not run.
func TestCheckEffects(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(service.New())
	defer srv.Close()
	s := &site.Site{Services: []*site.Fake{fakeAt(srv, "service")}}
	for _, key := range []string{"once", "twice", "twice", "lie", "unknown"} {
		is.NoErr(s.Services[0].Call(t.Context(), "POST", "/effects/refund", service.EffectRequest{Key: key}, nil))
	}
	rec := report.NewRecorder(nil)
	for key, outcome := range map[string]verdict.Verdict{
		"once": verdict.Ran, "twice": verdict.MayHaveRun, "lie": verdict.NotRun, "unknown": verdict.MayHaveRun,
		"lost": verdict.Ran, "never": verdict.NotRun, "never-known": verdict.MayHaveRun,
	} {
		rec.RecordEffect(report.Effect{Key: key, Outcome: outcome})
	}
	is.NoErr(checkEffects(t.Context(), s, rec))
	found := map[string]report.ViolationKind{}
	for _, v := range rec.Violations() {
		key, _, _ := strings.Cut(v.Detail, ":")
		found[key] = v.Kind
	}
	is.Equal(found, map[string]report.ViolationKind{
		"twice": report.ViolationEffect, "lost": report.ViolationEffect, "lie": report.ViolationNotRun,
	})
}

func TestCheckMemoryFindsUnreleasedPrefix(t *testing.T) {
	is := is.New(t)
	e := engine.New()
	defer e.Close()
	srv := httptest.NewServer(e)
	defer srv.Close()
	s := &site.Site{Engines: []*site.Fake{fakeAt(srv, "engine")}}
	for _, key := range []string{"old", "fresh", "running"} {
		prefix := engine.Prefix{Key: key, Chain: []uint64{1}, Tokens: []int{10}}
		is.NoErr(s.Engines[0].Call(t.Context(), "POST", "/v1/cache/import", prefix, nil))
	}
	rec := report.NewRecorder(nil)
	rec.RecordProgramEnd("old", time.Now().Add(-2*memoryGrace))
	rec.RecordProgramEnd("fresh", time.Now())
	is.NoErr(checkMemory(t.Context(), s, rec))
	is.Equal(len(rec.Violations()), 1)
	is.True(strings.Contains(rec.Violations()[0].Detail, " old,"))
}

func TestCheckStopFindsInterruptedCall(t *testing.T) {
	is := is.New(t)
	t0 := time.Now()
	stop := plannedStop{instance: "i", address: "addr", signalledAt: t0, readyAt: t0.Add(time.Second)}
	call := func(address string, sent, done time.Duration, reason string) report.Call {
		return report.Call{Address: address, Sent: t0.Add(sent), Done: t0.Add(done), Reason: reason}
	}
	rec := report.NewRecorder(nil)
	checkStop([]report.Call{
		call("addr", -1, 1, ""), call("other", -1, 1, "connection"), call("addr", -1, 1, "shutting_down"),
		call("addr", -2, -1, "connection"), call("addr", 1, 2, "connection"),
	}, stop, rec)
	is.Equal(len(rec.Violations()), 0)
	checkStop([]report.Call{call("addr", -1, 1, "connection")}, stop, rec)
	is.Equal(len(rec.Violations()), 1)
}

func fakeAt(srv *httptest.Server, name string) *site.Fake {
	return &site.Fake{Process: &site.Process{Name: name}, Address: strings.TrimPrefix(srv.URL, "http://")}
}
