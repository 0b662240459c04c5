package frontend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"
	"github.com/labstack/echo/v5/middleware"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/frontend/commands"
	"github.com/berylpond/berylpond/internal/frontend/queries"
	"github.com/berylpond/berylpond/internal/frontend/request"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	// maxBodyBytes bounds every request body; routes may set less.
	maxBodyBytes = 8 << 20
	// retryDraining is the time after which another instance serves a caller that this one refuses.
	retryDraining = time.Second
	// readHeaderTimeout bounds the time in which a caller sends its header.
	readHeaderTimeout = 10 * time.Second
)

// Server serves callers. Create it with New.
type Server struct {
	echo    *echo.Echo
	metrics *metrics
	drain   func() bool
	http    *http.Server
	// lastArrival is when the last request came, in nanoseconds since 1970.
	lastArrival atomic.Int64
}

// Deps holds what a Server works with.
type Deps struct {
	Auth     *request.Authenticator
	Commands *commands.Handlers
	Queries  *queries.Handlers
	Registry *prometheus.Registry
	// Draining reports whether a graceful shutdown has begun.
	Draining func() bool
}

// New returns a server that is not listening yet.
func New(d Deps) *Server {
	s := &Server{echo: echo.New(), metrics: newMetrics(), drain: d.Draining}
	d.Registry.MustRegister(s.metrics.collectors()...)
	s.echo.HTTPErrorHandler = s.handleError
	s.echo.Use(requestID, s.observe, recoverPanic, middleware.BodyLimit(maxBodyBytes))
	s.routes(d)
	return s
}

func (s *Server) routes(d Deps) {
	e := s.echo
	e.GET("/healthz", d.Queries.Health)
	e.GET("/readyz", d.Queries.Ready)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(d.Registry, promhttp.HandlerOpts{Registry: d.Registry})))

	keyed := e.Group("/v1", d.Auth.Required, s.refuseDraining)
	keyed.POST("/chat/completions", d.Commands.Chat)
	keyed.GET("/models", d.Queries.Models)
	keyed.POST("/programs", d.Commands.CreateProgram)
	keyed.GET("/programs/:id", d.Queries.Program)
	keyed.DELETE("/programs/:id", d.Commands.EndProgram)

	// Everything else is a route of a team's document, which may be open to all.
	e.Any("/*", d.Commands.Service, d.Auth.Optional, s.refuseDraining)
}

// refuseDraining refuses new work once a graceful shutdown has begun.
func (s *Server) refuseDraining(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		if s.drain() {
			return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonShuttingDown, retryDraining, "this instance is shutting down")
		}
		return next(c)
	}
}

// requestID gives each request an id of our own, which the answer repeats.
func requestID(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		id := uuid.NewString()
		c.Set(request.IDKey, id)
		c.Response().Header().Set(echo.HeaderXRequestID, id)
		return next(c)
	}
}

// RequestID returns the id of the request.
func RequestID(c *echo.Context) string { return request.ID(c) }

// recoverPanic turns a panic into an answer; what the request did before is not known.
func recoverPanic(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) (err error) {
		defer func() {
			if p := recover(); p != nil {
				klog.ErrorS(nil, "Request panicked", "request", request.ID(c), "panic", panicText(p), "stack", string(debug.Stack()))
				err = verdict.Fail(http.StatusInternalServerError, verdict.ReasonInternal, "internal error")
			}
		}()
		return next(c)
	}
}

// panicText names a panic without what it may quote of a request: the text of errors of the Go runtime, else the type.
func panicText(p any) string {
	if err, ok := p.(runtime.Error); ok {
		return err.Error()
	}
	return fmt.Sprintf("%T", p)
}

// observe measures requests by route and logs their ends.
func (s *Server) observe(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		begun := time.Now()
		s.lastArrival.Store(begun.UnixNano())
		s.metrics.inFlight.Inc()
		defer s.metrics.inFlight.Dec()
		err := next(c)
		took := time.Since(begun)
		s.metrics.duration.WithLabelValues(c.Path()).Observe(took.Seconds())
		logAccess(c, err, took)
		return err
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Serve answers callers on l until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	s.http = &http.Server{Handler: s.echo, ReadHeaderTimeout: readHeaderTimeout}
	if err := s.http.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// AwaitQuiet returns once no request has come for the given time, or when ctx ends. Until then requests are refused with an
// answer; a connection that is still waiting to be accepted when the listener closes would get none.
func (s *Server) AwaitQuiet(ctx context.Context, quiet time.Duration) {
	for {
		rest := time.Until(time.Unix(0, s.lastArrival.Load()).Add(quiet))
		if rest <= 0 {
			return
		}
		select {
		case <-time.After(rest):
		case <-ctx.Done():
			return
		}
	}
}

// Shutdown lets the requests under way finish until ctx ends, then closes their connections.
func (s *Server) Shutdown(ctx context.Context) error {
	if s.http == nil {
		return nil
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return s.http.Close()
	}
	return nil
}
