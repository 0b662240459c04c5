// Package tunnel carries connections to backend servers through another instance, for instances that have lost their own
// way to the servers. Requests, deadlines and verdicts stay with the instance that opens the tunnel; the other one copies
// bytes.
package tunnel

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/backendpath"
	"github.com/berylpond/berylpond/internal/connreset"
)

// chunkBytes is the largest number of bytes in one message.
const chunkBytes = 16 << 10

// Servers is what an instance knows of the backend servers.
type Servers interface {
	// AcceptsNew reports whether a registered server has the address and may be sent new requests.
	AcceptsNew(address string) bool
	// MarkLeavingID records that an incarnation of a server has announced that it is leaving, and reports whether that is new.
	MarkLeavingID(id string, incarnation int64) bool
}

// Server serves the gRPC service Tunnels.
type Server struct {
	turnv1.UnimplementedTunnelsServer
	// dial connects to a backend server directly. An error that is backendpath.ErrLost means that no server can be reached.
	dial    backendpath.DialFunc
	servers Servers
	// draining reports whether the instance is shutting down.
	draining func() bool

	mu   sync.Mutex
	open int
	// closed, if not nil, is closed when the last tunnel ends.
	closed chan struct{}
}

// NewServer returns a server that connects with dial to servers that accept new requests, until the instance drains.
func NewServer(dial backendpath.DialFunc, servers Servers, draining func() bool) *Server {
	return &Server{dial: dial, servers: servers, draining: draining}
}

// Wait waits until every tunnel is closed or the context ends. It must be called once, while the instance is draining.
func (s *Server) Wait(ctx context.Context) {
	s.mu.Lock()
	s.closed = make(chan struct{})
	if s.open == 0 {
		close(s.closed)
	}
	s.mu.Unlock()
	select {
	case <-s.closed:
	case <-ctx.Done():
		klog.InfoS("tunnels of other instances are still open at the end of the grace period")
	}
}

// begin counts a tunnel until end. It returns false if the instance is draining.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining() {
		return false
	}
	s.open++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	if s.open == 0 && s.closed != nil {
		close(s.closed)
	}
}

// Open implements turnv1.TunnelsServer.
func (s *Server) Open(stream turnv1.Tunnels_OpenServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if !s.begin() {
		return status.Error(codes.Unavailable, "the instance is shutting down")
	}
	defer s.end()
	if !s.servers.AcceptsNew(first.Address) {
		return status.Errorf(codes.FailedPrecondition, "no backend server at %s accepts new requests", first.Address)
	}
	c, err := s.dial(stream.Context(), first.Address)
	if errors.Is(err, backendpath.ErrLost) {
		return status.Error(codes.Unavailable, err.Error())
	}
	if err != nil {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	c = connreset.Guard(c)
	defer c.Close()
	if err := stream.Send(&turnv1.TunnelResponse{}); err != nil {
		return err
	}
	go copyToServer(c, stream)
	return copyFromServer(stream, c)
}

// ReportLeaving implements turnv1.TunnelsServer.
func (s *Server) ReportLeaving(_ context.Context, r *turnv1.LeavingServer) (*turnv1.ReportLeavingResponse, error) {
	if s.servers.MarkLeavingID(r.Id, r.Incarnation) {
		klog.InfoS("backend server announced that it is leaving", "backend", r.Id, "born", r.Incarnation, "learned_from",
			"tunnel")
	}
	return &turnv1.ReportLeavingResponse{}, nil
}

// copyToServer closes the connection once the other instance closes the tunnel, so that the server notices.
func copyToServer(c net.Conn, stream turnv1.Tunnels_OpenServer) {
	defer c.Close()
	for {
		m, err := stream.Recv()
		if err != nil {
			return
		}
		if _, err := c.Write(m.Data); err != nil {
			klog.V(1).InfoS("writing to a backend server for another instance failed", "cause", err.Error())
			return
		}
	}
}

// copyFromServer returns nil only if the server has closed the connection in order.
func copyFromServer(stream turnv1.Tunnels_OpenServer, c net.Conn) error {
	buf := make([]byte, chunkBytes)
	for {
		n, err := c.Read(buf)
		if n > 0 {
			if err := stream.Send(&turnv1.TunnelResponse{Data: buf[:n]}); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return status.Error(codes.Aborted, err.Error())
		}
	}
}
