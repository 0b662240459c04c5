package soak

import (
	"context"
	"net/http"
	"time"

	"github.com/berylpond/berylpond/internal/fakes/engine"
	"github.com/berylpond/berylpond/internal/fakes/service"
	"github.com/berylpond/berylpond/internal/load"
	"github.com/berylpond/berylpond/internal/load/report"
	"github.com/berylpond/berylpond/internal/load/site"
	"github.com/berylpond/berylpond/internal/load/workload"
	"github.com/berylpond/berylpond/internal/verdict"
)

// rateSlack allows for rounding, in calls.
const rateSlack = 1e-6

// check compares the callers' view with that of the backend servers and the daemons' logs. The order, history and
// wholeness of answers were checked as they came.
func check(ctx context.Context, s *site.Site, limits []workload.Limit, stops []plannedStop, rec *report.Recorder) error {
	if err := checkMemory(ctx, s, rec); err != nil {
		return err
	}
	if err := checkEffects(ctx, s, rec); err != nil {
		return err
	}
	calls, _ := rec.Records()
	for _, l := range limits {
		if detail, ok := withinRate(calls, l); !ok {
			rec.Violation(report.ViolationRate, "%s: %s", l.Account, detail)
		}
	}
	for _, stop := range stops {
		checkStop(calls, stop, rec)
	}
	return checkLogs(s, rec)
}

// checkStop finds calls that were under way at an instance when it was told to shut down, and were cut.
func checkStop(calls []report.Call, stop plannedStop, rec *report.Recorder) {
	for i := range calls {
		c := &calls[i]
		cut := c.Address == stop.address && c.Sent.Before(stop.from) && c.Done.After(stop.from) && c.Done.Before(stop.to)
		if cut && c.Reason == string(load.ReasonConnection) {
			rec.Violation(report.ViolationShutdown, "%s cut a call of kind %s %s after its signal", stop.instance, c.Kind, c.Done.Sub(stop.from))
		}
	}
}

// checkMemory finds programs that ended memoryGrace ago and still hold memory of an engine.
func checkMemory(ctx context.Context, s *site.Site, rec *report.Recorder) error {
	ended := rec.EndedPrograms()
	limit := time.Now().Add(-memoryGrace)
	for _, e := range s.Engines {
		var held engine.Keys
		if err := e.Call(ctx, http.MethodGet, "/v1/cache/keys", nil, &held); err != nil {
			return err
		}
		for _, k := range held.Keys {
			if at, ok := ended[k.Key]; ok && at.Before(limit) {
				rec.Violation(report.ViolationMemory, "%s holds %d tokens of %s, which ended %.0f s ago", e.Name, k.Tokens, k.Key, time.Since(at).Seconds())
			}
		}
	}
	return nil
}

// checkEffects compares what callers were told of their service calls with the effects that were counted.
func checkEffects(ctx context.Context, s *site.Site, rec *report.Recorder) error {
	counts := map[string]int{}
	for _, f := range s.Services {
		var e service.Effects
		if err := f.Call(ctx, http.MethodGet, "/effects", nil, &e); err != nil {
			return err
		}
		for k, n := range e.ByKey {
			counts[k] += n
		}
	}
	for _, e := range rec.Effects() {
		n := counts[e.Key]
		switch {
		case n > 1:
			rec.Violation(report.ViolationEffect, "%s: %d effects", e.Key, n)
		case e.Outcome == verdict.Ran && n != 1:
			rec.Violation(report.ViolationEffect, "%s: %d effects, its caller was told that it ran", e.Key, n)
		case e.Outcome == verdict.NotRun && n != 0:
			rec.Violation(report.ViolationNotRun, "%s: %d effects, its caller was told that it did not run", e.Key, n)
		}
	}
	return nil
}

func checkLogs(s *site.Site, rec *report.Recorder) error {
	found, err := s.Complaints()
	if err != nil {
		return err
	}
	for _, c := range found {
		rec.Violation(report.ViolationInvariant, "%s: %s", c.Process, c.Line)
	}
	return nil
}
