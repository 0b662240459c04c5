// Package dev runs a small site in one process: fake platform services and fake backend servers on loopback addresses,
// and one daemon.
package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylpond/berylpond/internal/config"
	"github.com/berylpond/berylpond/internal/daemon"
	"github.com/berylpond/berylpond/internal/document"
	"github.com/berylpond/berylpond/internal/fakes/engine"
	"github.com/berylpond/berylpond/internal/fakes/instances"
	"github.com/berylpond/berylpond/internal/fakes/logsvc"
	"github.com/berylpond/berylpond/internal/fakes/service"
	"github.com/berylpond/berylpond/internal/fakes/tool"
	"github.com/berylpond/berylpond/internal/settings"
)

const (
	dataCentre = "local"
	team       = "dev"
	engines    = 2
	// readyTimeout is the timeout of the start of the site.
	readyTimeout = 20 * time.Second
	claimWindow  = 2 * time.Second
	pollInterval = 100 * time.Millisecond
)

// Options are the addresses of the daemon; the fakes use free ports.
type Options struct {
	CallerAddress string
	PeerAddress   string
}

// Site is a running site.
type Site struct {
	// Key is the API key of the development account.
	Key           string
	CallerAddress string
	PeerAddress   string

	startedAt time.Time
	servers   []*http.Server
	closers   []func()
	daemon    *daemon.Daemon
	done      chan error
	cancel    context.CancelFunc
}

// Start starts the site and returns when it serves calls.
func Start(ctx context.Context, o Options) (*Site, error) {
	s := &Site{startedAt: time.Now(), done: make(chan error, 1)}
	set, doc, err := s.startFakes()
	if err != nil {
		return nil, err
	}
	set.Listen = settings.Listen{Callers: o.CallerAddress, Peers: o.PeerAddress}
	if s.daemon, err = daemon.New(set); err != nil {
		s.Close()
		return nil, err
	}
	s.CallerAddress, s.PeerAddress = s.daemon.CallerAddr(), s.daemon.PeerAddr()
	var run context.Context
	run, s.cancel = context.WithCancel(ctx)
	go func() { s.done <- s.daemon.Run(run) }()
	return s, s.configure(ctx, doc)
}

// startFakes starts the fake platform services and backend servers and returns the settings of the daemon and the
// document of the team.
func (s *Site) startFakes() (settings.Settings, []byte, error) {
	set := settings.Default()
	set.Instance = settings.Instance{ID: "local-0", DataCentre: dataCentre, DataCentres: []string{dataCentre}, CellSlots: 1}
	// The timings are short because there is no earlier incarnation whose claims and leases would have to expire first.
	set.Timing.Lease, set.Timing.ClockMargin = settings.Duration(time.Second), settings.Duration(100*time.Millisecond)
	set.Timing.Heartbeat, set.Timing.ClaimWindow = settings.Duration(250*time.Millisecond), settings.Duration(claimWindow)
	logAddr, err := s.serve(logsvc.New())
	if err != nil {
		return set, nil, err
	}
	listAddr, err := s.serve(instances.New())
	if err != nil {
		return set, nil, err
	}
	set.Platform.LogURL, set.Platform.InstancesURL = "http://"+logAddr, "http://"+listAddr
	doc, err := s.startBackends()
	return set, doc, err
}

func (s *Site) startBackends() ([]byte, error) {
	var addrs []string
	for range engines {
		e := engine.New()
		s.closers = append(s.closers, e.Close)
		addr, err := s.serve(e)
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	serviceAddr, err := s.serve(service.New())
	if err != nil {
		return nil, err
	}
	toolAddr, err := s.serve(tool.New())
	if err != nil {
		return nil, err
	}
	key, hashed, err := document.NewKey()
	if err != nil {
		return nil, err
	}
	s.Key = key
	return devDocument(hashed, addrs, serviceAddr, toolAddr), nil
}

func (s *Site) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "stand-in")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), nil
}

func devDocument(key document.Key, engines []string, serviceAddr, toolAddr string) []byte {
	return fmt.Appendf(nil, `team = %q
data_centres = [%q]

[[account]]
name = "developer"
rate = "50/s"
burst = 100
keys = [{ id = %q, salt = %q, hash = %q }]

[[model]]
name = "small"
[[model.pool]]
data_centre = %q
backends = [%q, %q]

[[service]]
name = "effects"
[[service.pool]]
data_centre = %q
backends = [%q]

[[service]]
name = "tools"
[[service.pool]]
data_centre = %q
backends = [%q]

[[route]]
path = "/effects/{name}"
method = "POST"
service = "effects"
repeatable = false

[[route]]
path = "/effects"
method = "GET"
service = "effects"
repeatable = true

[[route]]
path = "/tools/{name}"
method = "POST"
service = "tools"
repeatable = true
`, team, dataCentre, key.ID, key.Salt, key.Hash, dataCentre, engines[0], engines[1], dataCentre, serviceAddr, dataCentre, toolAddr)
}

// configure applies the document and waits until the site serves calls.
func (s *Site) configure(ctx context.Context, doc []byte) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var err error
	for ctx.Err() == nil {
		if _, err = s.daemon.PublishDocument(ctx, team, 0, doc); err == nil {
			return s.awaitCalls(ctx)
		}
		var conflict *config.ConflictError
		if errors.As(err, &conflict) {
			return err
		}
		time.Sleep(pollInterval)
	}
	return errors.CombineErrors(err, ctx.Err())
}

// awaitCalls waits until the site serves every kind of call. After the start the accounts have no tokens, and the cell
// abstains from votes on claims until the claim window has passed. A non-idempotent call needs both, so awaitCalls
// sends one.
func (s *Site) awaitCalls(ctx context.Context) error {
	time.Sleep(time.Until(s.startedAt.Add(claimWindow)))
	for ctx.Err() == nil {
		if s.statusOf(http.MethodGet, "/readyz") == http.StatusOK && s.statusOf(http.MethodPost, "/effects/site-start") == http.StatusOK {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.Wrap(ctx.Err(), "the site did not become ready")
}

// statusOf sends a request with the development key and returns the HTTP status of the response, or 0 on an error.
func (s *Site) statusOf(method, path string) int {
	req, err := http.NewRequest(method, "http://"+s.CallerAddress+path, strings.NewReader("{}"))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+s.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", "site-start")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Wait waits until the daemon exits and returns its error.
func (s *Site) Wait() error { return <-s.done }

// Close stops the daemon and the fakes.
func (s *Site) Close() {
	if s.cancel != nil {
		s.cancel()
		<-s.done
	}
	var closing sync.WaitGroup
	for _, srv := range s.servers {
		closing.Go(func() { _ = srv.Close() })
	}
	closing.Wait()
	for _, c := range s.closers {
		c()
	}
}

// PrintExamples writes example commands for the site.
func (s *Site) PrintExamples(w io.Writer) {
	fmt.Fprintf(w, `A small site is running. Its key is good for this run only.

  export BP=http://%s KEY=%s

  # one call
  curl -s $BP/v1/chat/completions -H "Authorization: Bearer $KEY" \
    -d '{"model":"small","max_tokens":20,"messages":[{"role":"user","content":"hello"}]}'

  # a program that remembers its conversation: create it, then call with its id and head
  curl -si $BP/v1/programs -H "Authorization: Bearer $KEY" -d '{"budget":{"tokens":20000,"calls":10}}'
  curl -sN $BP/v1/chat/completions -H "Authorization: Bearer $KEY" \
    -H "Berylpond-Program: ID" -H "Berylpond-Head: HEAD" \
    -d '{"model":"small","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"hello"}]}'

  # a service call that must run at most once: send it twice
  curl -si $BP/effects/refund -H "Authorization: Bearer $KEY" -H "Idempotency-Key: refund-1" \
    -H "Content-Type: application/json" -d '{"key":"till-7"}'

  # what an operator sees
  go run ./cmd/berylctl --instance %s status

Press Ctrl-C to stop.
`, s.CallerAddress, s.Key, s.PeerAddress)
}
