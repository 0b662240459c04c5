package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/ratelimit"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	// viewPollInterval is the interval at which a request that waits for a recent view looks again.
	viewPollInterval = 10 * time.Millisecond
	// maxViewWait bounds that wait: an instance that has stood still reads the store again within a tenth of a second.
	maxViewWait = 400 * time.Millisecond
)

// awaitView waits until this instance knows which data centres are evacuated recently enough to send a request. It returns
// at once unless the instance has stood still or was just started.
func (x *exchange) awaitView(ctx context.Context) *verdict.Error {
	if x.viewUsable() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, min(maxViewWait, x.remaining()/2))
	defer cancel()
	t := time.NewTicker(viewPollInterval)
	defer t.Stop()
	for !x.viewUsable() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return x.staleViewError()
		}
	}
	return nil
}

func (x *exchange) staleViewError() *verdict.Error {
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonStaleView, x.retryDelay(),
		"this instance has yet to learn which data centres are evacuated")
}

// maySend checks again, when a connection is open, whether the server may get the request that was given it at a time.
func (x *exchange) maySend(b *fleet.Backend, given time.Time) error {
	switch {
	case !x.viewUsable():
		return x.staleViewError()
	case x.fleet.IsEvacuated(b):
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonEvacuated, retryAfterTransient,
			"data centre %s was evacuated before the request was sent", b.DataCentre)
	case x.fleet.IsTokenLate(b, x.now().Sub(given), ratelimit.ColdSendDelay):
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoBackend, retryAfterTransient,
			"cold backend server %s could not be sent the request in time", b.ID)
	}
	return nil
}

// evacuatedError is the refusal of a request whose service has no server outside evacuated data centres.
func (x *exchange) evacuatedError() *verdict.Error {
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonEvacuated, x.evacuationPeriod,
		"every server of %s is in an evacuated data centre", x.service)
}
