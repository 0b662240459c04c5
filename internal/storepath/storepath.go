// Package storepath carries calls to the platform's store: straight, or through another instance while the store does
// not serve this one.
package storepath

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/platform"
)

const (
	// directAgainEvery is the pause between two straight calls while the store does not serve this instance.
	directAgainEvery = 500 * time.Millisecond
	// directShare divides a call's time: a straight call that has not been answered in its part is relayed.
	directShare = 2
	// relayedTimeout bounds a call that is made for another instance.
	relayedTimeout = 600 * time.Millisecond
	// relayedWait is added for calls that the store may hold.
	relayedWait = 500 * time.Millisecond
	// peersTried is how many instances are asked to relay one call.
	peersTried = 2
)

// ErrNoPath means that neither the store nor an instance that reaches it answered.
var ErrNoPath = errors.New("no path to the store")

// Dialer returns connections to other instances.
type Dialer interface {
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Peers lists the peer addresses of other instances.
type Peers func() []string

// Path is a platform.Carrier. It also relays calls of other instances, as the gRPC service Relay does.
type Path struct {
	direct *platform.HTTPCarrier
	dialer Dialer
	peers  Peers
	now    func() time.Time

	mu sync.Mutex
	// failedSince is when the store stopped to serve this instance; zero while it does.
	failedSince time.Time
	lastTry     time.Time
	lastOK      time.Time
	// lastContact is the last answer of the store on any way.
	lastContact time.Time
	// relay is the instance that relayed last.
	relay string
	next  int
}

// New returns a path to the store.
func New(direct *platform.HTTPCarrier, d Dialer, p Peers) *Path {
	return &Path{direct: direct, dialer: d, peers: p, now: time.Now}
}

// Carry implements platform.Carrier. Every call that berylpond makes may be repeated, so one without an answer is
// relayed at once.
func (p *Path) Carry(ctx context.Context, c platform.Call) (platform.Reply, error) {
	if !p.tryDirect() {
		return p.viaPeers(ctx, c)
	}
	callCtx, cancel := p.directContext(ctx, c)
	reply, err := p.direct.Carry(callCtx, c)
	cancel()
	if err != nil && c.Tentative {
		return reply, err
	}
	served := err == nil && reply.Status != http.StatusServiceUnavailable && reply.Status != http.StatusTooManyRequests
	p.record(served, err, reply.Status)
	if served || ctx.Err() != nil && err != nil {
		return reply, err
	}
	if relayed, rerr := p.viaPeers(ctx, c); rerr == nil {
		return relayed, nil
	}
	return reply, err
}

// directContext leaves a relay a part of the call's time, beyond that for which the store may hold the call.
func (p *Path) directContext(ctx context.Context, c platform.Call) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok || c.Tentative {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.Wait+(deadline.Sub(p.now())-c.Wait)/directShare)
}

// tryDirect reports whether the next call goes to the store itself.
func (p *Path) tryDirect() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if p.failedSince.IsZero() || now.Sub(p.lastTry) >= directAgainEvery {
		p.lastTry = now
		return true
	}
	return false
}

func (p *Path) record(served bool, err error, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if served {
		if !p.failedSince.IsZero() {
			klog.InfoS("store regained", "away_ms", now.Sub(p.failedSince).Milliseconds())
		}
		p.failedSince, p.lastOK, p.lastContact = time.Time{}, now, now
		return
	}
	if p.failedSince.IsZero() {
		p.failedSince = now
		klog.InfoS("store lost", "cause", cause(err, status), "last_answer_ms", now.Sub(p.lastOK).Milliseconds())
	}
}

func cause(err error, status int) string {
	if err != nil {
		return err.Error()
	}
	return http.StatusText(status)
}

// InContact reports whether the store has answered on any way within the last d.
func (p *Path) InContact(d time.Duration) bool {
	return p.Silence() < d
}

// Silence is the time since the store last answered on any way; very long before its first answer.
func (p *Path) Silence() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now().Sub(p.lastContact)
}

// Served reports whether the store answers this instance itself.
func (p *Path) Served() bool { return p.answeredWithin(2 * relayedTimeout) }

func (p *Path) answeredWithin(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedSince.IsZero() && !p.lastOK.IsZero() && p.now().Sub(p.lastOK) < d
}

func (p *Path) viaPeers(ctx context.Context, c platform.Call) (platform.Reply, error) {
	for _, a := range p.candidates() {
		conn, err := p.dialer.Conn(a)
		if err != nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, relayedTimeout+min(c.Wait, relayedWait))
		resp, err := turnv1.NewRelayClient(conn).Call(callCtx, &turnv1.CallRequest{
			Method: c.Method, Path: c.Path, Body: c.Body, Json: c.JSON, WaitMs: c.Wait.Milliseconds(),
		})
		cancel()
		if err != nil || resp.Status == 0 {
			continue
		}
		p.mu.Lock()
		if p.relay != a {
			klog.InfoS("store calls relayed", "peer", a, "path", pathOnly(c.Path))
		}
		p.relay, p.lastContact = a, p.now()
		p.mu.Unlock()
		return platform.Reply{Status: int(resp.Status), Body: resp.Body}, nil
	}
	return platform.Reply{}, ErrNoPath
}

func pathOnly(path string) string {
	path, _, _ = strings.Cut(path, "?")
	return path
}

// candidates returns the instance that relayed last and some of the others in turn.
func (p *Path) candidates() []string {
	peers := p.peers()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, a := range peers {
		if a == p.relay {
			out = append(out, a)
		}
	}
	for i := 0; i < len(peers) && len(out) < peersTried; i++ {
		p.next++
		if a := peers[p.next%len(peers)]; a != p.relay {
			out = append(out, a)
		}
	}
	return out
}

// Relay makes a call for another instance, if the store serves this one.
func (p *Path) Relay(ctx context.Context, r *turnv1.CallRequest) *turnv1.CallResponse {
	if !p.Served() {
		return &turnv1.CallResponse{}
	}
	wait := min(time.Duration(r.WaitMs)*time.Millisecond, relayedWait)
	ctx, cancel := context.WithTimeout(ctx, relayedTimeout+wait)
	defer cancel()
	reply, err := p.direct.Carry(ctx, platform.Call{Method: r.Method, Path: r.Path, Body: r.Body, JSON: r.Json})
	if err != nil {
		klog.V(1).InfoS("relayed call failed", "path", pathOnly(r.Path), "cause", err.Error())
		return &turnv1.CallResponse{}
	}
	return &turnv1.CallResponse{Status: int32(reply.Status), Body: reply.Body}
}
