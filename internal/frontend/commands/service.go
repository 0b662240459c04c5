package commands

import (
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v5"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	"github.com/berylpond/berylpond/internal/executor"
	"github.com/berylpond/berylpond/internal/frontend/request"
	"github.com/berylpond/berylpond/internal/verdict"
)

// retryNoConfiguration is the retry delay sent to callers of an instance that has no configuration yet.
const retryNoConfiguration = time.Second

// Service serves the routes defined in the teams' documents.
func (h *Handlers) Service(c *echo.Context) error {
	snap := h.snapshot()
	if snap == nil {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoConfiguration, retryNoConfiguration,
			"this instance has no configuration yet")
	}
	r := c.Request()
	account := request.Account(c)
	team, route, ok := snap.Route(r.Method, r.URL.Path)
	if account != nil {
		route, ok = snap.TeamRoute(account.Team, r.Method, r.URL.Path)
	}
	switch {
	case !ok:
		return verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownRoute, 0, "no route for %s %s", r.Method, r.URL.Path)
	case account == nil && !route.Open:
		return verdict.Refuse(http.StatusUnauthorized, verdict.ReasonBadKey, 0, "this route needs a key: Authorization: Bearer KEY")
	case account == nil:
		account = &peerv1.Account{Team: team}
	}
	body, err := readBody(c)
	if err != nil {
		return err
	}
	key, err := idempotencyKey(c)
	if err != nil {
		return err
	}
	if key == "" && !route.Repeatable {
		key = "generated-" + request.ID(c)
	}
	req := &peerv1.CallRequest{
		RequestId: request.ID(c), Account: account, Kind: executor.KindService, Program: r.Header.Get(HeaderProgram),
		IdempotencyKey: key, Body: body, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery,
		ContentType: r.Header.Get(echo.HeaderContentType),
	}
	a := &serviceResponse{c: c}
	if err := h.router.Call(r.Context(), req, a.handleEvent); err != nil {
		return withCause(r.Context(), err)
	}
	return a.send()
}

// serviceResponse buffers a response and sends it only if it is complete.
type serviceResponse struct {
	c     *echo.Context
	start *peerv1.Start
	end   *peerv1.End
	body  strings.Builder
}

func (a *serviceResponse) handleEvent(ev *peerv1.CallEvent) error {
	switch e := ev.Event.(type) {
	case *peerv1.CallEvent_Start:
		a.start = e.Start
	case *peerv1.CallEvent_Delta:
		a.body.Write(e.Delta.Data)
	case *peerv1.CallEvent_End:
		a.end = e.End
	}
	return nil
}

func (a *serviceResponse) send() error {
	if a.start == nil || a.end == nil {
		return verdict.Fail(http.StatusBadGateway, verdict.ReasonTruncated, "the answer is not whole")
	}
	if a.end.Replayed {
		a.c.Response().Header().Set(HeaderReplayed, "true")
	}
	return a.c.Blob(int(a.start.Status), a.start.ContentType, []byte(a.body.String()))
}
