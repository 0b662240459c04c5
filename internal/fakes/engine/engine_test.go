package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tmaxmax/go-sse"
	"pgregory.net/rapid"

	"github.com/berylpond/berylpond/internal/fakes/fault"
)

const (
	responseTokens = 6
	clientTimeout  = 300 * time.Millisecond
)

func start(t *testing.T, opts ...Option) (*Server, string) {
	s := New(append([]Option{WithTimeScale(100)}, opts...)...)
	server := httptest.NewServer(s)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		s.Close()
	})
	return s, server.URL
}

func user(texts ...string) []Message {
	var out []Message
	for i, text := range texts {
		out = append(out, Message{Role: []string{"user", "assistant"}[i%2], Content: text})
	}
	return out
}

func chat(id string, stream bool, messages ...Message) ChatRequest {
	return ChatRequest{
		Model: "m", Messages: messages, MaxTokens: responseTokens, Stream: stream, PromptCacheKey: "prog",
		StreamOptions: &StreamOptions{IncludeUsage: true}, RequestID: id,
	}
}

// result is the outcome of a request, as its client sees it.
type result struct {
	status int
	text   string
	ids    map[string]bool
	usage  *Usage
	done   bool
	err    error
}

func (s *result) add(c Completion) {
	s.ids[c.ID] = true
	for _, choice := range c.Choices {
		if choice.Delta != nil {
			s.text += choice.Delta.Content
		}
		if choice.Message != nil {
			s.text += choice.Message.Content
		}
	}
	if c.Usage != nil {
		s.usage = c.Usage
	}
}

func do(ctx context.Context, client *http.Client, method, url string, body any) result {
	out := result{ids: map[string]bool{}}
	data, _ := json.Marshal(body)
	req, _ := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	resp, err := client.Do(req)
	if err != nil {
		out.err = err
		return out
	}
	defer resp.Body.Close()
	out.status = resp.StatusCode
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		var c Completion
		var whole []byte
		if whole, out.err = io.ReadAll(resp.Body); out.err == nil && json.Unmarshal(whole, &c) == nil {
			out.add(c)
		}
		return out
	}
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			out.err = err
			return out
		}
		if event.Data == endMarker {
			out.done = true
			continue
		}
		var c Completion
		_ = json.Unmarshal([]byte(event.Data), &c)
		out.add(c)
	}
	return out
}

func (s *result) checkComplete(is *is.I, c ChatRequest) {
	is.Helper()
	is.NoErr(s.err)
	is.Equal(s.status, http.StatusOK)
	is.Equal(s.text, ResponseText(c.Messages, c.MaxTokens))
	is.Equal(s.ids, map[string]bool{c.RequestID: true})
	is.True(s.usage != nil)
	is.Equal(s.usage.CompletionTokens, responseTokens)
	is.Equal(s.done, c.Stream)
}

func TestResponsesMatchRequests(t *testing.T) {
	for _, stream := range []bool{false, true} {
		is := is.New(t)
		s, url := start(t)
		first := chat("r1", stream, user("hello")...)
		got := do(t.Context(), http.DefaultClient, "POST", url+"/v1/chat/completions", first)
		got.checkComplete(is, first)
		second := chat("r2", stream, user("hello", got.text, "more")...)
		got = do(t.Context(), http.DefaultClient, "POST", url+"/v1/chat/completions", second)
		got.checkComplete(is, second)
		held := prefixOf("prog", "m", second.Messages[:2])
		is.Equal(got.usage.PromptTokensDetails.CachedTokens, held.total()) // prompt and response of the first request
		is.Equal(s.Executions(), map[string]int{"r1": 1, "r2": 1})
		got = do(t.Context(), http.DefaultClient, "GET", url+"/v1/requests/r1/stream?offset=2", nil)
		if stream {
			is.Equal(got.text, join(ResponseChunks(first.Messages, responseTokens)[2:]))
			is.True(got.done)
		}
	}
}

func TestFaultModes(t *testing.T) {
	for _, tc := range []struct {
		mode   fault.Mode
		stream bool
		runs   int
		check  func(*is.I, ChatRequest, result)
	}{
		{fault.Hang, true, 0, func(is *is.I, _ ChatRequest, s result) { is.True(s.err != nil && s.status == 0) }},
		{fault.Refuse, true, 0,
			func(is *is.I, _ ChatRequest, s result) { is.Equal(s.status, http.StatusServiceUnavailable) }},
		{fault.Lose, true, 1, func(is *is.I, _ ChatRequest, s result) { is.True(s.err != nil && s.text == "") }},
		{fault.Lose, false, 1, func(is *is.I, _ ChatRequest, s result) { is.True(s.err != nil && s.text == "") }},
		{fault.Late, true, 1, func(is *is.I, c ChatRequest, s result) { s.checkComplete(is, c) }},
		{fault.Slow, true, 1, func(is *is.I, c ChatRequest, s result) { s.checkComplete(is, c) }},
		{fault.Truncate, true, 1, func(is *is.I, c ChatRequest, s result) {
			is.NoErr(s.err) // the connection is closed cleanly; only the end marker and the usage are missing
			is.Equal(s.text, join(ResponseChunks(c.Messages, responseTokens)[:2]))
			is.True(!s.done && s.usage == nil)
		}},
		{fault.Truncate, false, 1, func(is *is.I, _ ChatRequest, s result) { is.True(s.err != nil) }},
		{fault.Mismatched, true, 1, func(is *is.I, c ChatRequest, s result) {
			is.True(s.done)
			is.True(s.text != ResponseText(c.Messages, responseTokens) && !s.ids[c.RequestID])
		}},
		{fault.Mismatched, false, 1, func(is *is.I, c ChatRequest, s result) {
			is.True(s.text != ResponseText(c.Messages, responseTokens) && !s.ids[c.RequestID])
		}},
		{fault.Silent, true, 1, func(is *is.I, c ChatRequest, s result) {
			is.True(s.err != nil && !s.done)
			is.Equal(s.text, join(ResponseChunks(c.Messages, responseTokens)[:2]))
		}},
	} {
		name := string(tc.mode) + map[bool]string{true: " stream", false: " plain"}[tc.stream]
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, url := start(t)
			client := &http.Client{Transport: &http.Transport{}}
			before := chat("r0", tc.stream, user("earlier")...)
			got := do(t.Context(), client, "POST", url+"/v1/chat/completions", before)
			got.checkComplete(is, before)
			s.Faults.Set(fault.Spec{Mode: tc.mode, Times: 1, DelayMS: 10, AfterChunks: 2})
			c := chat("r1", tc.stream, user("question")...)
			ctx, cancel := context.WithTimeout(t.Context(), clientTimeout)
			defer cancel()
			tc.check(is, c, do(ctx, client, "POST", url+"/v1/chat/completions", c))
			is.Equal(s.Executions()["r1"], tc.runs)
			// A new connection works.
			c = chat("r2", tc.stream, user("question")...)
			got = do(t.Context(), &http.Client{Transport: &http.Transport{}}, "POST", url+"/v1/chat/completions", c)
			got.checkComplete(is, c)
		})
	}
}

// TestSilencedConnectionHangs checks that a request on a silenced connection hangs and that a stream can be resumed on
// a new connection.
func TestSilencedConnectionHangs(t *testing.T) {
	is := is.New(t)
	s, url := start(t)
	old := &http.Client{Transport: &http.Transport{}}
	c := chat("r1", true, user("question")...)
	got := do(t.Context(), old, "POST", url+"/v1/chat/completions", c)
	got.checkComplete(is, c)
	s.Faults.Set(fault.Spec{Mode: fault.Silent})
	ctx, cancel := context.WithTimeout(t.Context(), clientTimeout)
	defer cancel()
	got = do(ctx, old, "GET", url+"/v1/load", nil)
	is.True(got.err != nil) // the old connection
	got = do(t.Context(), &http.Client{Transport: &http.Transport{}}, "GET", url+"/v1/requests/r1/stream?offset=0", nil)
	got.checkComplete(is, c)
}

func TestCrashClearsStateAndRestarts(t *testing.T) {
	is := is.New(t)
	s, url := start(t, WithRates(8000, 0.1)) // responses never finish
	done := make(chan result, 1)
	go func() {
		done <- do(t.Context(), http.DefaultClient, "POST", url+"/v1/chat/completions", chat("r1", true, user("q")...))
	}()
	for s.Executions()["r1"] == 0 {
		time.Sleep(time.Millisecond)
	}
	s.Faults.Set(fault.Spec{Mode: fault.Crash, DelayMS: 50})
	got := <-done
	is.True(got.err != nil)
	got = do(t.Context(), http.DefaultClient, "GET", url+"/v1/load", nil)
	is.True(got.err != nil) // still down
	time.Sleep(60 * time.Millisecond)
	got = do(t.Context(), http.DefaultClient, "GET", url+"/v1/requests/r1/stream?offset=0", nil)
	is.Equal(got.status, http.StatusNotFound)
}

func TestCancelRemovesFromBatch(t *testing.T) {
	is := is.New(t)
	s, url := start(t, WithRates(8000, 0.1), WithMaxBatch(1))
	done := make(chan result, 2)
	for _, id := range []string{"r1", "r2"} {
		go func() {
			done <- do(t.Context(), http.DefaultClient, "POST", url+"/v1/chat/completions", chat(id, false, user(id)...))
		}()
	}
	for len(s.Executions()) < 2 {
		time.Sleep(time.Millisecond)
	}
	for _, id := range []string{"r1", "r2"} {
		got := do(t.Context(), http.DefaultClient, "POST", url+"/v1/requests/"+id+"/cancel", nil)
		is.Equal(got.status, http.StatusNoContent)
	}
	<-done
	<-done
	for {
		s.mu.Lock()
		active := s.activeTokens
		s.mu.Unlock()
		if active == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(s.CachedKeys()), 0) // a cancelled request caches nothing
}

func TestExportImportRelease(t *testing.T) {
	is := is.New(t)
	a, urlA := start(t)
	b, urlB := start(t)
	first := chat("r1", false, user("hello")...)
	got := do(t.Context(), http.DefaultClient, "POST", urlA+"/v1/chat/completions", first)
	resp, err := http.Get(urlA + "/v1/cache/export?key=prog")
	is.NoErr(err)
	imported, err := http.Post(urlB+"/v1/cache/import", "application/json", resp.Body)
	is.NoErr(err)
	is.Equal(imported.StatusCode, http.StatusNoContent)
	is.Equal(b.CachedKeys(), a.CachedKeys())
	second := chat("r2", false, user("hello", got.text, "more")...)
	got = do(t.Context(), http.DefaultClient, "POST", urlB+"/v1/chat/completions", second)
	is.True(got.usage.PromptTokensDetails.CachedTokens > 0)
	do(t.Context(), http.DefaultClient, "POST", urlB+"/v1/cache/release", ReleaseRequest{Keys: []string{"prog"}})
	is.Equal(len(b.CachedKeys()), 0)
}

func TestOrderFencing(t *testing.T) {
	for _, ignoreFence := range []bool{false, true} {
		is := is.New(t)
		var opts []Option
		want := http.StatusConflict
		if ignoreFence {
			opts, want = append(opts, WithoutFencing()), http.StatusNoContent
		}
		_, url := start(t, opts...)
		got := do(t.Context(), http.DefaultClient, "POST", url+"/v1/orders", Order{FencingToken: 5, Kind: "set_role", Name: "prefill"})
		is.Equal(got.status, http.StatusNoContent)
		got = do(t.Context(), http.DefaultClient, "POST", url+"/v1/orders",
			Order{FencingToken: 4, Kind: "set_role", Name: "decode"})
		is.Equal(got.status, want)
	}
}

func TestLeakedKeysAreRecorded(t *testing.T) {
	is := is.New(t)
	s, url := start(t)
	s.Received.SetKeys("sk-secret")
	for _, text := range []string{"clean", "my key is sk-secret"} {
		do(t.Context(), http.DefaultClient, "POST", url+"/v1/chat/completions", chat("", false, user(text)...))
	}
	req, err := http.NewRequest("POST", url+"/v1/chat/completions", strings.NewReader("{}"))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer x")
	_, err = http.DefaultClient.Do(req)
	is.NoErr(err)
	list := s.Received.List()
	is.Equal(list.Total, int64(3))
	is.Equal(list.Leaks, int64(2))
	is.Equal(list.Requests[2].CredentialHeaders, []string{"Authorization"})
}

// TestCacheMatchesPrefixes compares the cache with a model that stores the messages instead of their digests.
func TestCacheMatchesPrefixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{"a", "bb", "a long message of many tokens"})
		message := rapid.Custom(func(t *rapid.T) Message {
			return Message{Role: rapid.SampledFrom([]string{"user", "assistant"}).Draw(t, "role"), Content: text.Draw(t, "text")}
		})
		capacity := rapid.IntRange(10, 120).Draw(t, "capacity")
		c := newCache()
		model := map[string][]Message{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			key := rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "key")
			messages := rapid.SliceOfN(message, 1, 4).Draw(t, "messages")
			p := prefixOf(key, "m", messages)
			want := 0
			for i, m := range messages {
				if held := model[key]; c.entries[key] == nil || i >= len(held) || held[i] != m {
					break
				}
				want += messageTokens(m)
			}
			if got := c.match(p); got != want {
				t.Fatalf("%d tokens match, want %d", got, want)
			}
			if p.total() <= capacity {
				model[key] = messages
			}
			c.store(p, capacity)
			used := 0
			for _, e := range c.entries {
				used += e.Value.(Prefix).total()
			}
			if used != c.used || used > capacity {
				t.Fatalf("cache holds %d tokens, counts %d, capacity %d", used, c.used, capacity)
			}
		}
	})
}

func TestCacheEventsAreDelayedAndDropped(t *testing.T) {
	is := is.New(t)
	s, url := start(t, WithCacheEvents(50*time.Millisecond, 2))
	for _, id := range []string{"r1", "r2", "r3"} {
		do(t.Context(), http.DefaultClient, "POST", url+"/v1/chat/completions", chat(id, false, user(id)...))
	}
	events := func() CacheEvents {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest("GET", "/v1/cache/events?after=0", nil))
		var out CacheEvents
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &out))
		return out
	}
	deadline := time.Now().Add(5 * time.Second)
	for len(events().Events) < 2 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	got := events()
	is.Equal(len(got.Events), 2) // the second of three is dropped
	is.Equal(got.Events[0].Seq, int64(1))
	is.Equal(got.Events[1].Seq, int64(3))
	is.Equal(got.Next, int64(3))
}
