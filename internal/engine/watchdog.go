package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylpond/berylpond/internal/verdict"
)

// watchdog cancels a call that makes no progress and distinguishes that from a cancellation by the caller.
type watchdog struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// newWatchdog returns a context that is cancelled after d without progress.
func newWatchdog(parent context.Context, d time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(parent)
	w := &watchdog{ctx: ctx, cancel: cancel}
	w.timer = time.AfterFunc(d, func() { cancel(errNoProgress) })
	return ctx, w
}

func (w *watchdog) progress(d time.Duration) { w.timer.Reset(d) }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// classify sets the reason of an error that was caused by the watchdog or by the caller. It keeps the verdict.
func (w *watchdog) classify(err error) error {
	if err == nil || w.ctx.Err() == nil {
		return err
	}
	e := *verdict.From(err)
	cause := context.Cause(w.ctx)
	switch {
	case errors.Is(cause, errNoProgress):
		e.Reason, e.Status, e.Detail = verdict.ReasonBackendSilent, http.StatusGatewayTimeout, "the backend server made no progress in time"
	case errors.Is(cause, context.DeadlineExceeded):
		e.Reason, e.Status, e.Detail = verdict.ReasonDeadline, http.StatusGatewayTimeout, "the call's deadline passed"
	default:
		var v *verdict.Error
		if errors.As(cause, &v) {
			e.Reason, e.Status, e.Detail = v.Reason, v.Status, v.Detail
			break
		}
		e.Reason, e.Status, e.Detail = verdict.ReasonCancelled, http.StatusBadGateway, "the call was cancelled"
	}
	return &e
}
