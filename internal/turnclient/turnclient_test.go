package turnclient

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

// directory names one owner of all partitions.
type directory struct {
	mu    sync.Mutex
	owner string
}

func (d *directory) set(owner string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.owner = owner
}

func (d *directory) OwnerOf(int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owner
}
func (d *directory) OwnersByPartition() map[int]string { return map[int]string{0: d.OwnerOf(0)} }
func (d *directory) RequestOwners()                    {}
func (d *directory) Self() string                      { return "self" }

// dialer connects to owners, of which those listed in silent never respond. Those in storeless have lost the store.
type dialer struct{ silent, storeless map[string]bool }

func (d dialer) Conn(address string) (grpc.ClientConnInterface, error) {
	return conn{silent: d.silent[address], storeless: d.storeless[address]}, nil
}

type conn struct {
	grpc.ClientConnInterface
	silent, storeless bool
}

func (c conn) Invoke(ctx context.Context, _ string, _, reply any, _ ...grpc.CallOption) error {
	if c.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	switch r := reply.(type) {
	case *turnv1.BeginResponse:
		r.Outcome = turnv1.Outcome_OUTCOME_OK
		if c.storeless {
			r.Outcome, r.StoreAwayMs = turnv1.Outcome_OUTCOME_UNAVAILABLE, 2500
		}
	case *turnv1.EndResponse:
		r.Outcome = turnv1.Outcome_OUTCOME_OK
	}
	return nil
}

// The load: calls that wait for an owner whose data centre is cut off when its partition is reassigned. They must follow
// the reassignment, not their own timeout.
func TestCallMovesToANewOwnerWithoutWaitingForItsTimeout(t *testing.T) {
	for name, call := range map[string]func(context.Context, *Client) error{
		"begin": func(ctx context.Context, c *Client) error {
			_, err := c.Begin(ctx, &turnv1.BeginRequest{Program: "p"})
			return err
		},
		"end": func(ctx context.Context, c *Client) error {
			return c.End(ctx, &turnv1.EndRequest{Program: "p"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := &directory{owner: "lost"}
			c := New(1, d, dialer{silent: map[string]bool{"lost": true}})
			const reassignedAfter = 200 * time.Millisecond
			time.AfterFunc(reassignedAfter, func() { d.set("next") })
			start := time.Now()
			is.NoErr(call(t.Context(), c))
			is.True(time.Since(start) < beginTimeout/2+reassignedAfter)
		})
	}
}

func TestSlowOwnerKeepsItsCall(t *testing.T) {
	is := is.New(t)
	d := &directory{owner: "slow"}
	c := New(1, d, dialer{silent: map[string]bool{"slow": true}})
	ctx, cancel := context.WithTimeout(t.Context(), 4*replacementCheckInterval)
	defer cancel()
	start := time.Now()
	_, err := c.Begin(ctx, &turnv1.BeginRequest{Program: "p"})
	is.True(err != nil)
	is.True(time.Since(start) >= 4*replacementCheckInterval)
}

// The load: the store is away for all instances. An owner that has lost it alone is replaced soon, so that waiting is worth while.
func TestBeginWaitsForAnotherOwnerOnlyIfThisInstanceHasTheStore(t *testing.T) {
	is := is.New(t)
	var storeAway atomic.Bool
	d := &directory{owner: "one"}
	c := New(1, d, dialer{storeless: map[string]bool{"one": true}})
	c.StoreAway = storeAway.Load
	time.AfterFunc(200*time.Millisecond, func() { d.set("two") })
	_, err := c.Begin(t.Context(), &turnv1.BeginRequest{Program: "p"})
	is.NoErr(err)

	storeAway.Store(true)
	d.set("one")
	_, err = c.Begin(t.Context(), &turnv1.BeginRequest{Program: "p"})
	var away *StoreAwayError
	is.True(errors.As(err, &away))
	is.Equal(away.Away, 2500*time.Millisecond)
}

// Guards against the contents of a request with homes going to an owner elsewhere.
func TestOwnerOutsideTheHomesIsNotCalled(t *testing.T) {
	is := is.New(t)
	d := &directory{owner: "elsewhere"}
	c := New(1, d, dialer{})
	c.Allows = func(_ context.Context, address string) bool { return address != "elsewhere" }
	start := time.Now()
	_, err := c.Begin(t.Context(), &turnv1.BeginRequest{Program: "p"})
	is.True(errors.Is(err, ErrNotAHome))
	is.True(errors.Is(c.End(t.Context(), &turnv1.EndRequest{Program: "p"}), ErrNotAHome))
	is.True(time.Since(start) < beginTimeout)
	d.set("home")
	is.NoErr(c.End(t.Context(), &turnv1.EndRequest{Program: "p"}))
}
