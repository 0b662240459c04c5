// Package backends resolves the pools in the teams' configuration documents to the backend servers of one data centre.
package backends

import (
	"slices"
	"sync"

	"github.com/berylpond/berylpond/internal/config"
	"github.com/berylpond/berylpond/internal/document"
	"github.com/berylpond/berylpond/internal/platformclient"
)

// Backend is one backend server of a pool.
type Backend struct {
	Address string
	Team    string
	// Name is the model or service that the backend server provides.
	Name    string
	IsModel bool
	// ChecksFencing is set if the backend server rejects orders with a stale fencing token.
	ChecksFencing bool
	// Draining is set if an operator has drained the backend server or the platform lists it as leaving; it gets no new
	// work.
	Draining bool
}

// Directory lists the backend servers of one data centre. It is safe for concurrent use.
type Directory struct {
	dc string

	mu   sync.Mutex
	snap *config.Snapshot
	list []platformclient.Instance
}

// New returns an empty directory for one data centre.
func New(dc string) *Directory { return &Directory{dc: dc} }

// SetSnapshot replaces the configuration.
func (d *Directory) SetSnapshot(s *config.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.snap = s
}

// SetInstances replaces the platform's list of instances, which may be out of date. While the platform is unavailable
// the last list stays in use.
func (d *Directory) SetInstances(list []platformclient.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = list
}

// ServiceAddresses returns the addresses of a service's backend servers that accept new work.
func (d *Directory) ServiceAddresses(team, name string) []string {
	var out []string
	for _, b := range d.All() {
		if !b.IsModel && !b.Draining && b.Team == team && b.Name == name {
			out = append(out, b.Address)
		}
	}
	return out
}

// ChecksFencing reports whether the engine rejects orders with a stale fencing token. An engine that belongs to several
// pools must be configured to do so in each.
func (d *Directory) ChecksFencing(addr string) bool {
	found := false
	for _, b := range d.All() {
		if b.Address != addr {
			continue
		}
		if !b.ChecksFencing {
			return false
		}
		found = true
	}
	return found
}

// All returns all backend servers of the data centre.
func (d *Directory) All() []Backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.snap == nil {
		return nil
	}
	var out []Backend
	for _, team := range d.snap.Teams() {
		doc := d.snap.Document(team)
		for _, m := range doc.Models {
			out = d.appendPools(out, Backend{Team: team, Name: m.Name, IsModel: true}, m.Pools)
		}
		for _, s := range doc.Services {
			out = d.appendPools(out, Backend{Team: team, Name: s.Name}, s.Pools)
		}
	}
	return out
}

// appendPools appends the backend servers of the pools in this data centre. d.mu must be held.
func (d *Directory) appendPools(out []Backend, b Backend, pools []document.Pool) []Backend {
	for _, p := range pools {
		if p.DataCentre != d.dc {
			continue
		}
		for _, addr := range d.addresses(p) {
			b.Address = addr
			b.Draining = d.isDraining(addr)
			b.ChecksFencing = p.ChecksFencing
			out = append(out, b)
		}
	}
	return out
}

// addresses returns the addresses of the pool's members. d.mu must be held.
func (d *Directory) addresses(p document.Pool) []string {
	if !p.FromList {
		return p.Backends
	}
	var out []string
	for _, in := range d.list {
		if in.Pool == p.Name && in.DataCentre == d.dc && in.Kind != platformclient.KindGateway {
			out = append(out, in.Address)
		}
	}
	slices.Sort(out)
	return out
}

// isDraining reports whether an operator has drained the backend server or the platform lists it as leaving. d.mu must
// be held.
func (d *Directory) isDraining(addr string) bool {
	if d.snap.IsDrained(addr) {
		return true
	}
	return slices.ContainsFunc(d.list, func(in platformclient.Instance) bool {
		return in.Address == addr && in.State == platformclient.StateLeaving
	})
}
