package site

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/berylpond/berylpond/internal/settings"
)

// Instance is one daemon of the site.
type Instance struct {
	ID         string
	DataCentre string

	set     settings.Settings
	process atomic.Pointer[Process]
	callers atomic.Pointer[string]
	peers   atomic.Pointer[string]
	// incarnations holds all processes of the daemon in the order of their starts; the last one may be running.
	incarnations []*Process
}

// CallerAddress returns the address that callers connect to.
func (in *Instance) CallerAddress() string { return *in.callers.Load() }

// Process returns the running process, or the last one.
func (in *Instance) Process() *Process { return in.process.Load() }

// servingLine is the line in the daemon's log that has its bound addresses.
type servingLine struct {
	Msg     string `json:"msg"`
	Callers string `json:"callers"`
	Peers   string `json:"bound_peers"`
}

// StartInstance starts or restarts the daemon and registers it in the instance list. A restarted daemon binds the
// addresses of its first incarnation.
func (s *Site) StartInstance(ctx context.Context, in *Instance) error {
	if len(in.incarnations) > 0 {
		in.set.Listen.Callers, in.set.Listen.Peers = *in.callers.Load(), *in.peers.Load()
	}
	raw, err := toml.Marshal(in.set)
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, in.ID+".toml")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	name := fmt.Sprintf("%s.%d", in.ID, len(in.incarnations))
	p, err := start(s.dir, name, nil, filepath.Join(s.bin, daemonBinary), "run", "--settings", path)
	if err != nil {
		return err
	}
	in.process.Store(p)
	in.incarnations = append(in.incarnations, p)
	err = waitFor(ctx, "addresses of "+name, func() bool { return !p.Running() || in.readAddresses(p) })
	if err == nil && !p.Running() {
		err = errors.Newf("%s exited during startup; see its log %s", name, p.log)
	}
	if err != nil {
		return err
	}
	return s.InstanceList.Call(ctx, http.MethodPut, "/v1/instances/"+in.ID, listEntry{
		ID: in.ID, Kind: "entry", DataCentre: in.DataCentre, Address: *in.peers.Load(), State: "live",
	}, nil)
}

// listEntry is an entry in the platform's instance list.
type listEntry struct {
	ID         string `json:"id"`
	Kind       string `json:"kind"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	State      string `json:"state"`
}

func (in *Instance) readAddresses(p *Process) bool {
	log, err := os.ReadFile(p.log)
	if err != nil {
		return false
	}
	sc := bufio.NewScanner(bytes.NewReader(log))
	for sc.Scan() {
		var l servingLine
		if json.Unmarshal(sc.Bytes(), &l) == nil && l.Msg == "Serving" {
			in.callers.Store(&l.Callers)
			in.peers.Store(&l.Peers)
			return true
		}
	}
	return false
}

// AwaitReady waits until the daemon is ready for traffic.
func (in *Instance) AwaitReady(ctx context.Context) error {
	return waitFor(ctx, in.ID+" to be ready", func() bool {
		resp, err := http.Get("http://" + in.CallerAddress() + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func waitFor(ctx context.Context, what string, ok func() bool) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if ok() {
			return nil
		}
	}
	return errors.Newf("waiting for %s: timed out after %s", what, startTimeout)
}
