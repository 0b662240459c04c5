package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestReturnsOfRefusedClientsAreSpread(t *testing.T) {
	is := is.New(t)
	now, random := time.Now(), rand.New(rand.NewPCG(1, 2))
	var q returnQueue
	const perSecond, left, refused = 20, 3 * time.Second, 60
	bySecond := map[int]int{}
	for range refused {
		d := q.delay(now, perSecond, left, random.Float64())
		is.True(d >= 0 && d <= left)
		bySecond[min(int(d/time.Second), 2)]++
	}
	t.Logf("returns by second: %v", bySecond)
	for i := range 3 {
		is.True(bySecond[i] >= perSecond*3/4 && bySecond[i] <= perSecond*3/2)
	}
}

func TestReturnDelayFollowsTheRateAndTheRefusals(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var q returnQueue
	is.Equal(q.delay(now, 10, 3*time.Second, 0.5), 100*time.Millisecond)
	is.Equal(q.delay(now, 10, 3*time.Second, 0.5), 200*time.Millisecond) // behind the first
	now = now.Add(time.Second)
	is.Equal(q.delay(now, 10, 3*time.Second, 0.5), 100*time.Millisecond) // all have returned
	is.Equal(q.delay(now, 20, 3*time.Second, 0.5), 150*time.Millisecond)
	is.True(q.delay(now, 0, 3*time.Second, 0.5) <= 3*time.Second) // nothing is accepted until the servers are warm
}
