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

// rateTolerance is the tolerance for rounding errors, in calls.
const rateTolerance = 1e-6

// check compares the callers' records with the state of the backend servers and the daemons' logs. The order, history
// and completeness of responses were checked when they arrived.
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
			rec.RecordViolation(report.ViolationRate, "%s: %s", l.Account, detail)
		}
	}
	for _, stop := range stops {
		checkStop(calls, stop, rec)
	}
	return checkLogs(s, rec)
}

// checkStop finds calls that were in progress on an instance when its graceful shutdown began and that failed with a
// connection error before it was ready again.
func checkStop(calls []report.Call, stop plannedStop, rec *report.Recorder) {
	for i := range calls {
		c := &calls[i]
		inProgress := c.Address == stop.address && c.Sent.Before(stop.signalledAt) &&
			c.Done.After(stop.signalledAt) && c.Done.Before(stop.readyAt)
		if inProgress && c.Reason == string(load.ReasonConnectionError) {
			rec.RecordViolation(report.ViolationShutdown, "%s cut a call of kind %s %s after its signal", stop.instance, c.Kind, c.Done.Sub(stop.signalledAt))
		}
	}
}

// checkMemory finds programs that ended more than memoryGrace ago and still occupy cache memory on an engine.
func checkMemory(ctx context.Context, s *site.Site, rec *report.Recorder) error {
	ended := rec.EndedPrograms()
	limit := time.Now().Add(-memoryGrace)
	for _, e := range s.Engines {
		var held engine.CachedKeys
		if err := e.Call(ctx, http.MethodGet, "/v1/cache/keys", nil, &held); err != nil {
			return err
		}
		for _, k := range held.Keys {
			if at, ok := ended[k.Key]; ok && at.Before(limit) {
				rec.RecordViolation(report.ViolationEngineMemory, "%s holds %d tokens of %s, which ended %.0f s ago", e.Name, k.Tokens, k.Key, time.Since(at).Seconds())
			}
		}
	}
	return nil
}

// checkEffects compares the outcomes of service calls reported to the callers with the executions that the services
// counted.
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
			rec.RecordViolation(report.ViolationEffect, "%s: %d effects", e.Key, n)
		case e.Outcome == verdict.Ran && n != 1:
			rec.RecordViolation(report.ViolationEffect, "%s: %d effects, its caller was told that it ran", e.Key, n)
		case e.Outcome == verdict.NotRun && n != 0:
			rec.RecordViolation(report.ViolationNotRun, "%s: %d effects, its caller was told that it did not run", e.Key, n)
		}
	}
	return nil
}

func checkLogs(s *site.Site, rec *report.Recorder) error {
	found, err := s.LogFailures()
	if err != nil {
		return err
	}
	for _, c := range found {
		rec.RecordViolation(report.ViolationInvariant, "%s: %s", c.Process, c.Line)
	}
	return nil
}
