package scheduler

import (
	"fmt"
	"math"
	"math/rand"
	"time"
)

type simTurn struct {
	fresh, out int64
	pause      time.Duration
	subAgent   bool
}

type simProgram struct {
	name, account string
	weight        float64
	began         time.Time
	turns         []simTurn
	turn          int
	prefix        int64
	subPrefix     int64
}

// arrivals draws all programs ahead, so that every policy meets the same ones.
func (v *sim) arrivals() {
	shares := []float64{0.3, 0.2, 0.15, 0.1, 0.08, 0.07, 0.05, 0.05}
	var probe float64
	for range 4000 {
		for _, t := range v.shape() {
			probe += v.slotSeconds(t) / 4000
		}
	}
	total := v.l.load * simEngines * simBatch / probe // programs per second
	for i, share := range shares {
		rate := total * share
		if i == v.l.loud && v.l.aggressor > 0 {
			rate *= v.l.aggressor
		}
		r := rand.New(rand.NewSource(v.l.seed*100 + int64(i)))
		v.rand = r
		for t := r.ExpFloat64() / rate; t < v.l.span.Seconds(); t += r.ExpFloat64() / rate {
			p := &simProgram{name: fmt.Sprintf("p%d-%.6f", i, t), account: fmt.Sprintf("a%d", i), weight: share, turns: v.shape()}
			v.open++
			v.at(time.Duration(t*float64(time.Second)), func() { p.began = v.now; v.submit(p, nil) })
		}
	}
}

// shape draws a chain with a heavy tail of turns, growing history, pauses and some turns of sub-agents.
func (v *sim) shape() []simTurn {
	n := int(min(24, 1+math.Floor(2*math.Pow(1-v.rand.Float64(), -0.8))))
	turns := make([]simTurn, n)
	for i := range turns {
		turns[i] = simTurn{
			fresh:    int64((200 + 1200*v.rand.Float64())),
			out:      int64(40 + 160*v.rand.Float64()),
			pause:    time.Duration(v.rand.ExpFloat64() * 0.8 * float64(time.Second)),
			subAgent: i > 0 && v.rand.Float64() < 0.15,
		}
	}
	return turns
}

func (v *sim) slotSeconds(t simTurn) float64 {
	return float64(t.fresh)*simPrefill + float64(t.out)*simDecode*(1+simSlowdown)
}
