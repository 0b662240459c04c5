// Package router sends each call to the instance that may run it: the holder of the program's shard in the program's
// home data centre, an instance of the idempotency key's home data centre, or else this instance.
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
	// maxHops bounds how often one call is forwarded: from the instance that received it to any instance of the home data
	// centre, from there to the holder, and twice more if the shard moves meanwhile.
	maxHops = 4
	// connectTimeout bounds the wait for a connection to one instance.
	connectTimeout = 500 * time.Millisecond
	// holderTimeout bounds the wait for a shard without a holder. It is longer than an expired lease takes to be acquired
	// by another instance.
	holderTimeout = 4 * time.Second
	// holderRetryInterval is the interval at which the holder is looked up again.
	holderRetryInterval = 50 * time.Millisecond
	// retryAfterUnreachable is the Retry-After for an unreachable data centre or holder.
	retryAfterUnreachable = 2 * time.Second
)

// HolderLookup looks up the holders of the shards of this instance's cell.
type HolderLookup interface {
	Holder(shard int) (member.Instance, bool)
	ShardCount() int
}

// Dialer opens connections to other instances.
type Dialer interface {
	ReadyConn(ctx context.Context, addr string) (grpc.ClientConnInterface, error)
}

// LocalExecutor runs calls on this instance.
type LocalExecutor interface {
	Execute(ctx context.Context, r *peerv1.CallRequest, emit executor.EmitFunc) error
}

// Router is safe for concurrent use.
type Router struct {
	table    *member.Table
	holders  HolderLookup
	dial     Dialer
	local    LocalExecutor
	programs *program.Controller
	// dataCentres returns the data centres that a team uses.
	dataCentres func(team string) []string
	retries     *prometheus.CounterVec
}

// New returns a router.
func New(table *member.Table, holders HolderLookup, dial Dialer, local LocalExecutor, programs *program.Controller, dataCentres func(string) []string) *Router {
	return &Router{
		table: table, holders: holders, dial: dial, local: local, programs: programs, dataCentres: dataCentres,
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "berylpond_router_retries_total",
			Help: "Calls offered again to the holder of a part, by the reason of the refusal.",
		}, []string{"reason"}),
	}
}

// Collectors returns the router's metrics.
func (r *Router) Collectors() []prometheus.Collector { return []prometheus.Collector{r.retries} }

// Call runs one call on the instance that may run it.
func (r *Router) Call(ctx context.Context, req *peerv1.CallRequest, emit executor.EmitFunc) error {
	return r.retryWithoutHolder(ctx, func() error { return r.tryCall(ctx, req, emit) })
}

// retryWithoutHolder retries attempt while the shard has no holder. It retries only errors with the verdict NotRun.
func (r *Router) retryWithoutHolder(ctx context.Context, attempt func() error) error {
	deadline := time.Now().Add(holderTimeout)
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		e := verdict.From(err)
		if e.Verdict != verdict.NotRun || e.Reason != verdict.ReasonOwnerUnavailable || time.Now().After(deadline) {
			return e
		}
		r.retries.WithLabelValues(string(e.Reason)).Inc()
		select {
		case <-time.After(holderRetryInterval):
		case <-ctx.Done():
			return e
		}
	}
}

func (r *Router) tryCall(ctx context.Context, req *peerv1.CallRequest, emit executor.EmitFunc) error {
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
		return noHolder()
	}
	return r.forward(ctx, conn, req, emit)
}

func noHolder() *verdict.Error {
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOwnerUnavailable, retryAfterUnreachable,
		"no instance holds the program's part right now")
}

// candidates returns the instances to which the call may be sent, in order of preference.
func (r *Router) candidates(req *peerv1.CallRequest) ([]member.Instance, error) {
	self := r.table.Self()
	switch {
	case req.Program != "":
		return r.candidatesForProgram(req.Program)
	case req.IdempotencyKey != "":
		home := r.homeOfKey(req.Account, req.IdempotencyKey)
		if home == self.DataCentre || home == "" {
			return []member.Instance{self}, nil
		}
		return r.candidatesInDataCentre(home, xxhash.Sum64String(req.IdempotencyKey))
	}
	return []member.Instance{self}, nil
}

// candidatesForProgram returns the holder of the program's shard or, for a program of another data centre, the
// instances there, which can look up the holder.
func (r *Router) candidatesForProgram(id string) ([]member.Instance, error) {
	home, err := program.HomeDataCentre(id)
	if err != nil {
		return nil, verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownProgram, 0, "%v", err)
	}
	if home != r.table.Self().DataCentre {
		return r.candidatesInDataCentre(home, xxhash.Sum64String(id))
	}
	inst, ok := r.holders.Holder(program.ShardOf(id, r.holders.ShardCount()))
	if !ok {
		return nil, noHolder()
	}
	return []member.Instance{inst}, nil
}

// candidatesInDataCentre returns the instances of a data centre that are not leaving. The hash selects the first one,
// so that calls with the same hash go to the same instance.
func (r *Router) candidatesInDataCentre(dc string, hash uint64) ([]member.Instance, error) {
	var live []member.Instance
	for _, inst := range r.table.InDataCentre(dc) {
		if !inst.Leaving {
			live = append(live, inst)
		}
	}
	if len(live) == 0 {
		return nil, homeUnreachable(dc)
	}
	first := int(hash % uint64(len(live)))
	return append(live[first:len(live):len(live)], live[:first]...), nil
}

func homeUnreachable(dc string) *verdict.Error {
	return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonHomeUnreachable, retryAfterUnreachable,
		"the home data centre %q cannot be reached from here", dc)
}

// homeOfKey returns the data centre whose cell grants claims for an idempotency key. It uses rendezvous hashing over
// the data centres of the team's document.
func (r *Router) homeOfKey(a *peerv1.Account, key string) string {
	var best string
	var highest uint64
	for _, dc := range r.dataCentres(a.Team) {
		if h := xxhash.Sum64String(dc + "\x00" + executor.ClaimID(a, key)); best == "" || h > highest {
			best, highest = dc, h
		}
	}
	return best
}

// connect returns a connection to the first reachable candidate, or local if that is this instance.
func (r *Router) connect(ctx context.Context, candidates []member.Instance) (conn grpc.ClientConnInterface, local bool, err error) {
	for _, inst := range candidates {
		if inst.ID == r.table.Self().ID {
			return nil, true, nil
		}
		conn, err = r.readyConn(ctx, inst)
		if err == nil {
			return conn, false, nil
		}
	}
	if len(candidates) > 1 || candidates[0].DataCentre != r.table.Self().DataCentre {
		return nil, false, homeUnreachable(candidates[0].DataCentre)
	}
	return nil, false, noHolder()
}

func (r *Router) readyConn(ctx context.Context, inst member.Instance) (grpc.ClientConnInterface, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return r.dial.ReadyConn(ctx, inst.PeerAddr)
}

// forward sends the call to another instance. If the connection is lost after that, the call may have run.
func (r *Router) forward(ctx context.Context, conn grpc.ClientConnInterface, req *peerv1.CallRequest, emit executor.EmitFunc) error {
	if err := failpoint.Hit("forward.before"); err != nil {
		return noHolder()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next := proto.CloneOf(req)
	next.Hops++
	stream, err := peerv1.NewPeerClient(conn).Call(ctx, next)
	if err != nil {
		return instanceLost(err)
	}
	for {
		ev, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return instanceLost(errors.New("the answer ended without its end event"))
		}
		if err != nil {
			return instanceLost(err)
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

func instanceLost(err error) error {
	return verdict.Fail(http.StatusBadGateway, verdict.ReasonOwnerUnavailable, "the instance that ran the call was lost: %v", errors.UnwrapAll(err))
}
