package engine

import (
	"time"
)

// tick is the wall-clock interval between two steps of a busy batch.
const tick = time.Millisecond

type state int

const (
	waiting state = iota
	prefilling
	decoding
	finished
	cancelled
)

// execution is a queued, running or ended request of the engine. Its fields are guarded by Server.mu.
type execution struct {
	id          string
	prefix      Prefix
	request     *ChatRequest
	chunks      []string
	state       state
	cached      int
	prefillLeft float64
	produced    float64
	crashed     bool
	// changed is closed and replaced whenever the state or the number of produced tokens changes.
	changed chan struct{}
}

// ready returns the number of chunks that can be sent. Server.mu must be held.
func (x *execution) ready() int { return min(len(x.chunks), int(x.produced)) }

func (x *execution) totalTokens() int { return x.prefix.total() + len(x.chunks) }

func (x *execution) ended() bool { return x.state == finished || x.state == cancelled }

func (x *execution) notify() {
	close(x.changed)
	x.changed = make(chan struct{})
}

// run advances the batch until Close.
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
		s.step(now.Sub(last).Seconds() * s.timeScale)
		last = now
	}
}

// step advances the batch by seconds of engine time. Prefill and decode share the time when both have work.
func (s *Server) step(seconds float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitWaiting()
	var prefillBatch, decodeBatch []*execution
	for _, x := range s.batch {
		switch x.state {
		case prefilling:
			prefillBatch = append(prefillBatch, x)
		case decoding:
			decodeBatch = append(decodeBatch, x)
		}
	}
	prefillTime, decodeTime := seconds, seconds
	if len(prefillBatch) > 0 && len(decodeBatch) > 0 {
		prefillTime, decodeTime = seconds/2, seconds/2
	}
	prefill(prefillBatch, prefillTime*s.prefillRate)
	for _, x := range decodeBatch {
		x.produced += decodeTime * s.decodeRate / float64(len(decodeBatch))
		x.notify()
	}
	s.retire()
}

// prefill spends a budget of prompt tokens on the requests in order of arrival.
func prefill(batch []*execution, tokens float64) {
	for _, x := range batch {
		used := min(tokens, x.prefillLeft)
		x.prefillLeft -= used
		tokens -= used
		if x.prefillLeft > 0 {
			return
		}
		x.state = decoding
		// The end of the prefill produces the first token.
		x.produced = 1
		x.notify()
	}
}

// admitWaiting moves requests from the queue to the batch in order of arrival. s.mu must be held.
func (s *Server) admitWaiting() {
	for len(s.queue) > 0 && len(s.batch) < s.maxBatch {
		x := s.queue[0]
		if s.activeTokens+x.totalTokens() > s.capacity {
			return
		}
		s.queue = s.queue[1:]
		x.cached = s.cache.match(x.prefix)
		x.prefillLeft = float64(x.prefix.total() - x.cached)
		x.state = prefilling
		s.activeTokens += x.totalTokens()
		s.cache.evictTo(s.capacity - s.activeTokens)
		s.batch = append(s.batch, x)
	}
}

// retire removes ended requests from the batch and caches the prefixes of finished ones. s.mu must be held.
func (s *Server) retire() {
	running := s.batch[:0]
	for _, x := range s.batch {
		if x.state == decoding && x.ready() == len(x.chunks) {
			x.state = finished
		}
		if !x.ended() {
			running = append(running, x)
			continue
		}
		s.activeTokens -= x.totalTokens()
		if x.state == finished {
			s.cache.store(s.completedPrefix(x), s.capacity-s.activeTokens)
		}
		x.notify()
	}
	clear(s.batch[len(running):])
	s.batch = running
}

// completedPrefix returns the prefix of the prompt followed by its response.
func (s *Server) completedPrefix(x *execution) Prefix {
	messages := append(append([]Message(nil), x.request.Messages...), Message{Role: "assistant", Content: join(x.chunks)})
	return prefixOf(x.prefix.Key, x.request.Model, messages)
}
