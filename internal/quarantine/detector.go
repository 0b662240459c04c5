package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/backendpath"
)

const (
	// verifyTimeout bounds the connection that shows whether a server has crashed.
	verifyTimeout = 700 * time.Millisecond
	// crashMemory is how long runs that are broken off late are charged to a crash that is known.
	crashMemory = 5 * time.Second
)

// ProbeFunc tries to connect to a backend server.
type ProbeFunc func(ctx context.Context, address string) error

// Run is one run of a request at a backend server.
type Run struct {
	Server
	// Address is IP:PORT.
	Address string
	Sent    time.Time
}

// brokenRun is a run that was broken off.
type brokenRun struct {
	id   Identity
	sent time.Time
}

// detector tells crashes of servers from broken connections: a server that has crashed refuses new ones. Servers that leave as
// announced end their connections too, and are left out.
type detector struct {
	ctx       context.Context
	probe     ProbeFunc
	inService func(Server) bool
	onCrash   func(s Server, at time.Time, runs []brokenRun)

	mu sync.Mutex
	// pending holds the broken runs of the servers that are being tried, crashed the time of known crashes.
	pending map[Server][]brokenRun
	crashed map[Server]time.Time
}

func newDetector(ctx context.Context, probe ProbeFunc, inService func(Server) bool,
	onCrash func(Server, time.Time, []brokenRun)) *detector {
	return &detector{
		ctx: ctx, probe: probe, inService: inService, onCrash: onCrash,
		pending: map[Server][]brokenRun{}, crashed: map[Server]time.Time{},
	}
}

func (d *detector) brokenOff(id Identity, r Run, now time.Time) {
	run := brokenRun{id: id, sent: r.Sent}
	d.mu.Lock()
	at, known := d.crashed[r.Server]
	if known && now.Sub(at) < crashMemory {
		d.mu.Unlock()
		d.onCrash(r.Server, at, []brokenRun{run})
		return
	}
	defer d.mu.Unlock()
	runs, tried := d.pending[r.Server]
	if !tried && !d.inService(r.Server) {
		return
	}
	d.pending[r.Server] = append(runs, run)
	if !tried {
		go d.verify(r.Server, r.Address, now)
	}
}

// verify finds out whether a server has crashed, and reports the broken runs if it has.
func (d *detector) verify(s Server, address string, at time.Time) {
	ctx, cancel := context.WithTimeout(d.ctx, verifyTimeout)
	defer cancel()
	err := d.probe(ctx, address)
	crashed := errors.Is(err, backendpath.ErrServerDown)
	if err != nil && !crashed {
		klog.V(1).InfoS("backend server can't be reached, which is not known to be its crash", "backend", s.ID, "cause", err.Error())
	}
	d.mu.Lock()
	runs := d.pending[s]
	delete(d.pending, s)
	if crashed {
		d.remember(s, at)
	}
	d.mu.Unlock()
	if crashed {
		klog.InfoS("backend server crashed", "backend", s.ID, "born", s.Incarnation, "address", address, "broken_off", len(runs))
		d.onCrash(s, at, runs)
	}
}

// remember records a crash and forgets old ones. d.mu must be held.
func (d *detector) remember(s Server, at time.Time) {
	for other, t := range d.crashed {
		if at.Sub(t) > crashMemory {
			delete(d.crashed, other)
		}
	}
	d.crashed[s] = at
}
