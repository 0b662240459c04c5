package scheduler

import (
	"fmt"
	"math"
	"math/rand"
	"time"
)

type simTurn struct {
	newTokens, outputTokens int64
	thinkTime               time.Duration
	subAgent                bool
}

type simProgram struct {
	name, account string
	weight        float64
	started       time.Time
	turns         []simTurn
	turn          int
	prefix        int64
	subPrefix     int64
}

// arrivals draws all programs in advance, so that every policy is run on the same workload.
func (v *sim) arrivals() {
	shares := []float64{0.3, 0.2, 0.15, 0.1, 0.08, 0.07, 0.05, 0.05}
	var meanSlotSeconds float64
	for range 4000 {
		for _, t := range v.drawTurns() {
			meanSlotSeconds += v.slotSeconds(t) / 4000
		}
	}
	total := v.workload.load * simEngines * simBatch / meanSlotSeconds // programs per second
	for i, share := range shares {
		rate := total * share
		if i == v.workload.aggressorAccount && v.workload.aggressorFactor > 0 {
			rate *= v.workload.aggressorFactor
		}
		r := rand.New(rand.NewSource(v.workload.seed*100 + int64(i)))
		v.rand = r
		for t := r.ExpFloat64() / rate; t < v.workload.span.Seconds(); t += r.ExpFloat64() / rate {
			p := &simProgram{name: fmt.Sprintf("p%d-%.6f", i, t), account: fmt.Sprintf("a%d", i), weight: share, turns: v.drawTurns()}
			v.unfinished++
			v.at(time.Duration(t*float64(time.Second)), func() { p.started = v.now; v.submit(p, nil) })
		}
	}
}

// drawTurns draws the turns of one program: a heavy-tailed number of turns with growing history, think times and some
// sub-agent turns.
func (v *sim) drawTurns() []simTurn {
	n := int(min(24, 1+math.Floor(2*math.Pow(1-v.rand.Float64(), -0.8))))
	turns := make([]simTurn, n)
	for i := range turns {
		turns[i] = simTurn{
			newTokens:    int64((200 + 1200*v.rand.Float64())),
			outputTokens: int64(40 + 160*v.rand.Float64()),
			thinkTime:    time.Duration(v.rand.ExpFloat64() * 0.8 * float64(time.Second)),
			subAgent:     i > 0 && v.rand.Float64() < 0.15,
		}
	}
	return turns
}

func (v *sim) slotSeconds(t simTurn) float64 {
	return float64(t.newTokens)*simPrefill + float64(t.outputTokens)*simDecode*(1+simSlowdown)
}
