package quota

// recordCall is a record on its way to the slots, and the grant that waits for it.
type recordCall struct {
	record LoanRecord
	acks   map[*node]bool
	grant  message
	sent   bool
}

// learnCall is a read of the books for a new holder.
type learnCall struct {
	node *node
	term uint64
	got  map[*node][]LoanRecord
}

// rush delivers most messages between slots at once: they are faster than those between data centres.
func (m *model) rush() {
	if m.between(0, 2) > 0 {
		return
	}
	due := m.flight
	m.flight = nil
	for _, msg := range due {
		if (msg.record == nil && msg.learn == nil) || m.between(0, 5) == 0 {
			m.flight = append(m.flight, msg)
			continue
		}
		m.deliver(msg)
	}
}

// usurp lets the lease of n's data centre pass to n while a loan of the old holder waits for its record.
func (m *model) usurp(n *node) {
	old, borrower := m.holding[n.dc], m.holding[(n.dc+1)%m.dcs]
	if old == nil || old == n || borrower == nil || n.paused {
		return
	}
	before := len(m.flight)
	m.ask(borrower, n.dc, Request{Tokens: 100})
	if len(m.flight) == before {
		return
	}
	ask := m.flight[before]
	m.flight = m.flight[:before]
	m.deliver(ask)
	m.lapse(old)
	m.lapse(n)
	due := m.flight
	m.flight = nil
	for _, msg := range due {
		if msg.learn != nil && msg.learn.node == n {
			m.deliver(msg)
		} else {
			m.flight = append(m.flight, msg)
		}
	}
}

// answer sends a grant once what it lends is recorded.
func (m *model) answer(msg message) {
	n := msg.from
	if !msg.grant.NeedsRecord(dcName(n.dc)) {
		m.flight = append(m.flight, msg)
		return
	}
	r, ok := n.holder.Record(m.clock(n), 0, m.leases[n.dc].Term, account)
	if !ok {
		m.t.Fatalf("no record for a loan that was just made")
	}
	m.withheld = append(m.withheld, msg.grant)
	c := &recordCall{record: r, acks: map[*node]bool{}, grant: msg}
	for _, o := range m.nodes {
		if o.dc == n.dc {
			m.flight = append(m.flight, message{delivered: new(bool), from: n, to: o, record: c})
		}
	}
}

func (m *model) deliverRecord(msg message) {
	if msg.answered {
		m.acknowledged(msg)
		return
	}
	if msg.to.paused || msg.to.gone || msg.to.book.Record(m.clock(msg.to), 0, msg.record.record) != nil {
		return
	}
	msg.answered = true
	m.flight = append(m.flight, msg)
}

// acknowledged counts a slot's answer at the lender.
func (m *model) acknowledged(msg message) {
	c := msg.record
	if c.acks[msg.to] = true; len(c.acks) < WriteQuorum(instances) || c.sent || msg.from.paused || msg.from.gone {
		return
	}
	c.sent = true
	for i, g := range m.withheld {
		if g == c.grant.grant {
			m.withheld = append(m.withheld[:i:i], m.withheld[i+1:]...)
			break
		}
	}
	m.flight = append(m.flight, c.grant)
}

// learn reads the books for a new holder.
func (m *model) learn(n *node) {
	term, ok := n.holder.Learning(m.clock(n), 0)
	if !ok {
		return
	}
	c := &learnCall{node: n, term: term, got: map[*node][]LoanRecord{}}
	for _, o := range m.nodes {
		if o.dc == n.dc {
			m.flight = append(m.flight, message{delivered: new(bool), from: n, to: o, learn: c})
		}
	}
}

func (m *model) deliverLearn(msg message) {
	c := msg.learn
	if !msg.answered {
		if msg.to.paused || msg.to.gone {
			return
		}
		records, err := msg.to.book.Promise(m.clock(msg.to), 0, c.term)
		if err != nil {
			return
		}
		msg.answered, msg.records = true, records
		m.flight = append(m.flight, msg)
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
	if _, ok := c.node.holder.Learning(m.clock(c.node), 0); ok {
		m.learned++
	}
	c.node.holder.Learn(m.clock(c.node), 0, c.term, all)
}
