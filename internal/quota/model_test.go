package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/berylpond/berylpond/internal/invariant"
)

func TestMain(m *testing.M) {
	invariant.PanicOnViolation(true)
	m.Run()
}

const (
	account   = "kiosk"
	instances = 3 // per data centre
)

// node is one run of one instance. Its clock is offset from that of the model.
type node struct {
	dc        int
	name      string
	holder    *Holder
	loanStore *LoanStore
	reserve   *SlotReserve
	version   int
	paused    bool
	stopped   bool
	offset    time.Duration
}

type message struct {
	delivered *bool
	from, to  *node
	toDC      int
	version   uint64
	request   *Request
	grant     *Grant
	handOver  *ShardState
	record    *recordCall
	recovery  *recoveryCall
	responded bool // the slot has responded to the record or recovery call
	records   []LoanRecord
}

// admission is one admitted take, with the largest limits in force at any instance at that time.
type admission struct {
	at    time.Time
	limit Limit
}

// model is a fleet with one account and one shard in each data centre, and with random faults.
type model struct {
	t         *rapid.T
	now       time.Time
	dcs       int
	nodes     []*node
	holding   []*node // by data centre; nil while there is none
	leases    []Lease
	versions  []Limit
	inTransit []message
	admitted  []admission
	runs      int
	// spent counts the takes admitted by holders. tokenSum is the number of tokens that checkTokens found at lastCheck.
	spent      float64
	tokenSum   float64
	lastCheck  time.Time
	lastLimit  Limit
	handedOver map[int]handOver
	// withheld holds grants whose records are not acknowledged by WriteQuorum slots.
	withheld []*Grant
	// recovered counts the takeovers in which loan recovery replaced the wait for loans to expire.
	recovered int
	rng       *rand.Rand
}

func dcName(dc int) string { return fmt.Sprintf("dc%d", dc) }

func newModel(t *rapid.T, dcs int, l Limit) *model {
	m := &model{t: t, now: time.Unix(1e6, 0), dcs: dcs, holding: make([]*node, dcs), leases: make([]Lease, dcs), rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), versions: []Limit{l}, handedOver: map[int]handOver{}}
	for dc := range dcs {
		for range instances {
			m.nodes = append(m.nodes, m.start(dc))
		}
		m.holding[dc], m.leases[dc] = m.nodes[dc*instances], Lease{Term: 1 << 50}
	}
	return m
}

func (m *model) start(dc int) *node {
	m.runs++
	n := &node{dc: dc, name: fmt.Sprint("run", m.runs), offset: time.Duration(m.runs) * time.Hour}
	n.holder = NewHolder(dcName(dc), DefaultLoanTimings(), m.dcs, instances)
	n.loanStore = NewLoanStore(m.clock(n), DefaultLoanTimings())
	n.reserve = NewSlotReserve(m.clock(n), 3*time.Second)
	m.configure(n, len(m.versions)-1)
	return n
}

func (m *model) configure(n *node, version int) {
	if version < n.version || n.paused {
		return
	}
	n.version = version
	n.holder.SetLimits(m.clock(n), uint64(version+1), []Limit{m.versions[version]})
}

func (m *model) clock(n *node) time.Time { return m.now.Add(n.offset) }

func (m *model) account(n *node) *Account {
	if !n.holder.Observe(m.clock(n), 0, m.leases[n.dc], m.holding[n.dc] == n) {
		return nil
	}
	a, _ := n.holder.Account(0, account)
	return a
}

// limit returns the largest rate and the largest burst in force at any instance.
func (m *model) limit() Limit {
	var l Limit
	for _, n := range m.nodes {
		v := m.versions[n.version]
		l.Rate, l.Burst = max(l.Rate, v.Rate), max(l.Burst, v.Burst)
	}
	return l
}

// between draws from a uniform distribution; rapid's own generators favour small numbers.
func (m *model) between(low, high int) int { return low + m.rng.IntN(high-low+1) }

func (m *model) pick() *node {
	return m.nodes[m.between(0, len(m.nodes)-1)]
}

func (m *model) take(n *node) bool {
	share, _ := n.holder.Share(account)
	ok := n.reserve.Take(m.clock(n), account, share, 1)
	if a := m.account(n); !ok && a != nil {
		a.RecordDemand(m.clock(n), 1)
		ok, _, _ = a.Take(m.clock(n), 1)
		if ok {
			m.spent++
		}
	}
	if ok {
		m.admitted = append(m.admitted, admission{at: m.now, limit: m.limit()})
	}
	return ok
}

func (m *model) sendRequest(n *node, dc int, r Request) {
	a := m.account(n)
	if a == nil || dc == n.dc {
		return
	}
	r.Sender, r.Sequence = n.name, n.holder.NextSequence()
	a.RecordSent(m.clock(n), dcName(dc), r.Sequence)
	m.inTransit = append(m.inTransit, message{delivered: new(bool), from: n, toDC: dc, version: n.holder.Version(), request: &r})
}

func (m *model) tick(n *node) {
	n.reserve.RecordAlive(m.clock(n))
	a := m.account(n)
	if a == nil {
		return
	}
	m.startRecovery(n)
	var peers []string
	for dc := range m.dcs {
		if dc != n.dc {
			peers = append(peers, dcName(dc))
		}
	}
	for _, w := range a.PeerRequests(m.clock(n), peers) {
		m.sendRequest(n, int(w.Peer[2]-'0'), w.Request)
	}
}

func (m *model) deliver(msg message) {
	switch {
	case msg.handOver != nil:
		if !msg.to.paused {
			msg.to.holder.StoreHandOver(m.clock(msg.to), *msg.handOver)
		}
	case msg.request != nil:
		m.deliverRequest(msg)
	case msg.record != nil:
		m.deliverRecord(msg)
	case msg.recovery != nil:
		m.deliverRecovery(msg)
	case !msg.to.paused:
		if a := m.account(msg.to); a != nil {
			*msg.delivered = true
			msg.to.holder.ApplyGrant(m.clock(msg.to), 0, account, *msg.grant)
		}
	}
}

func (m *model) deliverRequest(msg message) {
	to := m.holding[msg.toDC]
	if to == nil || to.paused {
		return
	}
	if m.account(to) == nil {
		return
	}
	*msg.delivered = true
	g := to.holder.Lend(m.clock(to), 0, account, dcName(msg.from.dc), msg.version, *msg.request)
	m.sendGrant(message{delivered: new(bool), from: to, to: msg.from, grant: &g})
}

// someHolder returns a holder that is running or, if the data centre drawn has none, any running instance.
func (m *model) someHolder() *node {
	dc := m.between(0, m.dcs-1)
	if n := m.holding[dc]; n != nil && !n.paused {
		return n
	}
	for _, n := range m.nodes {
		if !n.paused {
			return n
		}
	}
	return m.nodes[0]
}

// spendAll spends all tokens of every running instance.
func (m *model) spendAll() {
	for _, n := range m.nodes {
		for !n.paused && m.take(n) {
			continue
		}
	}
}

// checkAmounts checks that the current rate and burst of all holders together are within the limits in force.
func (m *model) checkAmounts() {
	var sum Amount
	for _, n := range m.holding {
		if n == nil {
			continue
		}
		if a := m.account(n); a != nil {
			a.Advance(m.clock(n))
			sum.Rate += a.Capacity().Rate
			sum.Burst += a.Capacity().Burst
		}
	}
	if l := m.limit(); sum.Rate > l.Rate+1e-6 || sum.Burst > l.Burst+1e-6 {
		m.t.Fatalf("holders together have %+v, more than the limit %+v", sum, l)
	}
}

// checkTokens checks that the sum of tokens spent, held and in transit has grown by no more than the rate allows since
// the last check.
func (m *model) checkTokens() {
	tokenSum := m.spent
	for dc, n := range m.holding {
		if n != nil {
			if a := m.account(n); a != nil {
				a.Advance(m.clock(n))
				tokenSum += a.Level()
				continue
			}
		}
		if o, ok := m.handedOver[dc]; ok && o.state.Term == m.leases[dc].Term && len(o.state.Accounts) > 0 {
			tokenSum += o.state.Accounts[0].Level
		}
	}
	for _, g := range m.withheld {
		tokenSum += g.Tokens()
	}
	for _, msg := range m.inTransit {
		if *msg.delivered {
			continue
		}
		if msg.grant != nil {
			tokenSum += msg.grant.Tokens()
		}
		if msg.request != nil && msg.request.Return != nil {
			tokenSum += msg.request.Return.Tokens
		}
	}
	limit := m.limit()
	grown := max(limit.Rate, m.lastLimit.Rate) * m.now.Sub(m.lastCheck).Seconds()
	if !m.lastCheck.IsZero() && tokenSum > m.tokenSum+grown+1e-6 {
		m.t.Fatalf("tokens spent, held and in transit rose from %v to %v in %v", m.tokenSum, tokenSum, m.now.Sub(m.lastCheck))
	}
	m.tokenSum, m.lastCheck, m.lastLimit = tokenSum, m.now, limit
}

// deliverAny delivers, drops or duplicates a random message in transit.
func (m *model) deliverAny() {
	if len(m.inTransit) == 0 {
		return
	}
	i := m.between(0, len(m.inTransit)-1)
	msg := m.inTransit[i]
	fate := m.between(0, 9)
	if fate > 1 { // 0 and 1 keep the message, so that it is delivered again
		m.inTransit = append(m.inTransit[:i:i], m.inTransit[i+1:]...)
	}
	if fate != 9 {
		m.deliver(msg)
	}
}

// moveLease ends the lease of n's data centre or, if there is none, grants it to n under a later term.
func (m *model) moveLease(n *node) {
	if m.holding[n.dc] != nil {
		m.holding[n.dc] = nil
		return
	}
	m.holding[n.dc] = n
	l := &m.leases[n.dc]
	l.PreviousTerm = l.Term
	if m.between(0, 3) == 0 {
		l.PreviousTerm = uint64(m.between(0, 1)) * (l.Term + 1) // unknown, or the term of a failed acquisition
	}
	l.Term += uint64(m.between(2, 1<<30))
	m.account(n)
	m.startRecovery(n)
	m.lastCheck = time.Time{} // tokens accrued while the handed-over state was in transit
}

func (m *model) leave(n *node) {
	m.account(n)
	for _, s := range n.holder.ReleaseAll(m.clock(n)) {
		m.handedOver[n.dc] = handOver{state: s, at: m.now}
		for _, o := range m.nodes {
			if o.dc == n.dc && o != n {
				m.inTransit = append(m.inTransit, message{delivered: new(bool), from: n, to: o, handOver: &s})
			}
		}
	}
	n.reserve.Stop()
	if m.holding[n.dc] == n && (m.between(0, 1) == 0) {
		m.holding[n.dc] = nil
	}
}

// restart replaces a run. The platform starts a new run only after the old one has ended.
func (m *model) restart(n *node) {
	for i, o := range m.nodes {
		if o == n {
			m.nodes[i] = m.start(n.dc)
			n.stopped = true
		}
	}
	if m.holding[n.dc] == n {
		m.holding[n.dc] = nil
	}
}

func (m *model) edit() {
	l := Limit{Account: account, Rate: float64(m.between(1, 300)), Burst: float64(m.between(1, 200))}
	m.versions = append(m.versions, l)
}

func (m *model) step(edits bool) {
	m.deliverLocal()
	n := m.pick()
	if m.between(0, 99) == 0 {
		m.takeOverDuringRecord(n)
		return
	}
	if edits && m.between(0, 14) == 0 {
		m.editOrConfigure(n)
		return
	}
	op := m.between(0, 119)
	if op > 26 {
		op %= 24 // faults are rarer than traffic
	}
	if (m.holding[n.dc] == nil || n.paused) && m.between(0, 9) == 0 {
		op = m.between(24, 25) // and mostly end after a few steps
	}
	switch {
	case op < 3:
		m.now = m.now.Add(time.Duration(m.between(1, 100)) * time.Millisecond)
	case op == 4 && m.between(0, 2) == 0:
		m.now = m.now.Add(time.Duration(m.between(100, 3000)) * time.Millisecond)
	case op == 5:
		m.spendAll()
	case op == 6 && !n.paused:
		m.take(n)
	case op < 12:
		m.sendRequest(m.someHolder(), m.between(0, m.dcs-1), Request{Tokens: []float64{0.5, 3, 100}[m.between(0, 2)]})
	case op < 21:
		m.deliverAny()
	case op < 24:
		m.tick(m.someHolder())
	case op == 24:
		m.moveLease(n)
	case op == 25:
		n.paused = !n.paused
	case op == 26 && (m.between(0, 1) == 0) && !n.paused:
		m.leave(n)
	case op == 26:
		m.restart(n)
	}
}

func (m *model) editOrConfigure(n *node) {
	switch m.between(0, 7) {
	case 0:
		m.edit()
	case 1, 2, 3:
		for _, o := range m.nodes {
			m.configure(o, len(m.versions)-1)
		}
	default:
		m.configure(n, len(m.versions)-1)
	}
}

// checkAdmissions compares the number of admissions in every window with what rate and burst allow.
func (m *model) checkAdmissions() {
	for i := range m.admitted {
		var l Limit
		for j := i; j < len(m.admitted); j++ {
			b := m.admitted[j]
			l.Rate, l.Burst = max(l.Rate, b.limit.Rate), max(l.Burst, b.limit.Burst)
			allowed := l.Rate*b.at.Sub(m.admitted[i].at).Seconds() + l.Burst
			if got := float64(j - i + 1); got > allowed+1e-6 {
				m.t.Fatalf("%v requests admitted in %v, at most %.3f allowed", got, b.at.Sub(m.admitted[i].at), allowed)
			}
		}
	}
}

func checkWindows(t *testing.T, edits bool) {
	recovered := 0
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{Account: account, Rate: rapid.SampledFrom([]float64{1, 10, 300}).Draw(t, "rate"), Burst: rapid.SampledFrom([]float64{5, 40, 120}).Draw(t, "burst")}
		m := newModel(t, rapid.SampledFrom([]int{2, 3, 4}).Draw(t, "dcs"), l)
		for _, n := range m.nodes {
			m.account(n)
		}
		if rapid.Bool().Draw(t, "warm") {
			m.now = m.now.Add(time.Minute)
			for _, n := range m.nodes {
				n.reserve.lastAlive = m.clock(n)
			}
		}
		for range rapid.IntRange(300, 600).Draw(t, "steps") {
			m.step(edits)
			m.checkAmounts()
			m.checkTokens()
		}
		m.spendAll()
		for _, msg := range m.inTransit {
			m.deliver(msg)
			m.spendAll()
		}
		m.checkAdmissions()
		recovered += m.recovered
	})
	t.Logf("loans of earlier holders were recovered from the loan stores %d times", recovered)
	if recovered < 100 {
		t.Error("loan recovery was too rare for the test to cover it")
	}
}

func TestNoWindowAdmitsMoreThanRateAndBurst(t *testing.T) { checkWindows(t, false) }

func TestLimitChangesNeverAdmitMoreThanLargestVersion(t *testing.T) { checkWindows(t, true) }
