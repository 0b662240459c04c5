// Package queries contains the handlers of the callers' requests that only read.
package queries

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v5"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	"github.com/berylpond/berylpond/internal/config"
	"github.com/berylpond/berylpond/internal/frontend/request"
)

// Programs reads programs from the instances that own them.
type Programs interface {
	GetProgram(ctx context.Context, req *peerv1.ProgramRequest) (*peerv1.Program, error)
}

// Handlers contains the HTTP handlers of the queries.
type Handlers struct {
	programs Programs
	snapshot func() *config.Snapshot
	ready    func() error
}

// New returns the handlers. ready returns an error if the instance should not receive requests.
func New(programs Programs, snapshot func() *config.Snapshot, ready func() error) *Handlers {
	return &Handlers{programs: programs, snapshot: snapshot, ready: ready}
}

// modelList is the response to GET /v1/models, as defined by the OpenAI models API.
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

// status is the response to the health checks.
type status struct {
	Status string `json:"status"`
	Detail string `json:"detail,omitempty"`
}

// Health serves GET /healthz, the liveness probe.
func (h *Handlers) Health(c *echo.Context) error { return c.JSON(http.StatusOK, status{Status: "ok"}) }

// Ready serves GET /readyz, the readiness probe.
func (h *Handlers) Ready(c *echo.Context) error {
	if err := h.ready(); err != nil {
		return c.JSON(http.StatusServiceUnavailable, status{Status: "not ready", Detail: err.Error()})
	}
	return c.JSON(http.StatusOK, status{Status: "ready"})
}
