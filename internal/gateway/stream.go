package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/berylpond/berylpond/internal/verdict"
	"github.com/berylpond/berylpond/platform"
)

const (
	// streamBufferBytes is the size of the read buffer for a backend server's stream.
	streamBufferBytes = 8 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// maxStreamBytes bounds the output of one stream, which is held until the turn is recorded. It is far above what a model
	// generates in one turn.
	maxStreamBytes = 4 << 20
)

// relayedStream records what was relayed to the client.
type relayedStream struct {
	events int
	// output holds the data of each event, each followed by a line feed.
	output []byte
}

// errStreamTruncated marks truncated streams.
var errStreamTruncated = errors.New("the stream broke off")

// relayStream relays the events of a response as they arrive. A nil error means that the backend server's response was
// complete; the client sees the end of the stream only once the handler returns.
func (x *exchange) relayStream(ctx context.Context, resp *backendResponse) (relayedStream, error) {
	var out relayedStream
	if resp.Status != http.StatusOK {
		return out, x.relayBuffered(ctx, resp)
	}
	x.startStream(resp)
	err := x.relayEvents(resp, &out)
	if err == nil {
		x.fleet.Completed(resp.backend, int64(out.events)*x.eventTokens())
	}
	resp.close(err == nil, err != nil && ctx.Err() == nil)
	if err == nil {
		x.quarantine.Completed(x.identity)
		return out, nil
	}
	reason, status := verdict.ReasonTruncated, http.StatusBadGateway
	if ctx.Err() == nil && errors.Is(err, errStreamTruncated) {
		x.brokenOff(resp.backend, resp.sent, err)
	}
	if ctx.Err() != nil {
		reason, status = verdict.ReasonDeadline, http.StatusGatewayTimeout
		if x.r.Context().Err() != nil {
			reason = verdict.ReasonCancelled
		}
	}
	return out, verdict.Fail(status, reason, "%v after %d events", err, out.events)
}

// startStream writes the status and the headers to the client.
func (x *exchange) startStream(resp *backendResponse) {
	h := x.w.Header()
	platform.CopyResponseHeaders(h, resp.Header)
	x.setConnectionClose(h)
	x.headersSent = true
	x.w.WriteHeader(resp.Status)
	x.flush()
}

func (x *exchange) flush() {
	// A flush fails only if the client has disconnected, and that cancels the request's context.
	_ = http.NewResponseController(x.w).Flush()
}

// relayEvents relays complete events only, so that a truncated event never reaches the client.
func (x *exchange) relayEvents(resp *backendResponse, out *relayedStream) error {
	var pending []byte
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		pending = append(pending, buf[:n]...)
		if complete := lastEventEnd(pending); complete > 0 {
			first := out.events == 0
			if first {
				x.metrics.observeFirstEvent(x, x.now().Sub(x.started))
			}
			before := len(out.output)
			out.add(pending[:complete])
			x.holdOutput(len(out.output) - before)
			if first {
				if off, ok := x.fleet.FirstEvent(resp.backend, int64(out.events)*x.eventTokens()); ok {
					x.metrics.observePlacementError(off)
				}
			}
			if _, werr := x.w.Write(pending[:complete]); werr != nil {
				return errors.Wrap(werr, "writing to the client")
			}
			x.flush()
			pending = append(pending[:0], pending[complete:]...)
		}
		switch {
		case len(pending) > maxEventBytes:
			return errors.Wrap(errStreamTruncated, "an event is too long")
		case len(out.output) > maxStreamBytes:
			return errors.Wrap(errStreamTruncated, "the stream is too long")
		case errors.Is(err, io.EOF) && len(pending) > 0:
			return errors.Wrap(errStreamTruncated, "the last event has no end")
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Wrap(errStreamTruncated, err.Error())
		}
	}
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

// add counts complete events and appends their data to the output.
func (o *relayedStream) add(events []byte) {
	hasData := false
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if hasData {
				o.events++
			}
			hasData = false
			continue
		}
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			hasData = true
			o.output = append(o.output, bytes.TrimPrefix(data, []byte(" "))...)
			o.output = append(o.output, '\n')
		}
	}
}
