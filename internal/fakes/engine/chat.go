package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"

	"github.com/berylpond/berylpond/internal/fakes/fault"
)

const endMarker = "[DONE]"

// answerFaults are those that change how an accepted request is answered.
var answerFaults = []fault.Mode{fault.Silent, fault.Late, fault.Crossed, fault.Truncate, fault.Lose, fault.Slow}

func requestIDOf(body []byte) string {
	var c ChatRequest
	_ = json.Unmarshal(body, &c)
	return c.RequestID
}

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	body, err := s.Received.Take(r, requestIDOf)
	var c ChatRequest
	if err != nil || json.Unmarshal(body, &c) != nil || len(c.Messages) == 0 {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.messages[lastUser(c.Messages)]++
	s.mu.Unlock()
	if f, ok := s.Faults.Take(fault.Hang, fault.Refuse); ok {
		if f.Mode == fault.Hang {
			s.block(r)
		}
		http.Error(w, "engine refuses", http.StatusServiceUnavailable)
		return
	}
	x, status := s.submit(&c)
	if x == nil {
		http.Error(w, http.StatusText(status), status)
		return
	}
	f, _ := s.Faults.Take(answerFaults...)
	s.answer(w, r, x, 0, f)
}

// block holds a request until its client gives up or the engine crashes. It does not return.
func (s *Server) block(r *http.Request) {
	s.mu.Lock()
	crashed := s.crashed
	s.mu.Unlock()
	select {
	case <-r.Context().Done():
	case <-crashed:
	}
	fault.Drop()
}

// submit queues a request, or returns the status of its refusal.
func (s *Server) submit(c *ChatRequest) (*execution, int) {
	if c.RequestID == "" {
		c.RequestID = "chatcmpl-" + uuid.NewString()
	}
	x := &execution{
		id: c.RequestID, request: c, prefix: prefixOf(c.PromptCacheKey, c.Model, c.Messages),
		chunks: Answer(c.Messages, c.MaxTokens), changed: make(chan struct{}),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.models != nil && !s.models[c.Model] {
		return nil, http.StatusNotFound
	}
	if x.need() > s.capacity {
		return nil, http.StatusRequestEntityTooLarge
	}
	s.counts[x.id]++
	s.requests.Add(x.id, x)
	s.queue = append(s.queue, x)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return x, http.StatusOK
}

// answer sends the answer of x from the given chunk on, as the fault f has it.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, x *execution, from int, f fault.Spec) {
	switch f.Mode {
	case fault.Late:
		if !fault.Wait(r, f.Delay()) {
			return
		}
	case fault.Lose:
		s.await(r, x, len(x.chunks))
		s.block(r)
	case fault.Crossed:
		x = s.other(x)
	}
	if x.request.Stream {
		s.stream(w, r, x, from, f)
		return
	}
	s.plain(w, r, x, f)
}

// other returns a request that is not x, to be answered in its place.
func (s *Server) other(x *execution) *execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.requests.Values() {
		if o.id != x.id && o.ready() == len(o.chunks) {
			crossed := *o
			request := *o.request
			request.Stream = x.request.Stream
			crossed.request = &request
			return &crossed
		}
	}
	messages := []Message{{Role: "user", Content: "the message of another request"}}
	return &execution{
		id: "chatcmpl-" + uuid.NewString(), state: finished, produced: float64(len(x.chunks)), prefix: x.prefix,
		request: &ChatRequest{Model: x.request.Model, Stream: x.request.Stream, StreamOptions: x.request.StreamOptions},
		chunks:  Answer(messages, len(x.chunks)), changed: make(chan struct{}),
	}
}

// await returns the number of chunks ready once there are at least want or the request has ended. It does not return
// after a crash or on a silenced connection, and drops the request when its client has gone.
func (s *Server) await(r *http.Request, x *execution, want int) (ready int, ended bool) {
	for {
		silenced := s.connections.Changed()
		s.connections.Check(r)
		s.mu.Lock()
		ready, ended = x.ready(), x.ended()
		changed, crashed := x.changed, x.crashed
		s.mu.Unlock()
		if crashed {
			fault.Drop()
		}
		if ready >= want || ended {
			return ready, ended
		}
		select {
		case <-changed:
		case <-silenced:
		case <-r.Context().Done():
			fault.Drop()
		}
	}
}

func (s *Server) plain(w http.ResponseWriter, r *http.Request, x *execution, f fault.Spec) {
	ready, _ := s.await(r, x, len(x.chunks))
	if f.Mode == fault.Slow && !fault.Wait(r, f.Delay()) {
		return
	}
	reason := x.finishReason(ready)
	c := x.completion("chat.completion")
	c.Choices = []Choice{{Message: &Message{Role: "assistant", Content: join(x.chunks[:ready])}, FinishReason: &reason}}
	c.Usage = x.usage(ready)
	data, _ := json.Marshal(c)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	switch f.Mode {
	case fault.Truncate:
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		fault.Drop()
	case fault.Silent:
		s.connections.SilenceOne(r)
		s.block(r)
	}
	_, _ = w.Write(data)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, x *execution, from int, f fault.Spec) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	sent := from
	for sent < len(x.chunks) {
		if f.Mode == fault.Silent && sent >= f.AfterChunks {
			s.connections.SilenceOne(r)
		}
		ready, ended := s.await(r, x, sent+1)
		for ; sent < ready; sent++ {
			if f.Mode == fault.Truncate && sent >= f.AfterChunks {
				return
			}
			if f.Mode == fault.Slow && !fault.Wait(r, f.Delay()) {
				return
			}
			s.connections.Check(r)
			c := x.completion("chat.completion.chunk")
			c.Choices = []Choice{{Delta: &Delta{Content: x.chunks[sent]}}}
			sendEvent(w, c)
			if f.Mode == fault.Silent && sent+1 >= f.AfterChunks {
				s.connections.SilenceOne(r)
			}
		}
		if ended && sent >= ready {
			break
		}
	}
	if f.Mode == fault.Truncate {
		return
	}
	s.connections.Check(r)
	s.finishStream(w, x, sent)
}

// finishStream sends finish reason, usage and end marker.
func (s *Server) finishStream(w http.ResponseWriter, x *execution, sent int) {
	reason := x.finishReason(sent)
	last := x.completion("chat.completion.chunk")
	last.Choices = []Choice{{Delta: &Delta{}, FinishReason: &reason}}
	sendEvent(w, last)
	if o := x.request.StreamOptions; o != nil && o.IncludeUsage {
		usage := x.completion("chat.completion.chunk")
		usage.Choices = []Choice{}
		usage.Usage = x.usage(sent)
		sendEvent(w, usage)
	}
	sendData(w, endMarker)
}

func sendEvent(w http.ResponseWriter, c Completion) {
	data, _ := json.Marshal(c)
	sendData(w, string(data))
}

func sendData(w http.ResponseWriter, data string) {
	m := &sse.Message{}
	m.AppendData(data)
	_, _ = m.WriteTo(w)
	_ = http.NewResponseController(w).Flush()
}

func (x *execution) completion(object string) Completion {
	return Completion{ID: x.id, Object: object, Created: time.Now().Unix(), Model: x.request.Model}
}

func (x *execution) usage(completion int) *Usage {
	prompt := x.prefix.total()
	return &Usage{
		PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion,
		PromptTokensDetails: PromptDetails{CachedTokens: x.cached},
	}
}

// finishReason is "cancelled" for a request that ended before its last chunk.
func (x *execution) finishReason(sent int) string {
	if sent < len(x.chunks) {
		return "cancelled"
	}
	return "stop"
}
