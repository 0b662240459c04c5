package gateway

import (
	"bytes"
	"context"
	"io"
	"iter"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylpond/berylpond/internal/resume"
	"github.com/berylpond/berylpond/internal/verdict"
	"github.com/berylpond/berylpond/platform"
)

const (
	// streamBufferBytes is the size of the read buffer for a backend server's stream.
	streamBufferBytes = 8 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxStreamBytes bounds the events of one stream, whose output may be held until the turn is recorded. It is far above what
	// a model generates in one turn.
	maxStreamBytes = 4 << 20
	// assuredOutputBytes is the output that a stream may hold even if the instance has no memory for it: streams of usual
	// length are not broken off.
	assuredOutputBytes = 16 << 10
)

// relayedStream records what was relayed to the client, over all runs of the request.
type relayedStream struct {
	events int
	// bytes is the size of these events.
	bytes int
	// output holds the data of each event, each followed by a line feed, if it is kept.
	output     []byte
	keepOutput bool
	// complete is set once the client has the whole stream.
	complete bool
	position resume.Position
	// firstEvent is how long the run that delivered the first event took to it, lastRelayed when the last event was relayed.
	firstEvent  time.Duration
	lastRelayed time.Time
	// resumed is set while the events come from a run that goes on where an earlier one was broken off.
	resumed bool
}

// errStreamTruncated marks truncated streams, errStreamTooLong and errStreamNoMemory those that this instance ends.
var (
	errStreamTruncated = errors.New("the stream broke off")
	errStreamTooLong   = errors.Wrap(errStreamTruncated, "the stream is too long")
	errStreamNoMemory  = errors.New("the instance has no memory for a stream of this length")
)

// relayStream relays the events of a response as they arrive. The body is that of the request, with which a broken stream
// is resumed. A nil error means that the backend server's response was complete; the client sees the end of the stream
// only once the handler returns.
func (x *exchange) relayStream(ctx context.Context, resp *backendResponse, body []byte) (relayedStream, error) {
	out := relayedStream{lastRelayed: x.started, keepOutput: x.route.StoresHistory}
	for {
		if resp.Status != http.StatusOK {
			return out, x.relayNoStream(ctx, resp)
		}
		err := x.relayRun(ctx, resp, &out)
		if err == nil {
			out.complete = true
			return out, nil
		}
		next, resumeErr := x.resumeStream(ctx, resp, body, &out, err)
		if next == nil {
			if resumeErr != nil {
				err = errors.Newf("%v; it could not be resumed: %v", err, resumeErr)
			}
			return out, x.streamError(ctx, err, out)
		}
		resp = next
	}
}

// relayRun relays the events of one run and releases its backend server.
func (x *exchange) relayRun(ctx context.Context, resp *backendResponse, out *relayedStream) error {
	if !x.resumable() {
		x.startStream(resp)
	}
	err := x.relayEvents(resp, out)
	if err == nil && !out.resumed {
		x.fleet.Completed(resp.backend, int64(out.events)*x.eventTokens())
	}
	resp.close(err == nil, err != nil && ctx.Err() == nil)
	if err == nil {
		// The end of a run says nothing about the events that an earlier run was broken off at.
		if out.resumed {
			x.metrics.resumptions.WithLabelValues("completed").Inc()
		} else {
			x.quarantine.Completed(x.identity)
		}
		return nil
	}
	if ctx.Err() == nil && errors.Is(err, errStreamTruncated) {
		x.brokenOff(resp.backend, resp.sent, err)
	}
	return err
}

// relayNoStream relays a response that is not an event stream. It can't follow the events of a stream.
func (x *exchange) relayNoStream(ctx context.Context, resp *backendResponse) error {
	if !x.headersSent {
		return x.relayBuffered(ctx, resp)
	}
	x.metrics.resumptions.WithLabelValues("refused").Inc()
	status := resp.Status
	resp.close(discard(resp.Response), false)
	return verdict.Fail(http.StatusBadGateway, verdict.ReasonTruncated,
		"the stream could not be resumed: backend server %s answered with status %d", resp.backend.ID, status)
}

// streamError converts the error that ended a stream to the one that is reported.
func (x *exchange) streamError(ctx context.Context, err error, out relayedStream) error {
	reason, status := verdict.ReasonTruncated, http.StatusBadGateway
	if errors.Is(err, errStreamNoMemory) {
		reason = verdict.ReasonMemoryFull
	}
	if ctx.Err() != nil {
		reason, status = verdict.ReasonDeadline, http.StatusGatewayTimeout
		if x.r.Context().Err() != nil {
			reason = verdict.ReasonCancelled
		}
	}
	return verdict.Fail(status, reason, "%v after %d events", err, out.events)
}

// startStream writes the status and the headers to the client, unless an earlier run's have been written.
func (x *exchange) startStream(resp *backendResponse) {
	if x.headersSent {
		return
	}
	h := x.w.Header()
	platform.CopyResponseHeaders(h, resp.Header)
	x.setConnectionClose(h)
	x.beginResponse(resp.Status)
	x.flush()
}

func (x *exchange) flush() {
	// A flush fails only if the client has disconnected, and that cancels the request's context.
	_ = http.NewResponseController(x.w).Flush()
}

// relayEvents relays complete events only, so that a truncated event never reaches the client. On a resumable route the
// headers are sent with the first event, so that until then the request may be sent again for another whole response.
func (x *exchange) relayEvents(resp *backendResponse, out *relayedStream) error {
	var pending []byte
	// covered is the size of an event for which memory is held; it doubles as the event grows.
	covered := int64(streamBufferBytes)
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if size := int64(len(pending) + n); size > covered {
			if x.hold(size) != nil {
				return errStreamNoMemory
			}
			covered += size
		}
		pending = append(pending, buf[:n]...)
		if complete := lastEventEnd(pending); complete > 0 {
			if rerr := x.relayComplete(resp, out, pending[:complete]); rerr != nil {
				return rerr
			}
			pending = append(pending[:0], pending[complete:]...)
		}
		switch {
		case len(pending) > maxEventBytes, out.bytes > maxStreamBytes:
			return errStreamTooLong
		case errors.Is(err, io.EOF) && len(pending) > 0:
			return errors.Wrap(errStreamTruncated, "the last event has no end")
		case errors.Is(err, io.EOF):
			x.startStream(resp)
			return nil
		case err != nil:
			return errors.Wrap(errStreamTruncated, err.Error())
		}
	}
}

// relayComplete relays complete events.
func (x *exchange) relayComplete(resp *backendResponse, out *relayedStream, events []byte) error {
	if out.resumed {
		var err error
		if events, err = following(out.position, events); err != nil || len(events) == 0 {
			return err
		}
	}
	now := x.now()
	if out.events == 0 {
		x.metrics.observeFirstEvent(x, now.Sub(x.started))
		out.firstEvent = now.Sub(resp.sent)
	}
	before, capacity := out.events, cap(out.output)
	out.add(events)
	out.lastRelayed = now
	if !x.holdOutput(out, cap(out.output)-capacity) {
		return errStreamNoMemory
	}
	if off, ok := x.fleet.FirstEvent(resp.backend, int64(out.events-before)*x.eventTokens()); ok {
		x.metrics.observePlacementError(off)
	}
	x.startStream(resp)
	if _, err := x.w.Write(events); err != nil {
		return errors.Wrap(err, "writing to the client")
	}
	x.flush()
	return nil
}

// lastEventEnd returns the length of the complete events at the start of b. An event ends with an empty line.
func lastEventEnd(b []byte) int {
	end := 0
	for _, terminator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(b, terminator); i >= 0 {
			end = max(end, i+len(terminator))
		}
	}
	return end
}

// streamEvent is one event of a stream, or a block without data such as a comment.
type streamEvent struct {
	raw     []byte
	hasData bool
	id      resume.ID
}

// streamEvents iterates over complete events.
func streamEvents(b []byte) iter.Seq[streamEvent] {
	return func(yield func(streamEvent) bool) {
		var e streamEvent
		start, end := 0, 0
		for line := range bytes.Lines(b) {
			end += len(line)
			line = bytes.TrimRight(line, "\r\n")
			if len(line) == 0 {
				e.raw = b[start:end]
				if !yield(e) {
					return
				}
				e, start = streamEvent{}, end
				continue
			}
			if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
				e.id = resume.ParseID(string(bytes.TrimSpace(id)))
			}
			e.hasData = e.hasData || bytes.HasPrefix(line, []byte("data:"))
		}
	}
}

// add counts complete events and appends their data to the output, if that is kept.
func (o *relayedStream) add(events []byte) {
	for e := range streamEvents(events) {
		if !e.hasData {
			continue
		}
		o.events++
		o.bytes += len(e.raw)
		o.position.Advance(e.id)
		if !o.keepOutput {
			continue
		}
		for line := range bytes.Lines(e.raw) {
			if data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data:")); ok {
				o.output = append(o.output, bytes.TrimPrefix(data, []byte(" "))...)
				o.output = append(o.output, '\n')
			}
		}
	}
}
