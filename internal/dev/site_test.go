package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func post(t testing.TB, s *Site, path string, header map[string]string, body string) (*http.Response, []byte) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+s.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+s.Key)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, b
}

const call = `{"model":"small","max_tokens":12,"stream":true,"messages":[{"role":"user","content":"hello"}]}`

// TestFirstSession sends model calls like those of the example commands written by PrintExamples, and one for an
// unknown model.
func TestFirstSession(t *testing.T) {
	is := is.New(t)
	s, err := Start(context.Background(), Options{CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0"})
	is.NoErr(err)
	defer s.Close()
	var out bytes.Buffer
	s.PrintExamples(&out)
	is.True(strings.Contains(out.String(), s.Key))

	resp, body := post(t, s, "/v1/chat/completions", nil, call)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(bytes.HasSuffix(body, []byte("data: [DONE]\n\n")))

	resp, _ = post(t, s, "/v1/programs", nil, `{"budget":{"tokens":20000,"calls":10}}`)
	is.Equal(resp.StatusCode, http.StatusCreated)
	next := map[string]string{"Berylpond-Program": resp.Header.Get("Berylpond-Program"), "Berylpond-Head": resp.Header.Get("Berylpond-Head")}
	resp, body = post(t, s, "/v1/chat/completions", next, strings.Replace(call, "true", "false", 1))
	is.Equal(resp.StatusCode, http.StatusOK)
	var response struct {
		Berylpond struct{ Head string }
	}
	is.NoErr(json.Unmarshal(body, &response))
	is.True(strings.HasPrefix(response.Berylpond.Head, "1-"))

	resp, body = post(t, s, "/v1/chat/completions", nil, `{"model":"none","messages":[{"role":"user","content":"x"}]}`)
	is.Equal(resp.StatusCode, http.StatusNotFound)
	is.Equal(resp.Header.Get("Content-Type"), "application/problem+json")
	is.True(bytes.Contains(body, []byte(`"verdict":"not-run"`)))
}

// BenchmarkCall measures one streamed call of 12 tokens, with the daemon, the fakes and the caller in one process.
func BenchmarkCall(b *testing.B) {
	s, err := Start(context.Background(), Options{CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0"})
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	b.ResetTimer()
	for range b.N {
		post(b, s, "/v1/chat/completions", nil, call)
	}
}
