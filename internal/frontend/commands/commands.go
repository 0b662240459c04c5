// Package commands contains the handlers of the callers' requests that change state.
package commands

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v5"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	"github.com/berylpond/berylpond/internal/config"
	"github.com/berylpond/berylpond/internal/executor"
	"github.com/berylpond/berylpond/internal/verdict"
)

// Headers of requests and responses.
const (
	// HeaderProgram is the id of the program that a call belongs to.
	HeaderProgram = "Berylpond-Program"
	// HeaderHead is, in a request, the head that the call follows and, in a response, the new head.
	HeaderHead = "Berylpond-Head"
	// HeaderIdempotencyKey identifies a call that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is set on a response that is the recorded result of an earlier call.
	HeaderReplayed = "Berylpond-Replayed"
	// HeaderVerdict states in an error response whether the request may have run.
	HeaderVerdict = "Berylpond-Verdict"
)

// maxIdempotencyKey is the maximum length of an idempotency key, in bytes.
const maxIdempotencyKey = 256

// Router sends each call to the instance that must run it.
type Router interface {
	Call(ctx context.Context, req *peerv1.CallRequest, emit executor.EmitFunc) error
	CreateProgram(ctx context.Context, req *peerv1.CreateProgramRequest) (*peerv1.Program, error)
	EndProgram(ctx context.Context, req *peerv1.ProgramRequest) (*peerv1.Program, error)
}

// Handlers contains the HTTP handlers of the commands.
type Handlers struct {
	router     Router
	snapshot   func() *config.Snapshot
	dataCentre string
}

// New returns the handlers of an instance in the given data centre.
func New(router Router, snapshot func() *config.Snapshot, dataCentre string) *Handlers {
	return &Handlers{router: router, snapshot: snapshot, dataCentre: dataCentre}
}

// readBody reads the complete body, up to the size limit of the server.
func readBody(c *echo.Context) ([]byte, error) {
	b, err := io.ReadAll(c.Request().Body)
	if err == nil {
		return b, nil
	}
	var coder echo.HTTPStatusCoder
	if errors.As(err, &coder) {
		return nil, err
	}
	return nil, verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "the body could not be read whole")
}

func idempotencyKey(c *echo.Context) (string, error) {
	key := c.Request().Header.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKey {
		return "", verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0,
			"%s is longer than %d bytes", HeaderIdempotencyKey, maxIdempotencyKey)
	}
	return key, nil
}
