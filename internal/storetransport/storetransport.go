// Package storetransport sends calls to the platform's store, either directly or relayed by a peer while the store does
// not serve this instance.
package storetransport

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
	// directRetryInterval is the interval between direct calls while the store does not serve this instance.
	directRetryInterval = 500 * time.Millisecond
	// directTimeoutDivisor is the divisor of a call's remaining time that gives the timeout of the direct call. A
	// direct call without a response in that time is relayed.
	directTimeoutDivisor = 2
	// relayTimeout limits a call that is relayed for another instance.
	relayTimeout = 600 * time.Millisecond
	// maxRelayWait limits the additional time for long polls.
	maxRelayWait = 500 * time.Millisecond
	// maxRelayPeers is the maximum number of peers that are asked to relay one call.
	maxRelayPeers = 2
)

// ErrUnreachable means that neither the store nor a peer that reaches it responded.
var ErrUnreachable = errors.New("no path to the store")

// Dialer returns connections to other instances.
type Dialer interface {
	Conn(address string) (grpc.ClientConnInterface, error)
}

// PeersFunc lists the peer addresses of other instances.
type PeersFunc func() []string

// Transport is a platform.Transport. It also relays calls of other instances, as the gRPC service Relay does.
type Transport struct {
	direct *platform.HTTPTransport
	dialer Dialer
	peers  PeersFunc
	now    func() time.Time

	mu sync.Mutex
	// failedSince is when the store stopped serving this instance; zero while it does.
	failedSince   time.Time
	lastDirectTry time.Time
	lastOK        time.Time
	// lastContact is the time of the store's last response, direct or relayed.
	lastContact time.Time
	// relay is the address of the peer that relayed the last call.
	relay string
	next  int
}

// New returns a path to the store.
func New(direct *platform.HTTPTransport, d Dialer, p PeersFunc) *Transport {
	return &Transport{direct: direct, dialer: d, peers: p, now: time.Now}
}

// Do implements platform.Transport. Repeating a call to the store is always safe, so a call without a response is
// relayed immediately.
func (p *Transport) Do(ctx context.Context, c platform.StoreCall) (platform.StoreReply, error) {
	if !p.tryDirect() {
		return p.relayCall(ctx, c)
	}
	callCtx, cancel := p.directContext(ctx, c)
	reply, err := p.direct.Do(callCtx, c)
	cancel()
	if err != nil && c.Tentative {
		return reply, err
	}
	served := err == nil && reply.Status != http.StatusServiceUnavailable && reply.Status != http.StatusTooManyRequests
	p.record(served, err, reply.Status)
	if served || ctx.Err() != nil && err != nil {
		return reply, err
	}
	if relayed, rerr := p.relayCall(ctx, c); rerr == nil {
		return relayed, nil
	}
	return reply, err
}

// directContext limits the direct call so that time is left for a relayed one. The time for which the store may hold a
// long poll is not divided.
func (p *Transport) directContext(ctx context.Context, c platform.StoreCall) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok || c.Tentative {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.Wait+(deadline.Sub(p.now())-c.Wait)/directTimeoutDivisor)
}

// tryDirect reports whether the next call is sent to the store directly.
func (p *Transport) tryDirect() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if p.failedSince.IsZero() || now.Sub(p.lastDirectTry) >= directRetryInterval {
		p.lastDirectTry = now
		return true
	}
	return false
}

func (p *Transport) record(served bool, err error, status int) {
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
		klog.InfoS("store lost", "cause", failureCause(err, status), "last_answer_ms", now.Sub(p.lastOK).Milliseconds())
	}
}

func failureCause(err error, status int) string {
	if err != nil {
		return err.Error()
	}
	return http.StatusText(status)
}

// InContact reports whether the store has responded, directly or through a peer, within the last d.
func (p *Transport) InContact(d time.Duration) bool {
	return p.SinceContact() < d
}

// SinceContact returns the time since the store last responded, directly or through a peer. Before the first response
// it is very long.
func (p *Transport) SinceContact() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now().Sub(p.lastContact)
}

// DirectlyServed reports whether the store currently responds to this instance directly.
func (p *Transport) DirectlyServed() bool { return p.directWithin(2 * relayTimeout) }

func (p *Transport) directWithin(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedSince.IsZero() && !p.lastOK.IsZero() && p.now().Sub(p.lastOK) < d
}

func (p *Transport) relayCall(ctx context.Context, c platform.StoreCall) (platform.StoreReply, error) {
	for _, a := range p.candidates() {
		conn, err := p.dialer.Conn(a)
		if err != nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, relayTimeout+min(c.Wait, maxRelayWait))
		resp, err := turnv1.NewRelayClient(conn).Call(callCtx, &turnv1.CallRequest{
			Method: c.Method, Path: c.Path, Body: c.Body, Json: c.JSON, WaitMs: c.Wait.Milliseconds(),
		})
		cancel()
		if err != nil || resp.Status == 0 {
			continue
		}
		p.mu.Lock()
		if p.relay != a {
			klog.InfoS("store calls relayed", "peer", a, "path", trimQuery(c.Path))
		}
		p.relay, p.lastContact = a, p.now()
		p.mu.Unlock()
		return platform.StoreReply{Status: int(resp.Status), Body: resp.Body}, nil
	}
	return platform.StoreReply{}, ErrUnreachable
}

func trimQuery(path string) string {
	path, _, _ = strings.Cut(path, "?")
	return path
}

// candidates returns the peer that relayed the last call, then others in round-robin order.
func (p *Transport) candidates() []string {
	peers := p.peers()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, a := range peers {
		if a == p.relay {
			out = append(out, a)
		}
	}
	for i := 0; i < len(peers) && len(out) < maxRelayPeers; i++ {
		p.next++
		if a := peers[p.next%len(peers)]; a != p.relay {
			out = append(out, a)
		}
	}
	return out
}

// Relay sends a call to the store for another instance, if the store serves this one.
func (p *Transport) Relay(ctx context.Context, r *turnv1.CallRequest) *turnv1.CallResponse {
	if !p.DirectlyServed() {
		return &turnv1.CallResponse{}
	}
	wait := min(time.Duration(r.WaitMs)*time.Millisecond, maxRelayWait)
	ctx, cancel := context.WithTimeout(ctx, relayTimeout+wait)
	defer cancel()
	reply, err := p.direct.Do(ctx, platform.StoreCall{Method: r.Method, Path: r.Path, Body: r.Body, JSON: r.Json})
	if err != nil {
		klog.V(1).InfoS("relayed call failed", "path", trimQuery(r.Path), "cause", err.Error())
		return &turnv1.CallResponse{}
	}
	return &turnv1.CallResponse{Status: int32(reply.Status), Body: reply.Body}
}
