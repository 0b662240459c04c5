// Package turns reaches the instance that owns a program's partition, and tries again while partitions move.
package turns

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/turnlog"
)

const (
	// beginAttempt bounds one question to an owner: a hop, and an append where a grant is needed.
	beginAttempt = 900 * time.Millisecond
	// endAttempt bounds one report to an owner, with its append.
	endAttempt = 1200 * time.Millisecond
	// againPause is the pause before another attempt.
	againPause = 40 * time.Millisecond
	// findAttempt bounds a question to another owner.
	findAttempt = 400 * time.Millisecond
)

// ErrNoOwner means that no owner answered in time.
var ErrNoOwner = errors.New("no owner of the program's partition answered")

// Directory knows the owners of partitions.
type Directory interface {
	// OwnerOf returns a peer address, or "".
	OwnerOf(partition int) string
	Owners() map[int]string
	Refresh()
	Self() string
}

// Dialer returns connections to other instances.
type Dialer interface {
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Client calls owners, the instance's own included.
type Client struct {
	partitions int
	directory  Directory
	dialer     Dialer
	// Local serves the partitions of this instance. It is set once, before use.
	Local turnv1.TurnsServer
}

// New returns a client for a topic of so many partitions.
func New(partitions int, d Directory, dialer Dialer) *Client {
	return &Client{partitions: partitions, directory: d, dialer: dialer}
}

// Begin asks the owner to begin a turn. Its outcome is final: OK, BUDGET_SPENT or NO_SUCH_TURN. An error means that
// no owner could tell before the context ended.
func (c *Client) Begin(ctx context.Context, r *turnv1.BeginRequest) (*turnv1.BeginResponse, error) {
	var last error = ErrNoOwner
	for {
		resp, err := call(ctx, c, c.ownerOf(r.Program), beginAttempt,
			func(ctx context.Context, local turnv1.TurnsServer) (*turnv1.BeginResponse, error) {
				return local.Begin(ctx, r)
			},
			func(ctx context.Context, remote turnv1.TurnsClient) (*turnv1.BeginResponse, error) {
				return remote.Begin(ctx, r)
			})
		switch {
		case err != nil:
			last = err
		case resp.Outcome == turnv1.Outcome_OUTCOME_NOT_OWNER, resp.Outcome == turnv1.Outcome_OUTCOME_UNAVAILABLE:
			last = errors.Newf("the owner answers %s", resp.Outcome)
		default:
			return resp, nil
		}
		if !c.again(ctx) {
			return nil, errors.CombineErrors(ErrNoOwner, last)
		}
	}
}

// End reports the end of a turn. Without an error a completed turn is durable.
func (c *Client) End(ctx context.Context, r *turnv1.EndRequest) error {
	var last error = ErrNoOwner
	for {
		resp, err := call(ctx, c, c.ownerOf(r.Program), endAttempt,
			func(ctx context.Context, local turnv1.TurnsServer) (*turnv1.EndResponse, error) {
				return local.End(ctx, r)
			},
			func(ctx context.Context, remote turnv1.TurnsClient) (*turnv1.EndResponse, error) {
				return remote.End(ctx, r)
			})
		switch {
		case err != nil:
			last = err
		case resp.Outcome == turnv1.Outcome_OUTCOME_OK:
			return nil
		default:
			last = errors.Newf("the owner answers %s", resp.Outcome)
		}
		if !c.again(ctx) {
			return errors.CombineErrors(ErrNoOwner, last)
		}
	}
}

func (c *Client) ownerOf(program string) string {
	return c.directory.OwnerOf(turnlog.PartitionOf(program, c.partitions))
}

func (c *Client) again(ctx context.Context) bool {
	c.directory.Refresh()
	t := time.NewTimer(againPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// call makes one attempt at an owner.
func call[T any](ctx context.Context, c *Client, owner string, limit time.Duration,
	local func(context.Context, turnv1.TurnsServer) (T, error), remote func(context.Context, turnv1.TurnsClient) (T, error),
) (T, error) {
	var none T
	if owner == "" {
		return none, ErrNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if owner == c.directory.Self() {
		return local(ctx, c.Local)
	}
	conn, err := c.dialer.Conn(owner)
	if err != nil {
		return none, err
	}
	resp, err := remote(ctx, turnv1.NewTurnsClient(conn))
	return resp, errors.Wrapf(err, "owner %s", owner)
}

// FindElsewhere implements turnlog.Finder: it asks every owner but this instance. It returns an error unless the answers
// speak for every partition.
func (c *Client) FindElsewhere(ctx context.Context, r *turnv1.FindRequest, own []int) (*turnv1.FindResponse, error) {
	covered := map[int]bool{}
	for _, n := range own {
		covered[n] = true
	}
	peers := map[string]bool{}
	for _, a := range c.directory.Owners() {
		if a != c.directory.Self() {
			peers[a] = true
		}
	}
	type answer struct {
		resp *turnv1.FindResponse
		err  error
	}
	answers := make(chan answer, len(peers))
	ctx, cancel := context.WithTimeout(ctx, findAttempt)
	defer cancel()
	for a := range peers {
		go func() {
			resp, err := c.find(ctx, a, r)
			answers <- answer{resp, err}
		}()
	}
	var failed error
	for range peers {
		got := <-answers
		if got.err != nil {
			failed = errors.CombineErrors(failed, got.err)
			continue
		}
		if got.resp.Outcome == turnv1.Outcome_OUTCOME_OK {
			return got.resp, nil
		}
		for _, n := range got.resp.Partitions {
			covered[int(n)] = true
		}
	}
	if len(covered) < c.partitions {
		c.directory.Refresh()
		return nil, errors.CombineErrors(errors.Newf("%d of %d partitions were asked", len(covered), c.partitions), failed)
	}
	return &turnv1.FindResponse{Outcome: turnv1.Outcome_OUTCOME_NO_SUCH_TURN}, nil
}

func (c *Client) find(ctx context.Context, address string, r *turnv1.FindRequest) (*turnv1.FindResponse, error) {
	conn, err := c.dialer.Conn(address)
	if err != nil {
		return nil, err
	}
	resp, err := turnv1.NewTurnsClient(conn).Find(ctx, r)
	return resp, errors.Wrapf(err, "owner %s", address)
}
