package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func config(slots int) Config {
	return Config{Slots: slots, Lease: 2 * time.Second, Margin: 200 * time.Millisecond, Heartbeat: 500 * time.Millisecond}
}

// node is one slot of the simulated cell, with its own drifting clock.
type node struct {
	acceptor    *Acceptor
	proposer    *Proposer
	incarnation uint64
	rate        float64
	offset      time.Duration
	nextTick    time.Duration
	reader      *LogAcceptor
	read        int
	pending     *logRecord
	pausedUntil time.Duration
}

// packet is a round in transit to an acceptor, or a response in transit to the proposer.
type packet struct {
	at        time.Duration
	from, to  int
	sender    uint64 // incarnation of the proposer
	round     Round
	responses []State
	offers    []int
}

// logRecord is appended to the log at or after the time it was sent, or is lost.
type logRecord struct {
	at      time.Duration
	round   Round
	acquire []Grant
	from    []int64
	release []Grant
}

// network runs a cell in virtual time with loss, duplication, delay, reordering, restarts and pauses.
type network struct {
	t                         *rapid.T
	cfg                       Config
	rnd                       *rand.Rand
	now                       time.Duration
	nodes                     []*node
	packets                   []packet
	loss, dup, restart, pause float64
	delay                     time.Duration
	log, inFlight             []*logRecord
	partitioned               []bool
	noPartitions              bool // disables network partitions
	lastGrant                 []Grant
	lastValid                 []map[uint64]time.Duration // by shard and term: when the lease was last seen valid
	leases, logGrants         int
	reportedPredecessors      int // checks of a lease that reported its predecessor
}

var epoch = time.UnixMilli(1_700_000_000_000)

func (n *network) clock(i int) time.Time {
	nd := n.nodes[i]
	return epoch.Add(nd.offset + time.Duration(float64(n.now)*nd.rate))
}

func newNetwork(t *rapid.T) *network {
	slots := rapid.IntRange(1, 5).Draw(t, "slots")
	n := &network{
		t: t, cfg: config(slots),
		rnd:         rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))),
		loss:        float64(rapid.IntRange(0, 40).Draw(t, "loss")) / 100,
		dup:         float64(rapid.IntRange(0, 30).Draw(t, "dup")) / 100,
		restart:     float64(rapid.IntRange(0, 30).Draw(t, "restart")) / 1000,
		pause:       float64(rapid.IntRange(0, 30).Draw(t, "pause")) / 1000,
		delay:       time.Duration(rapid.IntRange(1, 3000).Draw(t, "delay")) * time.Millisecond,
		partitioned: make([]bool, slots*slots),
		lastGrant:   make([]Grant, slots), lastValid: make([]map[uint64]time.Duration, slots),
	}
	n.cfg.Witness = slots%2 == 0 && rapid.Bool().Draw(t, "witness")
	for i := range slots {
		n.nodes = append(n.nodes, &node{rate: 0.98 + 0.04*n.rnd.Float64(), offset: time.Duration(n.rnd.IntN(200)) * time.Millisecond})
		n.start(i)
	}
	return n
}

func (n *network) start(i int) {
	nd := n.nodes[i]
	nd.incarnation++
	nd.acceptor = NewAcceptor(n.cfg, n.clock(i))
	nd.proposer = NewProposer(n.cfg, Owner{Slot: i, Incarnation: nd.incarnation})
	nd.pausedUntil = 0
	nd.reader, nd.read, nd.pending = NewLogAcceptor(n.cfg, Owner{Slot: i, Incarnation: nd.incarnation}), 0, nil
}

func (n *network) send(p packet) {
	copies := 1
	if n.rnd.Float64() < n.dup {
		copies = 2
	}
	for range copies {
		if p.from != p.to && (n.partitioned[p.from*n.cfg.Slots+p.to] || n.rnd.Float64() < n.loss) {
			continue
		}
		p.at = n.now
		if p.from != p.to {
			delay := n.delay
			if n.rnd.IntN(4) > 0 {
				delay /= 50
			}
			p.at += time.Duration(n.rnd.Int64N(int64(delay) + 1))
		}
		n.packets = append(n.packets, p)
	}
}

func (n *network) tick(i int, offers []int) {
	nd := n.nodes[i]
	r := nd.proposer.Tick(n.clock(i), nd.acceptor)
	for to := range n.nodes {
		n.send(packet{from: i, to: to, sender: nd.incarnation, round: r, offers: offers})
	}
	if n.cfg.Witness {
		n.tickLog(i, r)
	}
}

// tickLog reads the log to its end and sends a record that requests the grants that need the witness.
func (n *network) tickLog(i int, r Round) {
	nd := n.nodes[i]
	n.readLog(i)
	rec := &logRecord{round: r, at: n.now}
	for _, g := range nd.proposer.NeedsWitness(n.clock(i), r) {
		if from, ok := nd.reader.QuietOffset(n.clock(i), g); ok {
			rec.acquire, rec.from = append(rec.acquire, g), append(rec.from, from)
		}
	}
	for _, g := range r.Release {
		if nd.reader.Requested(g) {
			rec.release = append(rec.release, g)
		}
	}
	nd.pending = rec
	for range 1 + n.rnd.IntN(8)/7 {
		if n.rnd.Float64() >= n.loss {
			delayed := *rec
			if n.rnd.IntN(3) == 0 {
				delayed.at += time.Duration(n.rnd.Int64N(int64(n.delay) + 1))
			}
			delayed.round.SentAt = rec.round.SentAt
			n.inFlight = append(n.inFlight, &delayed)
		}
	}
}

// readLog applies new records and evaluates the pending record of this node.
func (n *network) readLog(i int) {
	nd := n.nodes[i]
	now := n.clock(i)
	for ; nd.read < len(n.log); nd.read++ {
		rec := n.log[nd.read]
		for _, g := range rec.release {
			nd.reader.ApplyRelease(g)
		}
		own := nd.pending != nil && len(rec.acquire) > 0 && rec.acquire[0].Owner == nd.proposer.self && rec.round.SentAt.Equal(nd.pending.round.SentAt)
		for _, g := range rec.acquire {
			granted := nd.reader.ApplyAcquire(now, int64(nd.read), g)
			if own {
				n.logGrants += map[bool]int{true: 1}[granted]
				nd.proposer.HandleResponse(now, rec.round.SentAt, n.cfg.Slots, g, nd.reader.State(now, g.Shard, granted))
			}
		}
	}
	nd.reader.AdvanceTo(int64(nd.read))
}

// appendArrived appends the records that have reached the log.
func (n *network) appendArrived() {
	rest := n.inFlight[:0]
	for _, rec := range n.inFlight {
		if rec.at > n.now {
			rest = append(rest, rec)
		} else {
			n.log = append(n.log, rec)
		}
	}
	n.inFlight = rest
}

func (n *network) deliver(p packet) {
	nd := n.nodes[p.to]
	now := n.clock(p.to)
	if p.responses != nil {
		if p.sender == nd.incarnation {
			nd.proposer.RecordResponse(p.round.SentAt, p.from)
			for _, st := range p.responses {
				nd.proposer.HandleResponse(now, p.round.SentAt, p.from, requestedGrant(p.round, st.Shard), st)
			}
		}
		return
	}
	for _, g := range p.round.Release {
		nd.acceptor.Release(g)
	}
	responses := make([]State, 0, n.cfg.Slots)
	for shard := range n.cfg.Slots {
		if g := requestedGrant(p.round, shard); g.Term != 0 {
			responses = append(responses, nd.acceptor.Acquire(now, g))
		} else {
			responses = append(responses, nd.acceptor.State(now, shard))
		}
	}
	var handedOver []int
	for _, shard := range p.round.RequestHandOver {
		if nd.proposer.HandOver(now, shard, p.from) {
			handedOver = append(handedOver, shard)
		}
	}
	for _, shard := range p.offers {
		if shard == p.to {
			nd.proposer.HandleOffer(now, shard)
		}
	}
	n.send(packet{from: p.to, to: p.from, sender: p.sender, round: p.round, responses: responses})
	if handedOver != nil {
		n.tick(p.to, handedOver)
	}
}

func requestedGrant(r Round, shard int) Grant {
	for _, g := range r.Acquire {
		if g.Shard == shard {
			return g
		}
	}
	return Grant{}
}

func (n *network) step() {
	n.now += 50 * time.Millisecond
	if !n.noPartitions && n.rnd.IntN(40) == 0 {
		n.partitioned[n.rnd.IntN(len(n.partitioned))] = n.rnd.IntN(2) == 0
	}
	for i, nd := range n.nodes {
		if n.rnd.Float64() < n.restart {
			n.start(i)
		} else if n.rnd.Float64() < n.pause {
			nd.pausedUntil = n.now + time.Duration(n.rnd.IntN(5000))*time.Millisecond
		}
	}
	due := n.packets
	n.packets = nil
	for _, k := range n.rnd.Perm(len(due)) {
		if p := due[k]; p.at > n.now || n.nodes[p.to].pausedUntil > n.now {
			n.packets = append(n.packets, p)
		} else {
			n.deliver(p)
		}
	}
	n.appendArrived()
	for i, nd := range n.nodes {
		if n.cfg.Witness && nd.pausedUntil <= n.now && n.rnd.IntN(2) == 0 {
			nd.proposer.RecordResponse(n.clock(i), n.cfg.Slots)
			n.readLog(i)
		}
		if nd.pausedUntil <= n.now && nd.nextTick <= n.now {
			nd.nextTick = n.now + n.cfg.Heartbeat
			n.tick(i, nil)
		}
	}
	n.check()
}

// check asserts that no shard has two holders at any time, including paused nodes, and that terms increase.
func (n *network) check() {
	for shard := range n.cfg.Slots {
		var holders []Grant
		for i, nd := range n.nodes {
			if g, _, ok := nd.proposer.Lease(n.clock(i), shard); ok {
				holders = append(holders, g)
			}
		}
		if len(holders) > 1 {
			n.t.Fatalf("shard %d has two holders at %v: %+v", shard, n.now, holders)
		}
		if len(holders) == 1 && holders[0] != n.lastGrant[shard] {
			n.recordHolder(shard, holders[0])
		}
		if len(holders) == 1 {
			n.checkPredecessor(shard, holders[0])
		}
	}
}

func (n *network) recordHolder(shard int, g Grant) {
	if last := n.lastGrant[shard]; g.Term <= last.Term {
		n.t.Fatalf("shard %d: term of %+v does not exceed that of %+v", shard, g, last)
	}
	n.lastGrant[shard] = g
	n.leases++
}

// checkPredecessor asserts that a lease never reports a predecessor other than the last lease while the state that this
// predecessor left could still be used.
func (n *network) checkPredecessor(shard int, g Grant) {
	if n.lastValid[shard] == nil {
		n.lastValid[shard] = map[uint64]time.Duration{}
	}
	n.lastValid[shard][g.Term] = n.now
	previous := n.nodes[g.Owner.Slot].proposer.PreviousTerm(shard)
	if previous == 0 {
		return
	}
	if lastSeen, ok := n.lastValid[shard][previous]; ok {
		n.reportedPredecessors++
		for term, later := range n.lastValid[shard] {
			if term > previous && term < g.Term && n.now-lastSeen < n.cfg.MaxHandOverAge() {
				n.t.Fatalf("shard %d: %+v reports the predecessor %d, which ended at %v, but %d ended at %v; now %v",
					shard, g, previous, lastSeen, term, later, n.now)
			}
		}
	}
}

func TestAtMostOneHolder(t *testing.T) {
	leases, logGrants, reportedPredecessors := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		for range 1200 {
			n.step()
		}
		leases += n.leases
		logGrants += n.logGrants
		reportedPredecessors += n.reportedPredecessors
	})
	t.Logf("%d leases, %d grants by the log, %d checks of a reported predecessor", leases, logGrants, reportedPredecessors)
	is.New(t).True(leases > 100 && logGrants > 100 && reportedPredecessors > 100) // otherwise the checks were not run
}

func TestHomeSlotsHoldTheirShardsWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		n.loss, n.dup, n.restart, n.pause, n.delay, n.noPartitions = 0, 0, 0, 0, 50*time.Millisecond, true
		for n.now < 5*time.Second {
			n.step()
		}
		for i, nd := range n.nodes {
			if held := nd.proposer.HeldShards(n.clock(i)); len(held) != 1 || held[0] != i {
				t.Fatalf("slot %d of %d holds %v", i, n.cfg.Slots, held)
			}
		}
		for _, rec := range n.log {
			if len(rec.acquire) > 0 {
				t.Fatalf("a cell without faults asked the witness: %+v", rec)
			}
		}
	})
}

func TestAcceptor(t *testing.T) {
	is := is.New(t)
	cfg := config(3)
	start := epoch
	a := NewAcceptor(cfg, start)
	first := Grant{Shard: 0, Owner: Owner{Slot: 0, Incarnation: 1}, Term: 8, Attempt: 1}
	second := Grant{Shard: 0, Owner: Owner{Slot: 0, Incarnation: 1}, Term: 16, Attempt: 2}
	is.True(!a.Acquire(start.Add(cfg.PromiseDuration()-1), first).Granted) // abstains
	now := start.Add(cfg.PromiseDuration())
	is.True(a.Acquire(now, first).Granted)
	is.True(!a.Acquire(now, second).Granted) // one grant at a time
	a.Release(first)
	is.True(!a.Acquire(now, first).Granted) // a delayed request for a released grant
	is.True(a.Acquire(now, second).Granted)
	a.Release(first) // a delayed release of attempt 1
	is.True(a.State(now, 0).Held)
	is.Equal(a.State(now, 0).Term, second.Term)
	end := now.Add(cfg.PromiseDuration())
	is.True(a.State(end.Add(-1), 0).Held)
	is.True(!a.State(end, 0).Held)
	low := Grant{Shard: 0, Owner: Owner{Slot: 1, Incarnation: 1}, Term: 9, Attempt: 1}
	is.True(!a.Acquire(end, low).Granted) // terms must increase
}

func TestLeaseExpiresDuringAPause(t *testing.T) {
	is := is.New(t)
	cfg := config(1)
	a, p := NewAcceptor(cfg, epoch), NewProposer(cfg, Owner{Incarnation: 1})
	now := epoch.Add(cfg.PromiseDuration())
	r := p.Tick(now, a)
	is.Equal(len(r.Acquire), 1)
	p.HandleResponse(now, r.SentAt, 0, r.Acquire[0], a.Acquire(now, r.Acquire[0]))
	_, until, ok := p.Lease(now, 0)
	is.True(ok)
	is.Equal(until, now.Add(cfg.Lease))
	_, _, ok = p.Lease(now.Add(cfg.Lease), 0)
	is.True(!ok)
	next := p.Tick(now.Add(cfg.Lease), a)
	is.Equal(next.Release, []Grant{r.Acquire[0]})
}

func TestNextSlotTakesOverShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		if n.cfg.Slots < 3 {
			t.Skip("no majority without the home slot")
		}
		n.loss, n.dup, n.restart, n.pause, n.delay = 0, 0, 0, 0, 50*time.Millisecond
		lost := rapid.IntRange(0, n.cfg.Slots-1).Draw(t, "lost")
		run := func(until time.Duration) {
			for n.now < until {
				n.step()
				clear(n.partitioned)
			}
		}
		run(5 * time.Second)
		n.nodes[lost].pausedUntil = time.Hour
		run(n.now + n.cfg.PromiseDuration() + 3*n.cfg.Heartbeat)
		successor := (lost + 1) % n.cfg.Slots
		if _, _, ok := n.nodes[successor].proposer.Lease(n.clock(successor), lost); !ok {
			t.Fatalf("slot %d of %d does not hold shard %d", successor, n.cfg.Slots, lost)
		}
	})
}

func TestAcceptorReportsPreviousTerm(t *testing.T) {
	is := is.New(t)
	cfg := config(3)
	a := NewAcceptor(cfg, epoch)
	first := Grant{Owner: Owner{Slot: 0, Incarnation: 1}, Term: 8, Attempt: 1}
	second := Grant{Owner: Owner{Slot: 1, Incarnation: 1}, Term: 17, Attempt: 1}
	third := Grant{Owner: Owner{Slot: 0, Incarnation: 1}, Term: 24, Attempt: 2}
	early := epoch.Add(cfg.PromiseDuration())
	is.True(a.Acquire(early, first).Granted)
	a.Release(first)
	st := a.Acquire(early, second)
	is.True(st.Granted && !st.PreviousKnown) // an earlier incarnation may have granted in between
	a.Release(second)
	late := epoch.Add(predecessorPromises * cfg.PromiseDuration())
	st = a.Acquire(late, third)
	is.True(st.Granted && st.PreviousKnown)
	is.Equal(st.Previous, second.Term)
	st = a.Acquire(late.Add(time.Second), third) // a renewal
	is.Equal(st.Previous, second.Term)
}
