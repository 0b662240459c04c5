package quota

// recordCall is a loan record being written to the slots, and the grant that waits for it.
type recordCall struct {
	record LoanRecord
	acks   map[*node]bool
	grant  message
	sent   bool
}

// recoveryCall is a read of the loan stores for a new holder.
type recoveryCall struct {
	node *node
	term uint64
	got  map[*node][]LoanRecord
}

// deliverLocal delivers most messages between slots immediately, since these are faster than messages between data
// centres.
func (m *model) deliverLocal() {
	if m.between(0, 2) > 0 {
		return
	}
	due := m.inTransit
	m.inTransit = nil
	for _, msg := range due {
		if (msg.record == nil && msg.recovery == nil) || m.between(0, 5) == 0 {
			m.inTransit = append(m.inTransit, msg)
			continue
		}
		m.deliver(msg)
	}
}

// takeOverDuringRecord moves the lease of n's data centre to n while a loan of the old holder waits for its record.
func (m *model) takeOverDuringRecord(n *node) {
	old, borrower := m.holding[n.dc], m.holding[(n.dc+1)%m.dcs]
	if old == nil || old == n || borrower == nil || n.paused {
		return
	}
	before := len(m.inTransit)
	m.sendRequest(borrower, n.dc, Request{Tokens: 100})
	if len(m.inTransit) == before {
		return
	}
	ask := m.inTransit[before]
	m.inTransit = m.inTransit[:before]
	m.deliver(ask)
	m.moveLease(old)
	m.moveLease(n)
	due := m.inTransit
	m.inTransit = nil
	for _, msg := range due {
		if msg.recovery != nil && msg.recovery.node == n {
			m.deliver(msg)
		} else {
			m.inTransit = append(m.inTransit, msg)
		}
	}
}

// sendGrant sends a grant once the loans in it are recorded.
func (m *model) sendGrant(msg message) {
	n := msg.from
	if !msg.grant.NeedsRecord(dcName(n.dc)) {
		m.inTransit = append(m.inTransit, msg)
		return
	}
	r, ok := n.holder.LoanRecord(m.clock(n), 0, m.leases[n.dc].Term, account)
	if !ok {
		m.t.Fatalf("holder returned no record for a loan that it just made")
	}
	m.withheld = append(m.withheld, msg.grant)
	c := &recordCall{record: r, acks: map[*node]bool{}, grant: msg}
	for _, o := range m.nodes {
		if o.dc == n.dc {
			m.inTransit = append(m.inTransit, message{delivered: new(bool), from: n, to: o, record: c})
		}
	}
}

func (m *model) deliverRecord(msg message) {
	if msg.responded {
		m.acknowledged(msg)
		return
	}
	if msg.to.paused || msg.to.stopped || msg.to.loanStore.Record(m.clock(msg.to), 0, msg.record.record) != nil {
		return
	}
	msg.responded = true
	m.inTransit = append(m.inTransit, msg)
}

// acknowledged counts a slot's acknowledgement at the lender.
func (m *model) acknowledged(msg message) {
	c := msg.record
	if c.acks[msg.to] = true; len(c.acks) < WriteQuorum(instances) || c.sent || msg.from.paused || msg.from.stopped {
		return
	}
	c.sent = true
	for i, g := range m.withheld {
		if g == c.grant.grant {
			m.withheld = append(m.withheld[:i:i], m.withheld[i+1:]...)
			break
		}
	}
	m.inTransit = append(m.inTransit, c.grant)
}

// startRecovery starts loan recovery for a new holder.
func (m *model) startRecovery(n *node) {
	term, ok := n.holder.RecoveringLoans(m.clock(n), 0)
	if !ok {
		return
	}
	c := &recoveryCall{node: n, term: term, got: map[*node][]LoanRecord{}}
	for _, o := range m.nodes {
		if o.dc == n.dc {
			m.inTransit = append(m.inTransit, message{delivered: new(bool), from: n, to: o, recovery: c})
		}
	}
}

func (m *model) deliverRecovery(msg message) {
	c := msg.recovery
	if !msg.responded {
		if msg.to.paused || msg.to.stopped {
			return
		}
		records, err := msg.to.loanStore.Promise(m.clock(msg.to), 0, c.term)
		if err != nil {
			return
		}
		msg.responded, msg.records = true, records
		m.inTransit = append(m.inTransit, msg)
		return
	}
	if c.node.paused || m.account(c.node) == nil || c.got[msg.to] != nil {
		return
	}
	c.got[msg.to] = append([]LoanRecord{}, msg.records...)
	if len(c.got) != ReadQuorum(instances) {
		return
	}
	var all []LoanRecord
	for _, records := range c.got {
		all = append(all, records...)
	}
	if _, ok := c.node.holder.RecoveringLoans(m.clock(c.node), 0); ok {
		m.recovered++
	}
	c.node.holder.RecoverLoans(m.clock(c.node), 0, c.term, all)
}
