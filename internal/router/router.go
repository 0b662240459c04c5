// Package router sends each call to the instance that may run it: the holder of the program's part in its home data
// centre, an instance of the home data centre of an idempotency key, or this instance.
package router

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	"github.com/berylpond/berylpond/internal/executor"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/peer"
	"github.com/berylpond/berylpond/internal/program"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	// maxHops bounds how often one call is passed on: entry, any instance of the home data centre, holder, and once
	// more when the part has just moved.
	maxHops = 4
	// connectTimeout bounds the wait for a connection to one instance.
	connectTimeout = 500 * time.Millisecond
	// holderWait is how long a call waits for a part that has no holder: longer than a lapsed lease takes to move.
	holderWait = 4 * time.Second
	// holderPause is the pause between two looks for the holder.
	holderPause = 50 * time.Millisecond
	// retryHome is the time after which a call to an unreachable data centre may be tried again.
	retryHome = 2 * time.Second
)

// Holders knows who holds the parts of the own cell.
type Holders interface {
	Holder(part int) (member.Instance, bool)
	Parts() int
}

// Dialer gives connections to other instances.
type Dialer interface {
	Ready(ctx context.Context, addr string) (grpc.ClientConnInterface, error)
}

// Local runs what falls on this instance.
type Local interface {
	Execute(ctx context.Context, r *peerv1.CallRequest, emit executor.Emit) error
}

// Router is safe for concurrent use.
type Router struct {
	table    *member.Table
	holders  Holders
	dial     Dialer
	local    Local
	programs *program.Controller
	// dataCentres returns the data centres that a team uses.
	dataCentres func(team string) []string
	retries     *prometheus.CounterVec
}

// New returns a router.
func New(table *member.Table, holders Holders, dial Dialer, local Local, programs *program.Controller, dataCentres func(string) []string) *Router {
	return &Router{
		table: table, holders: holders, dial: dial, local: local, programs: programs, dataCentres: dataCentres,
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_router_retries_total", Help: "Calls offered again to the holder of a part, by the reason of the refusal.",
		}, []string{"reason"}),
	}
}

// Collectors returns the router's metrics.
func (r *Router) Collectors() []prometheus.Collector { return []prometheus.Collector{r.retries} }

// Call runs one call wherever it belongs.
func (r *Router) Call(ctx context.Context, req *peerv1.CallRequest, emit executor.Emit) error {
	return r.withHolder(ctx, func() error { return r.callOnce(ctx, req, emit) })
}

// withHolder tries again while the part has no holder. A refusal with NotRun is the only one that is tried again.
func (r *Router) withHolder(ctx context.Context, try func() error) error {
	giveUp := time.Now().Add(holderWait)
	for {
		err := try()
		if err == nil {
			return nil
		}
		e := verdict.From(err)
		if e.Verdict != verdict.NotRun || e.Reason != verdict.ReasonOwnerUnavailable || time.Now().After(giveUp) {
			return e
		}
		r.retries.WithLabelValues(string(e.Reason)).Inc()
		select {
		case <-time.After(holderPause):
		case <-ctx.Done():
			return e
		}
	}
}

func (r *Router) callOnce(ctx context.Context, req *peerv1.CallRequest, emit executor.Emit) error {
	candidates, err := r.candidates(req)
	if err != nil {
		return err
	}
	conn, local, err := r.connect(ctx, candidates)
	if err != nil {
		return err
	}
	if local {
		return r.local.Execute(ctx, req, emit)
	}
	if req.Hops >= maxHops {
		return holderUnknown()
	}
	return r.forward(ctx, conn, req, emit)
}

func holderUnknown() *verdict.Error {
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOwnerUnavailable, retryHome,
		"no instance holds the program's part right now")
}

// candidates lists the instances that may run the call, best first.
func (r *Router) candidates(req *peerv1.CallRequest) ([]member.Instance, error) {
	self := r.table.Self()
	switch {
	case req.Program != "":
		return r.forProgram(req.Program)
	case req.IdempotencyKey != "":
		home := r.homeOfKey(req.Account, req.IdempotencyKey)
		if home == self.DataCentre || home == "" {
			return []member.Instance{self}, nil
		}
		return r.inDataCentre(home, xxhash.Sum64String(req.IdempotencyKey))
	}
	return []member.Instance{self}, nil
}

// forProgram lists the holder of the program's part, or in another data centre the instances that can find it.
func (r *Router) forProgram(id string) ([]member.Instance, error) {
	home, err := program.HomeDataCentre(id)
	if err != nil {
		return nil, verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownProgram, 0, "%v", err)
	}
	if home != r.table.Self().DataCentre {
		return r.inDataCentre(home, xxhash.Sum64String(id))
	}
	in, ok := r.holders.Holder(program.PartOf(id, r.holders.Parts()))
	if !ok {
		return nil, holderUnknown()
	}
	return []member.Instance{in}, nil
}

// inDataCentre lists the instances of a data centre, the one at which most calls of the hash land first.
func (r *Router) inDataCentre(dc string, hash uint64) ([]member.Instance, error) {
	var live []member.Instance
	for _, in := range r.table.InDataCentre(dc) {
		if !in.Leaving {
			live = append(live, in)
		}
	}
	if len(live) == 0 {
		return nil, homeUnreachable(dc)
	}
	first := int(hash % uint64(len(live)))
	return append(live[first:len(live):len(live)], live[:first]...), nil
}

func homeUnreachable(dc string) *verdict.Error {
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonHomeUnreachable, retryHome,
		"the home data centre %q cannot be reached from here", dc)
}

// homeOfKey returns the data centre at whose cell an idempotency key is claimed: rendezvous hashing over the data
// centres of the team's document.
func (r *Router) homeOfKey(a *peerv1.Account, key string) string {
	var best string
	var high uint64
	for _, dc := range r.dataCentres(a.Team) {
		if h := xxhash.Sum64String(dc + "\x00" + executor.ClaimID(a, key)); best == "" || h > high {
			best, high = dc, h
		}
	}
	return best
}

// connect returns a connection to the first candidate that can be reached, or local when it is this instance.
func (r *Router) connect(ctx context.Context, candidates []member.Instance) (conn grpc.ClientConnInterface, local bool, err error) {
	for _, in := range candidates {
		if in.ID == r.table.Self().ID {
			return nil, true, nil
		}
		conn, err = r.ready(ctx, in)
		if err == nil {
			return conn, false, nil
		}
	}
	if len(candidates) > 1 || candidates[0].DataCentre != r.table.Self().DataCentre {
		return nil, false, homeUnreachable(candidates[0].DataCentre)
	}
	return nil, false, holderUnknown()
}

func (r *Router) ready(ctx context.Context, in member.Instance) (grpc.ClientConnInterface, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return r.dial.Ready(ctx, in.PeerAddr)
}

// forward passes the call to another instance. Once it is sent, a lost connection means that it may have run.
func (r *Router) forward(ctx context.Context, conn grpc.ClientConnInterface, req *peerv1.CallRequest, emit executor.Emit) error {
	if err := failpoint.Hit("forward.before"); err != nil {
		return holderUnknown()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next := proto.CloneOf(req)
	next.Hops++
	stream, err := peerv1.NewPeerClient(conn).Call(ctx, next)
	if err != nil {
		return lost(err)
	}
	for {
		ev, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return lost(errors.New("the answer ended without its end event"))
		}
		if err != nil {
			return lost(err)
		}
		if f := ev.GetFailure(); f != nil {
			return peer.FailureFromWire(f)
		}
		if err := emit(ev); err != nil {
			return err
		}
		if ev.GetEnd() != nil {
			return nil
		}
	}
}

func lost(err error) error {
	return verdict.Fail(http.StatusBadGateway, verdict.ReasonOwnerUnavailable, "the instance that ran the call was lost: %v", errors.UnwrapAll(err))
}
