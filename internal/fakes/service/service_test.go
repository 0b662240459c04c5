package service

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fakes/fault"
)

func post(ctx context.Context, url string) (int, EffectResponse, error) {
	var out EffectResponse
	req, _ := http.NewRequestWithContext(ctx, "POST", url+"/effects/refund", strings.NewReader(`{"key":"till-1"}`))
	req.Header.Set(RequestIDHeader, "r1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, out, err
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&out)
	return resp.StatusCode, out, nil
}

func TestFaultsBeforeAndAfterTheEffect(t *testing.T) {
	for _, tc := range []struct {
		mode     fault.Mode
		status   int
		id       string
		effects  int
		answered bool
	}{
		{"", 200, "r1", 1, true},
		{fault.Slow, 200, "r1", 1, true},
		{fault.Late, 200, "r1", 1, true},
		{fault.WrongID, 200, wrongID, 1, true},
		{fault.Error500, 500, "", 0, true},
		{fault.Refuse, 503, "", 0, true},
		{fault.Hang, 0, "", 0, false},
		{fault.Lose, 0, "", 1, false},
		{fault.CrashAfterEffect, 0, "", 1, false},
		{fault.LoseResponse, 0, "", 1, false},
	} {
		t.Run("mode "+string(tc.mode), func(t *testing.T) {
			is := is.New(t)
			s := New()
			server := httptest.NewServer(s)
			defer server.Close()
			if tc.mode != "" {
				s.Faults.Set(fault.Spec{Mode: tc.mode, Times: 1, DelayMS: 10})
			}
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			status, out, err := post(ctx, server.URL)
			is.Equal(err == nil, tc.answered)
			is.Equal(status, tc.status)
			is.Equal(out.RequestID, tc.id)
			is.Equal(s.Effects().Total, tc.effects)
			is.Equal(s.Effects().ByRequest["r1"], tc.effects)
			is.Equal(s.Effects().ByKey["till-1"], tc.effects)
		})
	}
}

func TestFaultOverHTTP(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(New())
	defer server.Close()
	set := func(method, body string) int {
		req, err := http.NewRequest(method, server.URL+"/fault", strings.NewReader(body))
		is.NoErr(err)
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		return resp.StatusCode
	}
	is.Equal(set("PUT", `{"mode":"error500"}`), http.StatusNoContent)
	status, _, err := post(t.Context(), server.URL)
	is.NoErr(err)
	is.Equal(status, 500)
	is.Equal(set("DELETE", ""), http.StatusNoContent)
	status, _, err = post(t.Context(), server.URL)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(set("PUT", `{}`), http.StatusBadRequest)
}
