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

// packet is a round on its way to an acceptor, or an answer on its way back.
type packet struct {
	at       time.Duration
	from, to int
	sender   uint64 // incarnation of the proposer
	round    Round
	answers  []State
	offers   []int
}

// logRecord lands in the log at a later time than it was sent, or never.
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
	log, landing              []*logRecord
	cut                       []bool
	uncut                     bool // no cuts come
	lastOwner                 []Grant
	ended                     []map[uint64]time.Duration // by part and term: when a holding was last seen
	holdings, logGrants       int
	named                     int // holdings whose predecessor was named
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
		rnd:     rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))),
		loss:    float64(rapid.IntRange(0, 40).Draw(t, "loss")) / 100,
		dup:     float64(rapid.IntRange(0, 30).Draw(t, "dup")) / 100,
		restart: float64(rapid.IntRange(0, 30).Draw(t, "restart")) / 1000,
		pause:   float64(rapid.IntRange(0, 30).Draw(t, "pause")) / 1000,
		delay:   time.Duration(rapid.IntRange(1, 3000).Draw(t, "delay")) * time.Millisecond,
		cut:     make([]bool, slots*slots), lastOwner: make([]Grant, slots), ended: make([]map[uint64]time.Duration, slots),
	}
	n.cfg.ExtraVoter = slots%2 == 0 && rapid.Bool().Draw(t, "extra")
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
		if p.from != p.to && (n.cut[p.from*n.cfg.Slots+p.to] || n.rnd.Float64() < n.loss) {
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
	if n.cfg.ExtraVoter {
		n.tickLog(i, r)
	}
}

// tickLog reads the log to its end and sends a record that asks for the grants in need.
func (n *network) tickLog(i int, r Round) {
	nd := n.nodes[i]
	n.readLog(i)
	rec := &logRecord{round: r, at: n.now}
	for _, g := range nd.proposer.NeedsExtra(n.clock(i), r) {
		if from, ok := nd.reader.Ask(n.clock(i), g); ok {
			rec.acquire, rec.from = append(rec.acquire, g), append(rec.from, from)
		}
	}
	for _, g := range r.Release {
		if nd.reader.Asked(g) {
			rec.release = append(rec.release, g)
		}
	}
	nd.pending = rec
	for range 1 + n.rnd.IntN(8)/7 {
		if n.rnd.Float64() >= n.loss {
			late := *rec
			if n.rnd.IntN(3) == 0 {
				late.at += time.Duration(n.rnd.Int64N(int64(n.delay) + 1))
			}
			late.round.SentAt = rec.round.SentAt
			n.landing = append(n.landing, &late)
		}
	}
}

// readLog applies new records and judges the own pending one.
func (n *network) readLog(i int) {
	nd := n.nodes[i]
	now := n.clock(i)
	for ; nd.read < len(n.log); nd.read++ {
		rec := n.log[nd.read]
		for _, g := range rec.release {
			nd.reader.Release(g)
		}
		own := nd.pending != nil && len(rec.acquire) > 0 && rec.acquire[0].Owner == nd.proposer.self && rec.round.SentAt.Equal(nd.pending.round.SentAt)
		for _, g := range rec.acquire {
			granted := nd.reader.Acquire(now, int64(nd.read), g)
			if own {
				n.logGrants += map[bool]int{true: 1}[granted]
				nd.proposer.Answer(now, rec.round.SentAt, n.cfg.Slots, g, nd.reader.State(now, g.Part, granted))
			}
		}
	}
	nd.reader.Read(int64(nd.read))
}

// land appends what has arrived at the log.
func (n *network) land() {
	rest := n.landing[:0]
	for _, rec := range n.landing {
		if rec.at > n.now {
			rest = append(rest, rec)
		} else {
			n.log = append(n.log, rec)
		}
	}
	n.landing = rest
}

func (n *network) deliver(p packet) {
	nd := n.nodes[p.to]
	now := n.clock(p.to)
	if p.answers != nil {
		if p.sender == nd.incarnation {
			nd.proposer.Alive(p.round.SentAt, p.from)
			for _, st := range p.answers {
				nd.proposer.Answer(now, p.round.SentAt, p.from, asked(p.round, st.Part), st)
			}
		}
		return
	}
	for _, g := range p.round.Release {
		nd.acceptor.Release(g)
	}
	answers := make([]State, 0, n.cfg.Slots)
	for part := range n.cfg.Slots {
		if g := asked(p.round, part); g.Term != 0 {
			answers = append(answers, nd.acceptor.Acquire(now, g))
		} else {
			answers = append(answers, nd.acceptor.State(now, part))
		}
	}
	var handed []int
	for _, part := range p.round.Wanted {
		if nd.proposer.HandOver(now, part, p.from) {
			handed = append(handed, part)
		}
	}
	for _, part := range p.offers {
		if part == p.to {
			nd.proposer.Offer(now, part)
		}
	}
	n.send(packet{from: p.to, to: p.from, sender: p.sender, round: p.round, answers: answers})
	if handed != nil {
		n.tick(p.to, handed)
	}
}

func asked(r Round, part int) Grant {
	for _, g := range r.Acquire {
		if g.Part == part {
			return g
		}
	}
	return Grant{}
}

func (n *network) step() {
	n.now += 50 * time.Millisecond
	if !n.uncut && n.rnd.IntN(40) == 0 {
		n.cut[n.rnd.IntN(len(n.cut))] = n.rnd.IntN(2) == 0
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
	n.land()
	for i, nd := range n.nodes {
		if n.cfg.ExtraVoter && nd.pausedUntil <= n.now && n.rnd.IntN(2) == 0 {
			nd.proposer.Alive(n.clock(i), n.cfg.Slots)
			n.readLog(i)
		}
		if nd.pausedUntil <= n.now && nd.nextTick <= n.now {
			nd.nextTick = n.now + n.cfg.Heartbeat
			n.tick(i, nil)
		}
	}
	n.check()
}

// check asserts that no part has two holders at this instant, paused ones included, and that terms rise.
func (n *network) check() {
	for part := range n.cfg.Slots {
		var holders []Grant
		for i, nd := range n.nodes {
			if g, _, ok := nd.proposer.Holds(n.clock(i), part); ok {
				holders = append(holders, g)
			}
		}
		if len(holders) > 1 {
			n.t.Fatalf("part %d has two holders at %v: %+v", part, n.now, holders)
		}
		if len(holders) == 1 && holders[0] != n.lastOwner[part] {
			n.changeHolder(part, holders[0])
		}
		if len(holders) == 1 {
			n.checkPrevious(part, holders[0])
		}
	}
}

func (n *network) changeHolder(part int, g Grant) {
	if last := n.lastOwner[part]; g.Term <= last.Term {
		n.t.Fatalf("part %d: term of %+v does not exceed that of %+v", part, g, last)
	}
	n.lastOwner[part] = g
	n.holdings++
}

// checkPrevious asserts that a holding never names one before the last, whose state could still be taken in.
func (n *network) checkPrevious(part int, g Grant) {
	if n.ended[part] == nil {
		n.ended[part] = map[uint64]time.Duration{}
	}
	n.ended[part][g.Term] = n.now
	previous := n.nodes[g.Owner.Slot].proposer.Previous(part)
	if previous == 0 {
		return
	}
	if end, ok := n.ended[part][previous]; ok {
		n.named++
		for term, later := range n.ended[part] {
			if term > previous && term < g.Term && n.now-end < n.cfg.MaxOfferAge() {
				n.t.Fatalf("part %d: %+v names %d, which ended at %v, but %d ended at %v; now %v", part, g, previous, end, term, later, n.now)
			}
		}
	}
}

func TestNeverTwoHolders(t *testing.T) {
	holdings, logGrants, named := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		for range 1200 {
			n.step()
		}
		holdings += n.holdings
		logGrants += n.logGrants
		named += n.named
	})
	t.Logf("%d holdings, %d grants by the log, %d times a predecessor named", holdings, logGrants, named)
	is.New(t).True(holdings > 100 && logGrants > 100 && named > 100) // the runs have to reach the state that they check
}

func TestEveryHomeHoldsItsPartWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		n.loss, n.dup, n.restart, n.pause, n.delay, n.uncut = 0, 0, 0, 0, 50*time.Millisecond, true
		for n.now < 5*time.Second {
			n.step()
		}
		for i, nd := range n.nodes {
			if held := nd.proposer.Held(n.clock(i)); len(held) != 1 || held[0] != i {
				t.Fatalf("slot %d of %d holds %v", i, n.cfg.Slots, held)
			}
		}
		for _, rec := range n.log {
			if len(rec.acquire) > 0 {
				t.Fatalf("a whole cell asked the log: %+v", rec)
			}
		}
	})
}

func TestAcceptor(t *testing.T) {
	is := is.New(t)
	cfg := config(3)
	start := epoch
	a := NewAcceptor(cfg, start)
	first := Grant{Part: 0, Owner: Owner{Slot: 0, Incarnation: 1}, Term: 8, Attempt: 1}
	second := Grant{Part: 0, Owner: Owner{Slot: 0, Incarnation: 1}, Term: 16, Attempt: 2}
	is.True(!a.Acquire(start.Add(cfg.Promise()-1), first).Granted) // abstains
	now := start.Add(cfg.Promise())
	is.True(a.Acquire(now, first).Granted)
	is.True(!a.Acquire(now, second).Granted) // one grant at a time
	a.Release(first)
	is.True(!a.Acquire(now, first).Granted) // a late request of a released grant
	is.True(a.Acquire(now, second).Granted)
	a.Release(first) // a late release of attempt 1
	is.True(a.State(now, 0).Held)
	is.Equal(a.State(now, 0).Term, second.Term)
	end := now.Add(cfg.Promise())
	is.True(a.State(end.Add(-1), 0).Held)
	is.True(!a.State(end, 0).Held)
	low := Grant{Part: 0, Owner: Owner{Slot: 1, Incarnation: 1}, Term: 9, Attempt: 1}
	is.True(!a.Acquire(end, low).Granted) // terms rise
}

func TestHolderNoticesAPause(t *testing.T) {
	is := is.New(t)
	cfg := config(1)
	a, p := NewAcceptor(cfg, epoch), NewProposer(cfg, Owner{Incarnation: 1})
	now := epoch.Add(cfg.Promise())
	r := p.Tick(now, a)
	is.Equal(len(r.Acquire), 1)
	p.Answer(now, r.SentAt, 0, r.Acquire[0], a.Acquire(now, r.Acquire[0]))
	_, until, ok := p.Holds(now, 0)
	is.True(ok)
	is.Equal(until, now.Add(cfg.Lease))
	_, _, ok = p.Holds(now.Add(cfg.Lease), 0)
	is.True(!ok)
	next := p.Tick(now.Add(cfg.Lease), a)
	is.Equal(next.Release, []Grant{r.Acquire[0]})
}

func TestAnotherSlotTakesOver(t *testing.T) {
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
				clear(n.cut)
			}
		}
		run(5 * time.Second)
		n.nodes[lost].pausedUntil = time.Hour
		run(n.now + n.cfg.Promise() + 3*n.cfg.Heartbeat)
		heir := (lost + 1) % n.cfg.Slots
		if _, _, ok := n.nodes[heir].proposer.Holds(n.clock(heir), lost); !ok {
			t.Fatalf("slot %d of %d does not hold part %d", heir, n.cfg.Slots, lost)
		}
	})
}

func TestAcceptorNamesTheTermBefore(t *testing.T) {
	is := is.New(t)
	cfg := config(3)
	a := NewAcceptor(cfg, epoch)
	first := Grant{Owner: Owner{Slot: 0, Incarnation: 1}, Term: 8, Attempt: 1}
	second := Grant{Owner: Owner{Slot: 1, Incarnation: 1}, Term: 17, Attempt: 1}
	third := Grant{Owner: Owner{Slot: 0, Incarnation: 1}, Term: 24, Attempt: 2}
	young := epoch.Add(cfg.Promise())
	is.True(a.Acquire(young, first).Granted)
	a.Release(first)
	st := a.Acquire(young, second)
	is.True(st.Granted && !st.PreviousKnown) // an earlier incarnation may have supported another grant in between
	a.Release(second)
	old := epoch.Add(knownPromises * cfg.Promise())
	st = a.Acquire(old, third)
	is.True(st.Granted && st.PreviousKnown)
	is.Equal(st.Previous, second.Term)
	st = a.Acquire(old.Add(time.Second), third) // a renewal
	is.Equal(st.Previous, second.Term)
}
