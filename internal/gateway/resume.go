package gateway

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/backendpath"
	"github.com/berylpond/berylpond/internal/feature"
	"github.com/berylpond/berylpond/internal/resume"
	"github.com/berylpond/berylpond/internal/routing"
)

// endedProbeTimeout bounds the check whether the server that broke off a stream has ended. Connecting within a region
// takes milliseconds, and a host whose process has ended refuses at once.
const endedProbeTimeout = 100 * time.Millisecond

// errEventMissing means that a resumed stream does not go on where the one before was broken off.
var errEventMissing = errors.New("an event is missing at the start of the resumed stream")

// resumable reports whether a stream may be continued at another backend server.
func (x *exchange) resumable() bool {
	return x.route.Resumable && x.route.Kind == routing.Streaming && x.features.Enabled(feature.Resume)
}

// resumeStream sends the request of a stream that was broken off to another backend server, if it may. The connection of
// the broken run is closed by then. Without a response the stream ends here.
func (x *exchange) resumeStream(ctx context.Context, broken *backendResponse, body []byte, out *relayedStream, cause error,
) (*backendResponse, error) {
	if !x.resumable() {
		return nil, nil
	}
	if out.resumed {
		x.metrics.resumptions.WithLabelValues("broken_again").Inc()
	}
	if ctx.Err() != nil || !errors.Is(cause, errStreamTruncated) || errors.Is(cause, errStreamTooLong) {
		return nil, nil
	}
	decision := x.decideResumption(ctx, broken, out)
	klog.InfoS("stream was broken off", "request", x.ID, "decision", string(decision), "backend", broken.backend.ID,
		"events", out.events, "last_event", out.position.LastEventID(), "sends", x.sends, "uncounted", x.uncounted,
		"max_attempts", x.route.MaxAttempts, "since_last_event_ms", x.now().Sub(out.lastRelayed).Milliseconds(),
		"first_event_ms", out.firstEvent.Milliseconds(), "left_ms", x.remaining().Milliseconds(), "cause", cause.Error())
	if !decision.Sends() {
		x.metrics.resumptions.WithLabelValues(string(decision)).Inc()
		return nil, nil
	}
	x.triedBackends = append(x.triedBackends, broken.backend.ID)
	x.resumeAfter = out.position.LastEventID()
	resp, err := x.sendToService(ctx, body, "")
	if err != nil {
		x.metrics.resumptions.WithLabelValues("not_sent").Inc()
		return nil, err
	}
	klog.InfoS("stream goes on at another backend server", "request", x.ID, "backend", resp.backend.ID, "status", resp.Status,
		"last_event", x.resumeAfter, "since_last_event_ms", x.now().Sub(out.lastRelayed).Milliseconds())
	x.metrics.resumptions.WithLabelValues(string(decision)).Inc()
	out.resumed = decision == resume.Continue
	return resp, nil
}

// decideResumption checks whether the server has ended only if the decision depends on it.
func (x *exchange) decideResumption(ctx context.Context, broken *backendResponse, out *relayedStream) resume.Decision {
	b := resume.Break{
		At: x.now(), LastRelayed: out.lastRelayed, FirstEvent: out.firstEvent,
		Patience:  resume.Patience(x.route.LatencyObjective, x.route.EventInterval),
		RespondBy: x.respondBy, Sends: x.sends, Uncounted: x.uncounted, MaxAttempts: x.route.MaxAttempts,
		Position: out.position,
	}
	decision := resume.Decide(b)
	if decision != resume.AttemptsSpent {
		return decision
	}
	b.ServerEnded = true
	if !resume.Decide(b).Sends() || !x.serverEnded(ctx, broken.backend.Address) {
		return decision
	}
	x.uncounted++
	b.At = x.now()
	return resume.Decide(b)
}

// serverEnded reports whether just this server refuses connections. A connection that opens is kept for a later request.
func (x *exchange) serverEnded(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, endedProbeTimeout)
	defer cancel()
	return errors.Is(x.servers.Probe(ctx, address), backendpath.ErrServerDown)
}

// following returns the events that follow a position, without those that the client has.
func following(at resume.Position, events []byte) ([]byte, error) {
	var out bytes.Buffer
	for e := range streamEvents(events) {
		if e.hasData {
			switch at.Place(e.id) {
			case resume.Repeated:
				continue
			case resume.Gap:
				return nil, errors.Wrapf(errEventMissing, "event %d came after event %s", e.id.Number, at.LastEventID())
			case resume.Next:
				at.Advance(e.id)
			}
		}
		out.Write(e.raw)
	}
	return out.Bytes(), nil
}
