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

// accessLogVerbosity is the verbosity at which every request is logged. Below it only requests that failed with a
// status of 500 or above are logged.
const accessLogVerbosity = 1

// probes are the routes of load balancers and monitoring. A status of 503 there is a valid result, not a failure.
var probes = []string{"/healthz", "/readyz", "/metrics"}

// logAccess writes the access log line of a finished request. The line does not contain the key, the path, the query,
// the body or the response, since these may contain secrets or message text. The detail of an error may quote the
// request, so it is logged only for a status of 500 or above.
func logAccess(c *echo.Context, err error, duration time.Duration) {
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
	level := klog.V(accessLogVerbosity)
	if status >= http.StatusInternalServerError && !slices.Contains(probes, c.Path()) {
		level = klog.V(0)
	}
	fields := []any{
		"request", request.ID(c), "program", programID(c), "account", accountName(c), "method", c.Request().Method,
		"route", c.Path(), "verdict", outcome.String(), "reason", string(reason), "status", status, "seconds", duration.Seconds(),
	}
	if detail != "" {
		fields = append(fields, "detail", detail)
	}
	level.InfoS("Request ended", fields...)
}

// programID returns the id of the request's program, or "" if there is no well-formed id.
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

// isProgramID reports whether id is a well-formed program id, with a data centre and a UUID.
func isProgramID(id string) bool {
	if id == "" {
		return false
	}
	dc, err := program.HomeDataCentre(id)
	return err == nil && len(dc) <= maxDataCentreName
}

// maxDataCentreName is the maximum length of the data centre name in a logged id, in bytes.
const maxDataCentreName = 64

func accountName(c *echo.Context) string {
	a := request.Account(c)
	if a == nil {
		return ""
	}
	return request.QuotaName(a.Team, a.Name)
}
