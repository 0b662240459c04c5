package frontend

import (
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v5"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/frontend/commands"
	"github.com/berylpond/berylpond/internal/frontend/request"
	"github.com/berylpond/berylpond/internal/program"
	"github.com/berylpond/berylpond/internal/verdict"
)

// allRequests is the verbosity from which every request is logged; below it only failures with a status of 500 and more.
const allRequests = 1

// probes are the routes of load balancers and monitors, whose 503 is an answer and no failure.
var probes = []string{"/healthz", "/readyz", "/metrics"}

// logAccess writes one line for a request that has ended. It holds neither the key nor the path, the query, the body or
// the answer, since any of these may hold secrets or message text. The detail of a refusal may quote what the caller
// sent, so it is left out where the request was at fault.
func logAccess(c *echo.Context, err error, took time.Duration) {
	status, outcome, reason, detail := http.StatusOK, verdict.Ran, verdict.Reason(""), ""
	if res, uerr := echo.UnwrapResponse(c.Response()); uerr == nil && res.Status != 0 {
		status = res.Status
	}
	if err != nil {
		e := asVerdict(err)
		status, outcome, reason = e.Status, e.Verdict, e.Reason
		if status >= http.StatusInternalServerError {
			detail = e.Detail
		}
	}
	level := klog.V(allRequests)
	if status >= http.StatusInternalServerError && !slices.Contains(probes, c.Path()) {
		level = klog.V(0)
	}
	fields := []any{
		"request", request.ID(c), "program", programID(c), "account", accountName(c), "method", c.Request().Method,
		"route", c.Path(), "verdict", outcome.String(), "reason", string(reason), "status", status, "seconds", took.Seconds(),
	}
	if detail != "" {
		fields = append(fields, "detail", detail)
	}
	level.InfoS("Request ended", fields...)
}

// programID returns the id of the request's program, or "" for what does not have the form of one.
func programID(c *echo.Context) string {
	for _, id := range []string{
		c.Response().Header().Get(commands.HeaderProgram), c.Request().Header.Get(commands.HeaderProgram), c.Param("id"),
	} {
		if isProgramID(id) {
			return id
		}
	}
	return ""
}

// isProgramID reports whether id has the form of a program id: a data centre and a UUID.
func isProgramID(id string) bool {
	if id == "" {
		return false
	}
	dc, err := program.HomeDataCentre(id)
	return err == nil && len(dc) <= maxDataCentreName
}

// maxDataCentreName bounds the name of a data centre in a logged id, in bytes.
const maxDataCentreName = 64

func accountName(c *echo.Context) string {
	a := request.Account(c)
	if a == nil {
		return ""
	}
	return request.QuotaName(a.Team, a.Name)
}
