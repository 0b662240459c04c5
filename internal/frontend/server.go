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
	// maxBodyBytes is the maximum size of any request body; routes may set a lower limit.
	maxBodyBytes = 8 << 20
	// retryDraining is the retry delay sent to callers while the instance is draining. By then the load balancer sends
	// the caller to another instance.
	retryDraining = time.Second
	// readHeaderTimeout limits the time for reading the header of a request.
	readHeaderTimeout = 10 * time.Second
)

// Server is the HTTP server for callers. Create it with New.
type Server struct {
	echo     *echo.Echo
	metrics  *metrics
	draining func() bool
	http     *http.Server
	// lastArrival is when the last request arrived, in Unix nanoseconds.
	lastArrival atomic.Int64
}

// Deps holds the dependencies of a Server.
type Deps struct {
	Auth     *request.Authenticator
	Commands *commands.Handlers
	Queries  *queries.Handlers
	Registry *prometheus.Registry
	// Draining reports whether a graceful shutdown has started.
	Draining func() bool
}

// New returns a server that is not listening yet.
func New(d Deps) *Server {
	s := &Server{echo: echo.New(), metrics: newMetrics(), draining: d.Draining}
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

	// All other paths are looked up among the routes of the teams' documents, some of which need no key.
	e.Any("/*", d.Commands.Service, d.Auth.Optional, s.refuseDraining)
}

// refuseDraining refuses requests once a graceful shutdown has started.
func (s *Server) refuseDraining(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		if s.draining() {
			return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonShuttingDown, retryDraining, "this instance is shutting down")
		}
		return next(c)
	}
}

// requestID generates an id for each request and sets it in the response header.
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

// recoverPanic converts a panic to an error. The verdict is MayHaveRun, since the request may have had effects before
// it.
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

// panicText describes a panic without quoting the request: the text of a runtime error, otherwise the type of the
// value.
func panicText(p any) string {
	if err, ok := p.(runtime.Error); ok {
		return err.Error()
	}
	return fmt.Sprintf("%T", p)
}

// observe records metrics and the access log of each request.
func (s *Server) observe(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		start := time.Now()
		s.lastArrival.Store(start.UnixNano())
		s.metrics.inFlight.Inc()
		defer s.metrics.inFlight.Dec()
		err := next(c)
		duration := time.Since(start)
		s.metrics.duration.WithLabelValues(c.Path()).Observe(duration.Seconds())
		logAccess(c, err, duration)
		return err
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// Serve accepts callers on l until Shutdown is called.
func (s *Server) Serve(l net.Listener) error {
	s.http = &http.Server{Handler: s.echo, ReadHeaderTimeout: readHeaderTimeout}
	if err := s.http.Serve(l); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// AwaitNoArrivals returns once no request has arrived for the given time, or when ctx is done. It is called before the
// listener is closed, while requests still get a response, a refusal. A connection that has not been accepted when the
// listener closes gets none.
func (s *Server) AwaitNoArrivals(ctx context.Context, quiet time.Duration) {
	for {
		remaining := time.Until(time.Unix(0, s.lastArrival.Load()).Add(quiet))
		if remaining <= 0 {
			return
		}
		select {
		case <-time.After(remaining):
		case <-ctx.Done():
			return
		}
	}
}

// Shutdown waits for requests in progress. When ctx is done, it closes the remaining connections.
func (s *Server) Shutdown(ctx context.Context) error {
	if s.http == nil {
		return nil
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return s.http.Close()
	}
	return nil
}
