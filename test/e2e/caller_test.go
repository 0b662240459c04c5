package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// caller sends requests as a client account does.
type caller struct {
	s   *site
	key string
	// onResult, if set, is called with the result of each request.
	onResult func(*instance, callResult)
}

func (s *site) caller(account string) *caller { return &caller{s: s, key: s.keys[account]} }

// callResult is the outcome of one request, as its caller sees it. It is complete if the whole response of a chat has
// arrived.
type callResult struct {
	status   int
	header   http.Header
	body     []byte
	text     string
	head     string
	complete bool
	verdict  string
	reason   string
	err      error
	elapsed  time.Duration
}

var callerClient = &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// do sends one request and reads its response.
func (c *caller) do(in *instance, method, path string, header map[string]string, body any) callResult {
	start := time.Now()
	res := c.send(in, method, path, header, body)
	res.elapsed = time.Since(start)
	if c.onResult != nil {
		c.onResult(in, res)
	}
	return res
}

func (c *caller) send(in *instance, method, path string, header map[string]string, body any) callResult {
	var r io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return callResult{err: err}
		}
		r = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+in.callers+path, r)
	if err != nil {
		return callResult{err: err}
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := callerClient.Do(req)
	if err != nil {
		return callResult{err: err}
	}
	defer resp.Body.Close()
	res := callResult{status: resp.StatusCode, header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		res.readStream(resp.Body)
		return res
	}
	res.body, res.err = io.ReadAll(resp.Body)
	res.readBody()
	return res
}

// wireMessage is the union of the fields of all JSON responses and stream events.
type wireMessage struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
	Berylpond struct{ Head string }
	Error     struct{ Type, Verdict string }
	Verdict   string
	Reason    string
}

func (res *callResult) readBody() {
	var m wireMessage
	if json.Unmarshal(res.body, &m) != nil {
		return
	}
	res.verdict, res.reason, res.head = m.Verdict, m.Reason, m.Berylpond.Head
	if len(m.Choices) > 0 {
		res.text, res.complete = m.Choices[0].Message.Content, res.status == http.StatusOK
	}
}

func (res *callResult) readStream(r io.Reader) {
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			res.complete = true
			return
		}
		var m wireMessage
		if json.Unmarshal([]byte(data), &m) != nil {
			continue
		}
		if m.Error.Type != "" {
			res.reason, res.verdict = m.Error.Type, m.Error.Verdict
		}
		if m.Berylpond.Head != "" {
			res.head = m.Berylpond.Head
		}
		if len(m.Choices) > 0 {
			res.text += m.Choices[0].Delta.Content
		}
	}
	res.err = sc.Err()
}

// programRef holds a program's id and the head of its latest completed turn.
type programRef struct {
	id, head string
}

func (c *caller) createProgram(in *instance, budget map[string]int) (programRef, callResult) {
	res := c.do(in, http.MethodPost, "/v1/programs", nil, map[string]any{"budget": budget})
	if res.status != http.StatusCreated {
		return programRef{}, res
	}
	return programRef{id: res.header.Get("Berylpond-Program"), head: res.header.Get("Berylpond-Head")}, res
}

// turn makes the program's next call and updates the head if the response is complete.
func (c *caller) turn(in *instance, p *programRef, content string, stream bool) callResult {
	res := c.do(in, http.MethodPost, "/v1/chat/completions",
		map[string]string{"Berylpond-Program": p.id, "Berylpond-Head": p.head},
		map[string]any{"model": "small", "stream": stream, "max_tokens": 12, "messages": []map[string]string{{"role": "user", "content": content}}})
	if res.complete && res.head != "" {
		p.head = res.head
	}
	return res
}

// chat makes one call that belongs to no program.
func (c *caller) chat(in *instance, content string, maxTokens int, stream bool) callResult {
	return c.do(in, http.MethodPost, "/v1/chat/completions", nil, map[string]any{"model": "small", "stream": stream, "max_tokens": maxTokens,
		"messages": []map[string]string{{"role": "user", "content": content}}})
}

// refund sends a request that must not be repeated.
func (c *caller) refund(in *instance, idempotencyKey, effectKey string) callResult {
	return c.do(in, http.MethodPost, "/effects/refund", map[string]string{"Idempotency-Key": idempotencyKey}, map[string]string{"key": effectKey})
}

// effectCount returns the number of effects under a key at all services.
func (s *site) effectCount(key string) int {
	s.t.Helper()
	n := 0
	for _, f := range s.services {
		var e struct {
			ByKey map[string]int `json:"by_key"`
		}
		f.call(http.MethodGet, "/effects", nil, &e)
		n += e.ByKey[key]
	}
	return n
}

// setKnownKeys registers the callers' keys with the fakes, which report requests that contain one.
func (s *site) setKnownKeys() {
	s.t.Helper()
	var keys []string
	for _, k := range s.keys {
		keys = append(keys, k)
	}
	for _, f := range s.backendServers() {
		f.call(http.MethodPut, "/keys", map[string][]string{"keys": keys}, nil)
	}
}

// backendServers returns the fakes that serve calls.
func (s *site) backendServers() []fake {
	var out []fake
	for _, dc := range s.dcs {
		out = append(append(out, s.engines[dc.name]...), s.services[dc.name])
	}
	return out
}

// leakCount returns a number that is zero only if no caller's key and no credential header has reached the backend
// server.
func (s *site) leakCount(f fake) int {
	s.t.Helper()
	var l struct {
		Total    int `json:"total"`
		Leaks    int `json:"leaks"`
		Requests []struct {
			CredentialHeaders []string `json:"credential_headers"`
		} `json:"requests"`
	}
	f.call(http.MethodGet, "/received", nil, &l)
	n := l.Leaks
	for _, r := range l.Requests {
		n += len(r.CredentialHeaders)
	}
	return n
}
