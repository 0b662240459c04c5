package gateway

import (
	"net/http"

	"github.com/berylpond/berylpond/internal/verdict"
)

// requestBytes is what a request holds beside its body and its response: stacks and the buffers of both connections.
const requestBytes = 24 << 10

// hold adds bytes that the request holds from now on, or returns a refusal if the instance has no memory for them.
func (x *exchange) hold(n int64) error {
	if !x.memory.Hold(n) {
		return x.noMemory(n)
	}
	x.addHeld(n)
	return nil
}

// addHeld notes bytes that were added to the account for the request.
func (x *exchange) addHeld(n int64) {
	x.held += n
	x.conn.SetHeld(x.held)
}

// noMemory is the refusal of a request that needs n more bytes. Another instance may have them, so the client is told to
// come back when this one expects to.
func (x *exchange) noMemory(n int64) error {
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonMemoryFull, x.memory.RetryAfter(n),
		"the instance has no memory for %d more bytes", n)
}

// holdOutput adds the bytes by which the buffer for the output of a stream has grown, which is kept until its turn is recorded.
// It reports whether there is memory for them.
func (x *exchange) holdOutput(out *relayedStream, grown int) bool {
	if len(out.output) > assuredOutputBytes {
		return x.hold(int64(grown)) == nil
	}
	x.memory.Add(int64(grown))
	x.addHeld(int64(grown))
	return true
}
