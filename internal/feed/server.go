// Package feed passes what instances read from the store on to other instances, so that the calls to the store do not
// grow with the fleet: the instances that own partitions read it, the others ask one of those.
package feed

import (
	"context"
	"sync"
	"time"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/routing"
)

// maxHold bounds how long a question is held while nothing changes.
const maxHold = time.Second

// View is what an instance knows of the platform.
type View struct {
	Configuration func() *routing.Configuration
	Backends      func() []fleet.Entry
	Owners        func() map[int]string
	// Age is how long ago the store confirmed the oldest part; it reports false if the instance does not read the store
	// itself.
	Age func() (time.Duration, bool)
	// Silence is the time since the store last answered the instance on any call.
	Silence func() time.Duration
}

// Server answers other instances.
type Server struct {
	view  View
	start string

	mu       sync.Mutex
	revision int64
	changed  chan struct{}
}

// NewServer returns a server; start is unique for each start of the process.
func NewServer(start string, v View) *Server {
	return &Server{view: v, start: start, changed: make(chan struct{})}
}

// Changed tells the server that a part of the view has changed.
func (s *Server) Changed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot answers one question, at once if the caller lacks something and otherwise once something changes or the
// caller's wait is over.
func (s *Server) Snapshot(ctx context.Context, r *turnv1.SnapshotRequest) *turnv1.SnapshotResponse {
	s.hold(ctx, r)
	s.mu.Lock()
	revision := s.revision
	s.mu.Unlock()
	age, direct := s.view.Age()
	resp := &turnv1.SnapshotResponse{
		Start: s.start, Revision: revision, Direct: direct, AgeMs: age.Milliseconds(), SilenceMs: s.view.Silence().Milliseconds(),
	}
	if c := s.view.Configuration(); c != nil && c.Version > r.ConfigurationVersion {
		resp.Configuration = c.Raw
	}
	if r.Start == s.start && r.Revision == revision {
		return resp
	}
	resp.Changed = true
	for _, e := range s.view.Backends() {
		resp.Backends = append(resp.Backends, &turnv1.Backend{
			Id: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre, Slots: int32(e.Slots),
			Draining: e.Draining, Incarnation: e.Incarnation,
		})
	}
	for p, a := range s.view.Owners() {
		resp.Owners = append(resp.Owners, &turnv1.Owner{Partition: int32(p), Instance: a})
	}
	return resp
}

func (s *Server) hold(ctx context.Context, r *turnv1.SnapshotRequest) {
	s.mu.Lock()
	changed := s.changed
	current := r.Start == s.start && r.Revision == s.revision
	s.mu.Unlock()
	if !current || r.WaitMs <= 0 {
		return
	}
	t := time.NewTimer(min(time.Duration(r.WaitMs)*time.Millisecond, maxHold))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}
