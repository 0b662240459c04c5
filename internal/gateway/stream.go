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
	// streamBufferBytes is read from a backend server at once.
	streamBufferBytes = 8 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

// relayed is what went through a stream.
type relayed struct {
	events int
	// output is the data of each event followed by a line feed.
	output []byte
}

// errStreamBroken marks streams that ended before their end.
var errStreamBroken = errors.New("the stream broke off")

// relayStream passes the events of an answer on as they come. Without an error the answer has ended whole at the server,
// and the end is still owed to the client: it is sent when the handler returns.
func (x *exchange) relayStream(ctx context.Context, a *answer) (relayed, error) {
	var out relayed
	if a.Status != http.StatusOK {
		return out, x.copyPlain(a)
	}
	x.start(a)
	err := x.relayEvents(a, &out)
	a.close(err == nil, err != nil && ctx.Err() == nil)
	if err == nil {
		return out, nil
	}
	reason, status := verdict.ReasonTruncated, http.StatusBadGateway
	if ctx.Err() != nil {
		reason, status = verdict.ReasonDeadline, http.StatusGatewayTimeout
		if x.r.Context().Err() != nil {
			reason = verdict.ReasonCancelled
		}
	}
	return out, verdict.Fail(status, reason, "%v after %d events", err, out.events)
}

// start passes the headers on.
func (x *exchange) start(a *answer) {
	h := x.w.Header()
	platform.AnswerHeaders(h, a.Header)
	x.keepClosing(h)
	x.answered = true
	x.w.WriteHeader(a.Status)
	x.flush()
}

func (x *exchange) flush() {
	// An error means that the client has gone, which ends the request's context.
	_ = http.NewResponseController(x.w).Flush()
}

// relayEvents forwards whole events only, so that an event that breaks off at the server never reaches the client.
func (x *exchange) relayEvents(a *answer, out *relayed) error {
	var pending []byte
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := a.Body.Read(buf)
		pending = append(pending, buf[:n]...)
		if whole := lastEventEnd(pending); whole > 0 {
			if out.events == 0 {
				x.metrics.firstEvent(x, x.now().Sub(x.started))
			}
			out.add(pending[:whole])
			if _, werr := x.w.Write(pending[:whole]); werr != nil {
				return errors.Wrap(werr, "writing to the client")
			}
			x.flush()
			pending = append(pending[:0], pending[whole:]...)
		}
		switch {
		case len(pending) > maxEventBytes:
			return errors.Wrap(errStreamBroken, "an event is too long")
		case errors.Is(err, io.EOF) && len(pending) > 0:
			return errors.Wrap(errStreamBroken, "the last event has no end")
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Wrap(errStreamBroken, err.Error())
		}
	}
}

// lastEventEnd returns the length of the whole events that b begins with: each ends with an empty line.
func lastEventEnd(b []byte) int {
	end := 0
	for _, mark := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(b, mark); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}

// add counts whole events and keeps their data.
func (o *relayed) add(events []byte) {
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
