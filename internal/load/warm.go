package load

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/berylpond/berylpond/internal/fakes/engine"
	"github.com/berylpond/berylpond/internal/load/report"
	"github.com/berylpond/berylpond/internal/load/workload"
)

const (
	warmTimeout    = 60 * time.Second
	warmRetryDelay = 100 * time.Millisecond
	// fillFactor multiplies the time that the slowest bucket takes to fill: an account's rate may still be assigned to
	// the data centre of its last calls, so that its tokens in the other data centres fill more slowly.
	fillFactor = 3
)

// Warm waits until every account has had a successful call in every data centre, and then until the token buckets are
// full again.
func Warm(ctx context.Context, t Target, limits []workload.Limit) error {
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	c := newClient(t, report.NewRecorder(nil), 0)
	defer c.http.CloseIdleConnections()
	warming, warmCtx := errgroup.WithContext(ctx)
	var fill time.Duration
	for _, l := range limits {
		fill = max(fill, time.Duration(float64(l.Burst)/l.Rate*float64(time.Second)))
		warming.Go(func() error {
			for dc := range t.Callers {
				if err := c.warm(warmCtx, l.Account, dc); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := warming.Wait(); err != nil {
		return err
	}
	sleep(ctx, min(fillFactor*fill, maxFillWait))
	return ctx.Err()
}

func (c *client) warm(ctx context.Context, account string, dc int) error {
	r := rand.New(rand.NewPCG(uint64(dc), 0))
	for {
		resp := c.do(ctx, r, request{
			account: account, kind: report.KindTurn, dc: dc, method: http.MethodPost, path: "/v1/chat/completions",
			body: engine.ChatRequest{
				Model: c.target.Model, MaxTokens: 1, Messages: []engine.Message{{Role: "user", Content: "warm"}},
			},
		})
		if resp.complete {
			return nil
		}
		if !sleep(ctx, warmRetryDelay) {
			return errors.Wrapf(resp.err, "account %s: no successful call in data centre %d", account, dc)
		}
	}
}
