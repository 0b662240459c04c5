package engine

import (
	"time"
)

// tick is the wall time between two steps of a busy batch.
const tick = time.Millisecond

type state int

const (
	waiting state = iota
	prefilling
	decoding
	finished
	cancelled
)

// execution is one request inside the engine. Its fields are guarded by Server.mu.
type execution struct {
	id       string
	prefix   Prefix
	request  *ChatRequest
	chunks   []string
	state    state
	cached   int
	toFill   float64
	produced float64
	crashed  bool
	// changed is closed and replaced at each progress.
	changed chan struct{}
}

// ready returns the number of chunks that can be sent; Server.mu is held.
func (x *execution) ready() int { return min(len(x.chunks), int(x.produced)) }

func (x *execution) need() int { return x.prefix.total() + len(x.chunks) }

func (x *execution) ended() bool { return x.state == finished || x.state == cancelled }

func (x *execution) notify() {
	close(x.changed)
	x.changed = make(chan struct{})
}

// run steps the batch until Close.
func (s *Server) run() {
	defer close(s.done)
	last := time.Now()
	for {
		s.mu.Lock()
		busy := len(s.batch)+len(s.queue) > 0
		s.mu.Unlock()
		if !busy {
			select {
			case <-s.wake:
				last = time.Now()
			case <-s.stop:
				return
			}
		}
		select {
		case <-time.After(tick):
		case <-s.stop:
			return
		}
		now := time.Now()
		s.step(now.Sub(last).Seconds() * s.scale)
		last = now
	}
}

// step advances the batch by seconds of engine time. Prefill and decode share the time when both have work.
func (s *Server) step(seconds float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitWaiting()
	var filling, decode []*execution
	for _, x := range s.batch {
		switch x.state {
		case prefilling:
			filling = append(filling, x)
		case decoding:
			decode = append(decode, x)
		}
	}
	fillTime, decodeTime := seconds, seconds
	if len(filling) > 0 && len(decode) > 0 {
		fillTime, decodeTime = seconds/2, seconds/2
	}
	fill(filling, fillTime*s.prefillRate)
	for _, x := range decode {
		x.produced += decodeTime * s.decodeRate / float64(len(decode))
		x.notify()
	}
	s.retire()
}

// fill spends tokens on the prompts in order of arrival.
func fill(batch []*execution, tokens float64) {
	for _, x := range batch {
		used := min(tokens, x.toFill)
		x.toFill -= used
		tokens -= used
		if x.toFill > 0 {
			return
		}
		x.state = decoding
		// The first token comes with the end of the prefill.
		x.produced = 1
		x.notify()
	}
}

// admitWaiting moves requests from the queue to the batch in order of arrival; s.mu is held.
func (s *Server) admitWaiting() {
	for len(s.queue) > 0 && len(s.batch) < s.maxBatch {
		x := s.queue[0]
		if s.active+x.need() > s.capacity {
			return
		}
		s.queue = s.queue[1:]
		x.cached = s.cache.match(x.prefix)
		x.toFill = float64(x.prefix.total() - x.cached)
		x.state = prefilling
		s.active += x.need()
		s.cache.shrink(s.capacity - s.active)
		s.batch = append(s.batch, x)
	}
}

// retire takes ended requests out of the batch and caches what they computed; s.mu is held.
func (s *Server) retire() {
	kept := s.batch[:0]
	for _, x := range s.batch {
		if x.state == decoding && x.ready() == len(x.chunks) {
			x.state = finished
		}
		if !x.ended() {
			kept = append(kept, x)
			continue
		}
		s.active -= x.need()
		if x.state == finished {
			s.cache.store(s.grown(x), s.capacity-s.active)
		}
		x.notify()
	}
	clear(s.batch[len(kept):])
	s.batch = kept
}

// grown returns the prefix of the prompt with its answer.
func (s *Server) grown(x *execution) Prefix {
	messages := append(append([]Message(nil), x.request.Messages...), Message{Role: "assistant", Content: join(x.chunks)})
	return prefixOf(x.prefix.Key, x.request.Model, messages)
}
