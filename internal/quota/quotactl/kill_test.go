package quotactl

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/berylpond/berylpond/internal/quota"
	"github.com/berylpond/berylpond/internal/verdict"
)

// killTrial sends takes at 0.95 of the account's rate to random instances, and kills the holder in giza meanwhile.
type killTrial struct {
	timings quota.LoanTimings
	// takeoverDelay is the time from the kill until another instance holds the shard.
	takeoverDelay time.Duration
	before, after time.Duration
	limit         Limit
}

type killResult struct {
	// rateLimited counts the takes refused for lack of tokens. They are included in refused.
	total, refused, rateLimited int
	elapsed                     time.Duration
}

func (k killTrial) run(t *testing.T) killResult {
	net := &network{conns: map[string]*grpc.ClientConn{}, isolated: map[string]bool{}}
	f := newWaitingFleet(t, net, 10, k.timings, []Limit{k.limit}, k.takeoverDelay*5/4)
	time.Sleep(k.timings.LongLoan + k.timings.ClockMargin + time.Duration(k.limit.Burst/k.limit.Rate*float64(time.Second)))
	giza := f.holderOf("giza", k.limit.Account)
	var killed atomic.Bool
	time.AfterFunc(k.before, func() {
		killed.Store(true)
		shards := f.kill(giza)
		time.AfterFunc(k.takeoverDelay, func() { f.cells["giza"].set(shards[0], f.self[(giza+3)%9]) })
	})
	var (
		res  killResult
		mu   sync.Mutex
		done sync.WaitGroup
	)
	start := time.Now()
	rng := rand.New(rand.NewPCG(1, 1))
	tick := time.NewTicker(time.Duration(float64(time.Second) / (0.95 * k.limit.Rate)))
	defer tick.Stop()
	for end := time.Now().Add(k.before + k.after); time.Now().Before(end); <-tick.C {
		i := rng.IntN(len(f.ctl))
		if killed.Load() && i == giza {
			i = (i + 1) % len(f.ctl) // a load balancer would skip the killed instance
		}
		done.Go(func() {
			err := f.ctl[i].Take(context.Background(), k.limit.Account, 1)
			mu.Lock()
			defer mu.Unlock()
			res.record(err)
		})
	}
	done.Wait()
	res.elapsed = time.Since(start)
	return res
}

func (r *killResult) record(err error) {
	r.total++
	if err == nil {
		return
	}
	r.refused++
	if verdict.From(err).Reason == verdict.ReasonRateLimited {
		r.rateLimited++
	}
}

func TestKilledHolderRefusesOnlyForLackOfTokens(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	timings := quota.LoanTimings{ShortLoan: 500 * time.Millisecond, LongLoan: time.Second,
		ClockMargin: 50 * time.Millisecond}
	k := killTrial{timings: timings, takeoverDelay: 600 * time.Millisecond, before: time.Second, after: 4 * time.Second, limit: Limit{Account: "kiosk", Rate: 8, Burst: 5}}
	res := k.run(t)
	t.Logf("refused %d of %d, %d of them for lack of tokens", res.refused, res.total, res.rateLimited)
	is.Equal(res.refused, res.rateLimited)
	is.True(float64(res.total-res.refused) <= k.limit.Burst+k.limit.Rate*res.elapsed.Seconds())
}
