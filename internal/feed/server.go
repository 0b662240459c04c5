// Package feed distributes what some instances read from the store to the others, so that the load on the store does
// not grow with the number of instances. The instances that own partitions read the store, and the others poll one of
// these.
package feed

import (
	"context"
	"sync"
	"time"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/routing"
)

// maxPollWait bounds how long the response to a poll is delayed while nothing changes.
const maxPollWait = time.Second

// View gives access to what an instance has read from the store.
type View struct {
	Configuration func() *routing.Configuration
	Backends      func() []fleet.Entry
	Owners        func() map[int]string
	// Evacuated returns the evacuated data centres, and the offset in the operator's topic up to which they are current.
	Evacuated func() (dataCentres []string, offset int64)
	// Age returns how long ago the store confirmed the part of the view that was confirmed least recently. It reports
	// false if the instance does not read the store itself.
	Age func() (time.Duration, bool)
	// SinceContact returns the time since the store last responded to any call of the instance.
	SinceContact func() time.Duration
}

// Server responds to the polls of other instances.
type Server struct {
	view  View
	start string

	mu       sync.Mutex
	revision int64
	changed  chan struct{}
}

// NewServer returns a server. start identifies this start of the process and must be unique.
func NewServer(start string, v View) *Server {
	return &Server{view: v, start: start, changed: make(chan struct{})}
}

// NotifyChanged notifies the server that the view has changed.
func (s *Server) NotifyChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot responds to a poll: immediately if the caller's view is not current, otherwise once the view changes or the
// caller's wait time has passed.
func (s *Server) Snapshot(ctx context.Context, r *turnv1.SnapshotRequest) *turnv1.SnapshotResponse {
	s.waitForChange(ctx, r)
	s.mu.Lock()
	revision := s.revision
	s.mu.Unlock()
	age, direct := s.view.Age()
	resp := &turnv1.SnapshotResponse{
		Start: s.start, Revision: revision, Direct: direct, AgeMs: age.Milliseconds(), SilenceMs: s.view.SinceContact().Milliseconds(),
	}
	evacuated, offset := s.view.Evacuated()
	resp.OperatorOffset = offset
	if c := s.view.Configuration(); c != nil && c.Version > r.ConfigurationVersion {
		resp.Configuration = c.Raw
	}
	if r.Start == s.start && r.Revision == revision {
		return resp
	}
	resp.Changed = true
	resp.Evacuated = evacuated
	for _, e := range s.view.Backends() {
		resp.Backends = append(resp.Backends, &turnv1.Backend{
			Id: e.ID, Service: e.Service, Address: e.Address, DataCentre: e.DataCentre, Slots: int32(e.Slots),
			Draining: e.Draining, Incarnation: e.Incarnation, ColdMs: e.Cold.Left.Milliseconds(), ColdKnown: e.Cold.Known,
			ColdAgeMs: time.Since(e.Cold.AsOf).Milliseconds(),
		})
	}
	for p, a := range s.view.Owners() {
		resp.Owners = append(resp.Owners, &turnv1.Owner{Partition: int32(p), Instance: a})
	}
	return resp
}

func (s *Server) waitForChange(ctx context.Context, r *turnv1.SnapshotRequest) {
	s.mu.Lock()
	changed := s.changed
	current := r.Start == s.start && r.Revision == s.revision
	s.mu.Unlock()
	if !current || r.WaitMs <= 0 {
		return
	}
	t := time.NewTimer(min(time.Duration(r.WaitMs)*time.Millisecond, maxPollWait))
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-ctx.Done():
	}
}
