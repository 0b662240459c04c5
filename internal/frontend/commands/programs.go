package commands

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	"github.com/berylpond/berylpond/internal/document"
	"github.com/berylpond/berylpond/internal/frontend/request"
	"github.com/berylpond/berylpond/internal/program"
	"github.com/berylpond/berylpond/internal/verdict"
)

// createRequest is the body of POST /v1/programs. All fields are optional.
type createRequest struct {
	Budget struct {
		Tokens  int64 `json:"tokens"`
		Calls   int64 `json:"calls"`
		Seconds int64 `json:"seconds"`
	} `json:"budget"`
	// Deadline is in RFC 3339 format.
	Deadline *time.Time `json:"deadline"`
	Parent   string     `json:"parent"`
}

// CreateProgram serves POST /v1/programs.
func (h *Handlers) CreateProgram(c *echo.Context) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	var r createRequest
	if len(body) > 0 {
		if err := json.Unmarshal(body, &r); err != nil {
			return verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "body is not a program request: %v", err)
		}
	}
	account := request.Account(c)
	limits, refused := h.limits(account.Team, &r)
	if refused != nil {
		return refused
	}
	id := program.NewID(h.dataCentre)
	if r.Parent != "" {
		if id, err = program.NewChildID(r.Parent); err != nil {
			return verdict.Refuse(http.StatusBadRequest, verdict.ReasonUnknownProgram, 0, "parent: %v", err)
		}
	}
	p, err := h.router.CreateProgram(c.Request().Context(), &peerv1.CreateProgramRequest{
		Account: account, Program: id, Parent: r.Parent, BudgetTokens: limits.Tokens,
		BudgetCalls: limits.Calls, DeadlineUnixMs: deadline(&r, limits).UnixMilli(),
	})
	if err != nil {
		return withCause(c.Request().Context(), err)
	}
	c.Response().Header().Set(HeaderProgram, p.Id)
	c.Response().Header().Set(HeaderHead, p.Head)
	return c.JSON(http.StatusCreated, request.NewProgram(p))
}

// limits returns the requested budget, with the team's defaults for missing values. It refuses values above the team's
// maximum.
func (h *Handlers) limits(team string, r *createRequest) (document.Limits, *verdict.Error) {
	b := h.snapshot().Document(team).Budget
	l := b.Default
	requested := document.Limits{Tokens: r.Budget.Tokens, Calls: r.Budget.Calls, Time: time.Duration(r.Budget.Seconds) * time.Second}
	if requested.Tokens < 0 || requested.Calls < 0 || requested.Time < 0 {
		return l, verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "budget: values must not be negative")
	}
	if requested.Tokens > b.Maximum.Tokens || requested.Calls > b.Maximum.Calls || requested.Time > b.Maximum.Time {
		return l, verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0,
			"budget: the team allows at most %d tokens, %d calls and %s", b.Maximum.Tokens, b.Maximum.Calls, b.Maximum.Time)
	}
	if requested.Tokens > 0 {
		l.Tokens = requested.Tokens
	}
	if requested.Calls > 0 {
		l.Calls = requested.Calls
	}
	if requested.Time > 0 {
		l.Time = requested.Time
	}
	return l, nil
}

// deadline returns the earlier of the requested deadline and the end of the budget's time.
func deadline(r *createRequest, l document.Limits) time.Time {
	d := time.Now().Add(l.Time)
	if r.Deadline != nil && r.Deadline.Before(d) {
		return *r.Deadline
	}
	return d
}

// EndProgram serves DELETE /v1/programs/:id.
func (h *Handlers) EndProgram(c *echo.Context) error {
	p, err := h.router.EndProgram(c.Request().Context(), &peerv1.ProgramRequest{Account: request.Account(c), Program: c.Param("id")})
	if err != nil {
		return withCause(c.Request().Context(), err)
	}
	return c.JSON(http.StatusOK, request.NewProgram(p))
}
