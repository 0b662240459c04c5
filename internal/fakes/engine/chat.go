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

// responseFaults are the faults that affect the response to an accepted request.
var responseFaults = []fault.Mode{fault.Silent, fault.Late, fault.Mismatched, fault.Truncate, fault.Lose, fault.Slow}

func requestIDOf(body []byte) string {
	var c ChatRequest
	_ = json.Unmarshal(body, &c)
	return c.RequestID
}

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	body, err := s.Received.Record(r, requestIDOf)
	var c ChatRequest
	if err != nil || json.Unmarshal(body, &c) != nil || len(c.Messages) == 0 {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.messageCounts[lastUserMessage(c.Messages)]++
	s.mu.Unlock()
	if f, ok := s.Faults.Next(fault.Hang, fault.Refuse); ok {
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
	f, _ := s.Faults.Next(responseFaults...)
	s.respond(w, r, x, 0, f)
}

// block holds a request until its client disconnects or the engine crashes, then drops it. It does not return.
func (s *Server) block(r *http.Request) {
	s.mu.Lock()
	crashed := s.crashed
	s.mu.Unlock()
	select {
	case <-r.Context().Done():
	case <-crashed:
	}
	fault.AbortConnection()
}

// submit queues a request. If it is refused, submit returns nil and the HTTP status.
func (s *Server) submit(c *ChatRequest) (*execution, int) {
	if c.RequestID == "" {
		c.RequestID = "chatcmpl-" + uuid.NewString()
	}
	x := &execution{
		id: c.RequestID, request: c, prefix: prefixOf(c.PromptCacheKey, c.Model, c.Messages),
		chunks: ResponseChunks(c.Messages, c.MaxTokens), changed: make(chan struct{}),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.models != nil && !s.models[c.Model] {
		return nil, http.StatusNotFound
	}
	if x.totalTokens() > s.capacity {
		return nil, http.StatusRequestEntityTooLarge
	}
	s.executionCounts[x.id]++
	s.requests.Add(x.id, x)
	s.queue = append(s.queue, x)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return x, http.StatusOK
}

// respond sends the response of x, starting at the given chunk and subject to the fault f.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, x *execution, from int, f fault.Spec) {
	switch f.Mode {
	case fault.Late:
		if !fault.Sleep(r, f.Delay()) {
			return
		}
	case fault.Lose:
		s.awaitChunks(r, x, len(x.chunks))
		s.block(r)
	case fault.Mismatched:
		x = s.otherRequest(x)
	}
	if x.request.Stream {
		s.respondStream(w, r, x, from, f)
		return
	}
	s.respondPlain(w, r, x, f)
}

// otherRequest returns a completed execution of another request, or a made-up one, for a mismatched response to x.
func (s *Server) otherRequest(x *execution) *execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.requests.Values() {
		if o.id != x.id && o.ready() == len(o.chunks) {
			mismatched := *o
			request := *o.request
			request.Stream = x.request.Stream
			mismatched.request = &request
			return &mismatched
		}
	}
	messages := []Message{{Role: "user", Content: "the message of another request"}}
	return &execution{
		id: "chatcmpl-" + uuid.NewString(), state: finished, produced: float64(len(x.chunks)), prefix: x.prefix,
		request: &ChatRequest{Model: x.request.Model, Stream: x.request.Stream, StreamOptions: x.request.StreamOptions},
		chunks:  ResponseChunks(messages, len(x.chunks)), changed: make(chan struct{}),
	}
}

// awaitChunks waits until at least want chunks are ready or the request has ended, and returns the number of ready
// chunks. It does not return after a crash, on a silenced connection or when the client has disconnected.
func (s *Server) awaitChunks(r *http.Request, x *execution, want int) (ready int, ended bool) {
	for {
		silenced := s.connections.Changed()
		s.connections.BlockIfSilenced(r)
		s.mu.Lock()
		ready, ended = x.ready(), x.ended()
		changed, crashed := x.changed, x.crashed
		s.mu.Unlock()
		if crashed {
			fault.AbortConnection()
		}
		if ready >= want || ended {
			return ready, ended
		}
		select {
		case <-changed:
		case <-silenced:
		case <-r.Context().Done():
			fault.AbortConnection()
		}
	}
}

func (s *Server) respondPlain(w http.ResponseWriter, r *http.Request, x *execution, f fault.Spec) {
	ready, _ := s.awaitChunks(r, x, len(x.chunks))
	if f.Mode == fault.Slow && !fault.Sleep(r, f.Delay()) {
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
		fault.AbortConnection()
	case fault.Silent:
		s.connections.Silence(r)
		s.block(r)
	}
	_, _ = w.Write(data)
}

func (s *Server) respondStream(w http.ResponseWriter, r *http.Request, x *execution, from int, f fault.Spec) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	sent := from
	for sent < len(x.chunks) {
		if f.Mode == fault.Silent && sent >= f.AfterChunks {
			s.connections.Silence(r)
		}
		ready, ended := s.awaitChunks(r, x, sent+1)
		for ; sent < ready; sent++ {
			if f.Mode == fault.Truncate && sent >= f.AfterChunks {
				return
			}
			if f.Mode == fault.Slow && !fault.Sleep(r, f.Delay()) {
				return
			}
			s.connections.BlockIfSilenced(r)
			c := x.completion("chat.completion.chunk")
			c.Choices = []Choice{{Delta: &Delta{Content: x.chunks[sent]}}}
			sendEvent(w, c)
			if f.Mode == fault.Silent && sent+1 >= f.AfterChunks {
				s.connections.Silence(r)
			}
		}
		if ended && sent >= ready {
			break
		}
	}
	if f.Mode == fault.Truncate {
		return
	}
	s.connections.BlockIfSilenced(r)
	s.finishStream(w, x, sent)
}

// finishStream sends the finish reason, the usage if requested, and the end marker.
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

// finishReason returns "cancelled" for a request that ended before its last chunk.
func (x *execution) finishReason(sent int) string {
	if sent < len(x.chunks) {
		return "cancelled"
	}
	return "stop"
}
