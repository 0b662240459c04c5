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
	// seen, if set, is called with each answer.
	seen func(*instance, answer)
}

func (s *site) caller(account string) *caller { return &caller{s: s, key: s.keys[account]} }

// answer is what a caller got.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	text    string
	head    string
	whole   bool
	verdict string
	reason  string
	err     error
	took    time.Duration
}

var callerClient = &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// do sends one request and reads its answer.
func (c *caller) do(in *instance, method, path string, header map[string]string, body any) answer {
	begun := time.Now()
	a := c.send(in, method, path, header, body)
	a.took = time.Since(begun)
	if c.seen != nil {
		c.seen(in, a)
	}
	return a
}

func (c *caller) send(in *instance, method, path string, header map[string]string, body any) answer {
	var r io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return answer{err: err}
		}
		r = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+in.callers+path, r)
	if err != nil {
		return answer{err: err}
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
		return answer{err: err}
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readStream(resp.Body)
		return a
	}
	a.body, a.err = io.ReadAll(resp.Body)
	a.readWhole()
	return a
}

// message is the union of what answers hold.
type message struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
	Berylpond struct{ Head string }
	Error     struct{ Type, Verdict string }
	Verdict   string
	Reason    string
}

func (a *answer) readWhole() {
	var m message
	if json.Unmarshal(a.body, &m) != nil {
		return
	}
	a.verdict, a.reason, a.head = m.Verdict, m.Reason, m.Berylpond.Head
	if len(m.Choices) > 0 {
		a.text, a.whole = m.Choices[0].Message.Content, a.status == http.StatusOK
	}
}

func (a *answer) readStream(r io.Reader) {
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.whole = true
			return
		}
		var m message
		if json.Unmarshal([]byte(data), &m) != nil {
			continue
		}
		if m.Error.Type != "" {
			a.reason, a.verdict = m.Error.Type, m.Error.Verdict
		}
		if m.Berylpond.Head != "" {
			a.head = m.Berylpond.Head
		}
		if len(m.Choices) > 0 {
			a.text += m.Choices[0].Delta.Content
		}
	}
	a.err = sc.Err()
}

// programRef is a program as its caller knows it.
type programRef struct {
	id, head string
}

// create makes a program.
func (c *caller) create(in *instance, budget map[string]int) (programRef, answer) {
	a := c.do(in, http.MethodPost, "/v1/programs", nil, map[string]any{"budget": budget})
	if a.status != http.StatusCreated {
		return programRef{}, a
	}
	return programRef{id: a.header.Get("Berylpond-Program"), head: a.header.Get("Berylpond-Head")}, a
}

// turn makes the program's next call; on a whole answer the head moves on.
func (c *caller) turn(in *instance, p *programRef, content string, stream bool) answer {
	a := c.do(in, http.MethodPost, "/v1/chat/completions", map[string]string{"Berylpond-Program": p.id, "Berylpond-Head": p.head},
		map[string]any{"model": "small", "stream": stream, "max_tokens": 12, "messages": []map[string]string{{"role": "user", "content": content}}})
	if a.whole && a.head != "" {
		p.head = a.head
	}
	return a
}

// chat makes one call outside any program.
func (c *caller) chat(in *instance, content string, maxTokens int, stream bool) answer {
	return c.do(in, http.MethodPost, "/v1/chat/completions", nil, map[string]any{"model": "small", "stream": stream, "max_tokens": maxTokens,
		"messages": []map[string]string{{"role": "user", "content": content}}})
}

// effect calls the service that must not be repeated.
func (c *caller) effect(in *instance, idempotencyKey, effectKey string) answer {
	return c.do(in, http.MethodPost, "/effects/refund", map[string]string{"Idempotency-Key": idempotencyKey}, map[string]string{"key": effectKey})
}

// effects counts the effects under a key at all services.
func (s *site) effects(key string) int {
	s.t.Helper()
	n := 0
	for _, f := range s.service {
		var e struct {
			ByKey map[string]int `json:"by_key"`
		}
		f.call(http.MethodGet, "/effects", nil, &e)
		n += e.ByKey[key]
	}
	return n
}

// watchKeys tells the stand-ins which keys must never reach them.
func (s *site) watchKeys() {
	s.t.Helper()
	var keys []string
	for _, k := range s.keys {
		keys = append(keys, k)
	}
	for _, f := range s.backendServers() {
		f.call(http.MethodPut, "/keys", map[string][]string{"keys": keys}, nil)
	}
}

// backendServers returns every stand-in that calls are sent to.
func (s *site) backendServers() []fake {
	var out []fake
	for _, dc := range s.dcs {
		out = append(append(out, s.engines[dc.name]...), s.service[dc.name])
	}
	return out
}

// keysSeen counts the requests in which a caller's key or a header for one reached a backend server.
func (s *site) keysSeen(f fake) int {
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
