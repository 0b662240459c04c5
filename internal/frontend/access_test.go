package frontend

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v5"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/berylpond/berylpond/internal/config"
	"github.com/berylpond/berylpond/internal/frontend/commands"
	"github.com/berylpond/berylpond/internal/frontend/queries"
	"github.com/berylpond/berylpond/internal/frontend/request"
	"github.com/berylpond/berylpond/internal/logging"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	testKey     = "bp_0123456789abcdef_SECRETSECRET"
	testProgram = "prg_giza_0190f7a2-5b6c-7d8e-9f00-0123456789ab"
)

var errNotReady = errors.New("not ready")

// unconfigured returns a server without a configuration, which refuses every authenticated request with status 503.
func unconfigured() *Server {
	none := func() *config.Snapshot { return nil }
	return New(Deps{
		Auth: request.NewAuthenticator(none, nil), Commands: commands.New(nil, none, "giza"),
		Queries: queries.New(nil, none, func() error { return errNotReady }), Registry: prometheus.NewRegistry(),
		Draining: func() bool { return false },
	})
}

// refusing returns an unconfigured server with an additional route whose error detail contains the request path.
func refusing() *Server {
	s := unconfigured()
	s.echo.GET("/refused/:name", func(c *echo.Context) error {
		return verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownRoute, 0, "no route for %s", c.Request().URL.Path)
	})
	return s
}

func accessLog(t *testing.T, verbosity int, r *http.Request) string {
	t.Helper()
	var out bytes.Buffer
	logging.Setup(&out, "giza-0", verbosity)
	refusing().ServeHTTP(httptest.NewRecorder(), r)
	return out.String()
}

func chatRequest(program string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions?q=SECRET", strings.NewReader(`{"model":"SECRET"}`))
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set(commands.HeaderProgram, program)
	return r
}

func TestFailureIsLoggedWithAllFields(t *testing.T) {
	is := is.New(t)
	text := accessLog(t, 0, chatRequest(testProgram))
	var line map[string]any
	is.NoErr(json.Unmarshal([]byte(text), &line))
	is.Equal(line["msg"], "Request ended")
	is.Equal(line["instance"], "giza-0")
	is.Equal(line["program"], testProgram)
	is.Equal(line["account"], "")
	is.Equal(line["route"], "/v1/chat/completions")
	is.Equal(line["verdict"], "not-run")
	is.Equal(line["reason"], "no_configuration")
	is.Equal(line["status"], float64(http.StatusServiceUnavailable))
	is.True(line["request"] != "")
	is.True(line["seconds"].(float64) > 0)
}

func TestAccessLogContainsNoSecrets(t *testing.T) {
	for name, r := range map[string]*http.Request{
		"failure":           chatRequest(testProgram),
		"key as a program":  chatRequest(testKey),
		"text as a program": chatRequest("prg_giza_SECRET"),
		"quoted path":       httptest.NewRequest(http.MethodGet, "/refused/SECRET", nil),
		"unknown route":     httptest.NewRequest(http.MethodGet, "/SECRET/"+testKey, nil),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := accessLog(t, 9, r)
			is.True(strings.Contains(text, "Request ended"))
			is.True(!strings.Contains(text, "SECRET"))
		})
	}
}

func TestProbesAreNotLoggedAsFailures(t *testing.T) {
	is := is.New(t)
	ready := httptest.NewRequest(http.MethodGet, "/readyz", nil)
	is.Equal(accessLog(t, 0, ready), "")
	is.True(strings.Contains(accessLog(t, 1, ready), `"status":503`))
}

func TestSuccessIsLoggedAtVerbosityOne(t *testing.T) {
	is := is.New(t)
	health := func() *http.Request { return httptest.NewRequest(http.MethodGet, "/healthz", nil) }
	is.Equal(accessLog(t, 0, health()), "")
	text := accessLog(t, 1, health())
	is.True(strings.Contains(text, `"status":200`))
	is.True(strings.Contains(text, `"verdict":"ran"`))
}
