// Package queries holds the callers' requests that only read.
package queries

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v5"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	"github.com/berylpond/berylpond/internal/config"
	"github.com/berylpond/berylpond/internal/frontend/request"
)

// Programs reads programs wherever they are.
type Programs interface {
	GetProgram(ctx context.Context, req *peerv1.ProgramRequest) (*peerv1.Program, error)
}

// Handlers serves the queries.
type Handlers struct {
	programs Programs
	snapshot func() *config.Snapshot
	ready    func() error
}

// New returns the handlers. ready tells why the instance should get no traffic yet, or nil.
func New(programs Programs, snapshot func() *config.Snapshot, ready func() error) *Handlers {
	return &Handlers{programs: programs, snapshot: snapshot, ready: ready}
}

// modelList is the answer of GET /v1/models. Source: the OpenAI models interface.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// Models serves GET /v1/models.
func (h *Handlers) Models(c *echo.Context) error {
	team := request.Account(c).Team
	list := modelList{Object: "list", Data: []model{}}
	for _, m := range h.snapshot().Models(team) {
		list.Data = append(list.Data, model{ID: m.Name, Object: "model", OwnedBy: team})
	}
	return c.JSON(http.StatusOK, list)
}

// Program serves GET /v1/programs/:id.
func (h *Handlers) Program(c *echo.Context) error {
	p, err := h.programs.GetProgram(c.Request().Context(), &peerv1.ProgramRequest{Account: request.Account(c), Program: c.Param("id")})
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, request.NewProgram(p))
}

// status is the answer of the health checks.
type status struct {
	Status string `json:"status"`
	Detail string `json:"detail,omitempty"`
}

// Health serves GET /healthz: the process answers.
func (h *Handlers) Health(c *echo.Context) error { return c.JSON(http.StatusOK, status{Status: "ok"}) }

// Ready serves GET /readyz: the instance should get traffic.
func (h *Handlers) Ready(c *echo.Context) error {
	if err := h.ready(); err != nil {
		return c.JSON(http.StatusServiceUnavailable, status{Status: "not ready", Detail: err.Error()})
	}
	return c.JSON(http.StatusOK, status{Status: "ready"})
}
