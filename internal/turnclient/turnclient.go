// Package turnclient is the client of the Turns service. It sends each call to the instance that owns the program's
// partition and retries while partitions are reassigned.
package turnclient

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/turnlog"
)

const (
	// beginTimeout bounds one Begin call to an owner: a network hop, plus an append where a grant is needed.
	beginTimeout = 900 * time.Millisecond
	// endTimeout bounds one End call to an owner, including its append.
	endTimeout = 1200 * time.Millisecond
	// retryDelay is the delay before the next attempt.
	retryDelay = 40 * time.Millisecond
	// replacementCheckInterval is the interval at which a call that waits for an owner checks whether the partition has
	// another owner by now. It is longer than a call usually takes.
	replacementCheckInterval = 50 * time.Millisecond
	// findTimeout bounds one Find call to the other owners.
	findTimeout = 400 * time.Millisecond
)

// ErrNoOwner means that no owner responded in time.
var ErrNoOwner = errors.New("no owner of the program's partition answered")

// StoreAwayError means that the turn needs a record, and that neither its owner nor this instance reaches the store.
type StoreAwayError struct {
	// Away is for how long the owner has been unable to record anything.
	Away time.Duration
}

// Error implements error.
func (e *StoreAwayError) Error() string {
	return "the owner can't record the turn: the store has been away for " + e.Away.String()
}

// ErrNotAHome means that the owner is in a region where the contents of the request must not go.
var ErrNotAHome = errors.New("the owner of the program's partition is in no home region of the request")

// ErrTooLong means that the turn's history exceeds a message between instances.
var ErrTooLong = errors.New("the history is too long to be sent to another instance")

// ErrHistoryMissing means that the owner lacks the history before a turn that has ended, and needs it to record the turn.
var ErrHistoryMissing = errors.New("the owner of the program's partition lacks the history before the turn")

// OwnerDirectory maps partitions to their owners.
type OwnerDirectory interface {
	// OwnerOf returns the peer address of the owner, or "" if it is unknown.
	OwnerOf(partition int) string
	// OwnersByPartition returns the peer addresses of the owners by partition.
	OwnersByPartition() map[int]string
	// RequestOwners requests a read of the list of owners without waiting for it.
	RequestOwners()
	// Self returns the peer address of this instance.
	Self() string
}

// Dialer returns connections to other instances.
type Dialer interface {
	Conn(address string) (grpc.ClientConnInterface, error)
}

// Client calls the owners of partitions, including the local instance.
type Client struct {
	partitions int
	directory  OwnerDirectory
	dialer     Dialer
	// Local serves the partitions of this instance. It must be set before the first call.
	Local turnv1.TurnsServer
	// StoreAway reports whether this instance doesn't reach the store either, so that no other owner will be assigned soon. If
	// it is nil, the instance waits for another owner.
	StoreAway func() bool
	// Allows reports whether the contents of the context's request may be sent to an instance. Nil allows all.
	Allows func(ctx context.Context, address string) bool
}

// New returns a client for a topic with the given number of partitions.
func New(partitions int, d OwnerDirectory, dialer Dialer) *Client {
	return &Client{partitions: partitions, directory: d, dialer: dialer}
}

// Begin asks the owner to begin a turn. The outcome of the response is final: OK, BUDGET_SPENT or NO_SUCH_TURN. An
// error means that no owner gave a final outcome before the context ended, or at once (*StoreAwayError, ErrTooLong) that none will.
func (c *Client) Begin(ctx context.Context, r *turnv1.BeginRequest) (*turnv1.BeginResponse, error) {
	var lastErr error = ErrNoOwner
	for {
		resp, err := callOwner(ctx, c, r.Program, beginTimeout,
			func(ctx context.Context, local turnv1.TurnsServer) (*turnv1.BeginResponse, error) {
				return local.Begin(ctx, r)
			},
			func(ctx context.Context, remote turnv1.TurnsClient) (*turnv1.BeginResponse, error) {
				return remote.Begin(ctx, r)
			})
		switch {
		case errors.Is(err, ErrNotAHome):
			return nil, err
		case status.Code(errors.UnwrapAll(err)) == codes.ResourceExhausted:
			return nil, errors.Mark(err, ErrTooLong)
		case err != nil:
			lastErr = err
		case resp.StoreAwayMs > 0 && c.StoreAway != nil && c.StoreAway():
			return nil, &StoreAwayError{Away: time.Duration(resp.StoreAwayMs) * time.Millisecond}
		case resp.Outcome == turnv1.Outcome_OUTCOME_NOT_OWNER, resp.Outcome == turnv1.Outcome_OUTCOME_UNAVAILABLE:
			lastErr = errors.Newf("the owner answers %s", resp.Outcome)
		default:
			return resp, nil
		}
		if !c.waitForRetry(ctx) {
			return nil, errors.CombineErrors(ErrNoOwner, lastErr)
		}
	}
}

// End reports the end of a turn to the owner. If it returns nil, a completed turn is durable. With ErrHistoryMissing nothing is
// recorded, and the call must be repeated with the history before the turn.
func (c *Client) End(ctx context.Context, r *turnv1.EndRequest) error {
	var lastErr error = ErrNoOwner
	for {
		resp, err := callOwner(ctx, c, r.Program, endTimeout,
			func(ctx context.Context, local turnv1.TurnsServer) (*turnv1.EndResponse, error) {
				return local.End(ctx, r)
			},
			func(ctx context.Context, remote turnv1.TurnsClient) (*turnv1.EndResponse, error) {
				return remote.End(ctx, r)
			})
		switch {
		case errors.Is(err, ErrNotAHome):
			return err
		case err != nil:
			lastErr = err
		case resp.Outcome == turnv1.Outcome_OUTCOME_OK:
			return nil
		case resp.Outcome == turnv1.Outcome_OUTCOME_HISTORY_MISSING:
			return ErrHistoryMissing
		default:
			lastErr = errors.Newf("the owner answers %s", resp.Outcome)
		}
		if !c.waitForRetry(ctx) {
			return errors.CombineErrors(ErrNoOwner, lastErr)
		}
	}
}

func (c *Client) ownerOf(program string) string {
	return c.directory.OwnerOf(turnlog.PartitionOf(program, c.partitions))
}

func (c *Client) waitForRetry(ctx context.Context) bool {
	c.directory.RequestOwners()
	t := time.NewTimer(retryDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// callOwner makes one call to the owner of a program. It ends early, with an error, once the partition has another owner:
// an instance that was cut off or lost its power leaves the call without a response.
func callOwner[T any](ctx context.Context, c *Client, program string, timeout time.Duration,
	local func(context.Context, turnv1.TurnsServer) (T, error), remote func(context.Context, turnv1.TurnsClient) (T, error),
) (T, error) {
	var zero T
	owner := c.ownerOf(program)
	if owner == "" {
		return zero, ErrNoOwner
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if owner == c.directory.Self() {
		return local(ctx, c.Local)
	}
	if c.Allows != nil && !c.Allows(ctx, owner) {
		return zero, errors.Wrapf(ErrNotAHome, "owner %s", owner)
	}
	defer c.cancelOnReplacement(ctx, cancel, program, owner)()
	conn, err := c.dialer.Conn(owner)
	if err != nil {
		return zero, err
	}
	resp, err := remote(ctx, turnv1.NewTurnsClient(conn))
	return resp, errors.Wrapf(err, "owner %s", owner)
}

// cancelOnReplacement cancels a call to an owner once the directory names another one for the program. The returned
// function ends the checks.
func (c *Client) cancelOnReplacement(ctx context.Context, cancel context.CancelFunc, program, owner string) (stop func()) {
	var check *time.Timer
	// assigned orders the assignment of check before its use by the function.
	assigned := make(chan struct{})
	check = time.AfterFunc(replacementCheckInterval, func() {
		<-assigned
		if current := c.ownerOf(program); current != "" && current != owner {
			cancel()
			return
		}
		if ctx.Err() == nil {
			check.Reset(replacementCheckInterval)
		}
	})
	close(assigned)
	return func() { check.Stop() }
}

// FindAtOtherOwners implements turnlog.Finder: it sends the request to all owners except this instance. It returns an
// error unless the responses, with the partitions that the caller covers, cover every partition.
func (c *Client) FindAtOtherOwners(ctx context.Context, r *turnv1.FindRequest, own []int) (*turnv1.FindResponse,
	error) {
	covered := map[int]bool{}
	for _, n := range own {
		covered[n] = true
	}
	peers := map[string]bool{}
	for _, a := range c.directory.OwnersByPartition() {
		if a != c.directory.Self() {
			peers[a] = true
		}
	}
	type result struct {
		resp *turnv1.FindResponse
		err  error
	}
	results := make(chan result, len(peers))
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for a := range peers {
		go func() {
			resp, err := c.find(ctx, a, r)
			results <- result{resp, err}
		}()
	}
	var failures error
	for range peers {
		got := <-results
		if got.err != nil {
			failures = errors.CombineErrors(failures, got.err)
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
		c.directory.RequestOwners()
		return nil, errors.CombineErrors(errors.Newf("responses cover only %d of %d partitions", len(covered), c.partitions), failures)
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
