package quotactl

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"k8s.io/klog/v2"

	quotav1 "github.com/berylpond/berylpond/api/quota/v1"
	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/quota"
)

const (
	// minBookSlots is the size of a cell from which loans are recorded. In a smaller one the loss of a slot would end
	// all lending, so a new holder waits for the end of all loans instead.
	minBookSlots = 3
	// learnTimeout bounds one read of the books.
	learnTimeout = 200 * time.Millisecond
	// learnPause is the time between two reads.
	learnPause = 50 * time.Millisecond
	// recordFraction of Config.LendTimeout is left for the record of a loan.
	recordFraction = 0.75
)

var errOtherDataCentre = status.Error(codes.FailedPrecondition, "the sender is in another data centre")

// keepsBook reports whether loans of this cell are recorded.
func (c *Controller) keepsBook() bool {
	return c.cfg.Slots >= minBookSlots && len(c.cfg.DataCentres) > 1
}

// loanMade names a loan that has to be recorded before it is told to its borrower.
type loanMade struct {
	part    int
	term    uint64
	account string
}

// waitingLoan is a loan whose record waits for its message.
type waitingLoan struct {
	loan loanMade
	done chan bool
}

// record returns, for each loan, whether it was recorded at enough slots in time.
func (c *Controller) record(loans []loanMade) []bool {
	recorded := make([]bool, len(loans))
	if len(loans) == 0 {
		return recorded
	}
	waits := c.queueRecords(loans)
	timeout := time.NewTimer(c.recordTimeout())
	defer timeout.Stop()
	for i, w := range waits {
		select {
		case recorded[i] = <-w.done:
		case <-timeout.C:
			return recorded
		}
	}
	return recorded
}

func (c *Controller) recordTimeout() time.Duration {
	return time.Duration(recordFraction * float64(c.cfg.LendTimeout))
}

// queueRecords adds loans to the next message to the slots.
func (c *Controller) queueRecords(loans []loanMade) []waitingLoan {
	c.mu.Lock()
	defer c.mu.Unlock()
	var waits []waitingLoan
	for _, l := range loans {
		waits = append(waits, waitingLoan{loan: l, done: make(chan bool, 1)})
	}
	c.unrecorded = append(c.unrecorded, waits...)
	if !c.recording {
		c.recording = true
		go c.sendRecords()
	}
	return waits
}

// sendRecords sends one message after another until no loan waits.
func (c *Controller) sendRecords() {
	for {
		round := c.nextRecords()
		if round == nil {
			return
		}
		round.run()
	}
}

// recordRound is one message with records to all slots.
type recordRound struct {
	c       *Controller
	req     *quotav1.RecordLoansRequest
	waiting map[int][]waitingLoan // by index of the record
	acks    []int
}

// nextRecords takes the waiting loans into one round, with one record for each account, and records them in the own
// book. It returns nil when none waits.
func (c *Controller) nextRecords() *recordRound {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unrecorded) == 0 {
		c.recording = false
		return nil
	}
	r := &recordRound{c: c, req: &quotav1.RecordLoansRequest{DataCentre: c.cfg.DataCentre}, waiting: map[int][]waitingLoan{}}
	index := map[loanMade]int{}
	for _, w := range c.unrecorded {
		i, ok := index[w.loan]
		if !ok {
			rec, held := c.holder.Record(c.now(), w.loan.part, w.loan.term, w.loan.account)
			if !held {
				w.done <- false
				continue
			}
			i = len(r.req.Records)
			index[w.loan] = i
			r.req.Records = append(r.req.Records, toLoanRecord(w.loan.part, rec))
		}
		r.waiting[i] = append(r.waiting[i], w)
	}
	c.unrecorded = nil
	r.acks = make([]int, len(r.req.Records))
	r.count(c.recordHere(r.req))
	return r
}

// recordHere puts records into the own book. c.mu is held.
func (c *Controller) recordHere(req *quotav1.RecordLoansRequest) []bool {
	accepted := make([]bool, len(req.Records))
	for i, rec := range req.Records {
		part, r := fromLoanRecord(rec)
		accepted[i] = c.book.Record(c.now(), part, r) == nil
	}
	return accepted
}

// count adds one slot's answer, and tells the loans that have enough.
func (r *recordRound) count(accepted []bool) {
	for i, ok := range accepted {
		if !ok || i >= len(r.acks) {
			continue
		}
		if r.acks[i]++; r.acks[i] == quota.WriteQuorum(r.c.cfg.Slots) {
			for _, w := range r.waiting[i] {
				w.done <- true
			}
			delete(r.waiting, i)
		}
	}
}

// run sends the message to the other slots and returns when every loan is recorded or the time is over.
func (r *recordRound) run() {
	ctx, cancel := context.WithTimeout(context.Background(), r.c.recordTimeout())
	time.AfterFunc(r.c.recordTimeout(), cancel) // slower slots get the message too
	others := r.c.otherSlots()
	answers := make(chan []bool, len(others))
	for _, in := range others {
		go func() { answers <- r.c.sendRecord(ctx, in, r.req) }()
	}
	for range others {
		if len(r.waiting) == 0 {
			return
		}
		r.count(<-answers)
	}
	for _, list := range r.waiting {
		for _, w := range list {
			r.c.metrics.recordFailed.Inc()
			w.done <- false
		}
	}
}

func (c *Controller) sendRecord(ctx context.Context, in member.Instance, req *quotav1.RecordLoansRequest) []bool {
	conn, err := c.dial.Conn(in.PeerAddr)
	if err != nil {
		return nil
	}
	resp, err := quotav1.NewQuotaClient(conn).RecordLoans(ctx, req)
	if err != nil {
		return nil
	}
	return resp.Accepted
}

// otherSlots returns the occupants of the cell's other slots.
func (c *Controller) otherSlots() []member.Instance {
	var out []member.Instance
	for slot := range c.cfg.Slots {
		if in, ok := c.table.AtSlot(c.cfg.DataCentre, slot); ok && slot != c.cfg.Slot {
			out = append(out, in)
		}
	}
	return out
}

// learn starts reading the books for a part that was newly taken, unless it is under way. c.mu is held.
func (c *Controller) learn(part int) {
	term, ok := c.holder.Learning(c.now(), part)
	if !ok || !c.keepsBook() || c.learning[part] == term {
		return
	}
	c.learning[part] = term
	tried := make(chan struct{})
	c.tried[part] = tried
	go c.readBooks(part, term, tried)
}

// readBooks reads until it succeeds, the part is lost, or the loans of earlier holders have ended. tried is closed
// after the first read.
func (c *Controller) readBooks(part int, term uint64, tried chan struct{}) {
	for first := true; ; first = false {
		records, err := c.readQuorum(part, term)
		c.mu.Lock()
		if err == nil {
			c.holder.Learn(c.now(), part, term, records)
			c.metrics.booksRead.Inc()
		}
		c.observe(part)
		now, still := c.holder.Learning(c.now(), part)
		c.mu.Unlock()
		if first {
			close(tried)
		}
		if err == nil || !still || now != term {
			return
		}
		klog.V(4).InfoS("Loan books not read", "part", part, "err", err)
		time.Sleep(learnPause)
	}
}

var errNoReadQuorum = errors.New("too few slots gave out their loan books")

// readQuorum returns the records of ReadQuorum slots, which have promised the term.
func (c *Controller) readQuorum(part int, term uint64) ([]quota.LoanRecord, error) {
	c.mu.Lock()
	records, err := c.book.Promise(c.now(), part, term)
	c.mu.Unlock()
	have := 0
	if err == nil {
		have++
	}
	ctx, cancel := context.WithTimeout(context.Background(), learnTimeout)
	defer cancel()
	others := c.otherSlots()
	answers := make(chan *quotav1.PromiseLoansResponse, len(others))
	for _, in := range others {
		go func() { answers <- c.askPromise(ctx, in, part, term) }()
	}
	for range others {
		if have >= quota.ReadQuorum(c.cfg.Slots) {
			break
		}
		if resp := <-answers; resp != nil {
			have++
			records = append(records, fromLoanRecords(resp.Records)...)
		}
	}
	if have < quota.ReadQuorum(c.cfg.Slots) {
		return nil, errNoReadQuorum
	}
	return records, nil
}

// askPromise returns nil when the slot did not promise.
func (c *Controller) askPromise(ctx context.Context, in member.Instance, part int, term uint64) *quotav1.PromiseLoansResponse {
	conn, err := c.dial.Conn(in.PeerAddr)
	if err != nil {
		return nil
	}
	req := &quotav1.PromiseLoansRequest{DataCentre: c.cfg.DataCentre, Part: int32(part), Term: term}
	resp, err := quotav1.NewQuotaClient(conn).PromiseLoans(ctx, req)
	if err != nil {
		return nil
	}
	return resp
}

// awaitBooks waits for the first read of the books of a part that was newly taken. It reports whether it waited.
func (c *Controller) awaitBooks(ctx context.Context, part int) bool {
	c.mu.Lock()
	tried := c.tried[part]
	_, learning := c.holder.Learning(c.now(), part)
	c.mu.Unlock()
	if tried == nil || !learning {
		return false
	}
	select {
	case <-tried:
	case <-ctx.Done():
	}
	return true
}

// RecordLoans implements quotav1.QuotaServer.
func (s *server) RecordLoans(_ context.Context, req *quotav1.RecordLoansRequest) (*quotav1.RecordLoansResponse, error) {
	c := s.c
	if req.DataCentre != c.cfg.DataCentre {
		return nil, errOtherDataCentre
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return &quotav1.RecordLoansResponse{Accepted: c.recordHere(req)}, nil
}

// PromiseLoans implements quotav1.QuotaServer.
func (s *server) PromiseLoans(_ context.Context, req *quotav1.PromiseLoansRequest) (*quotav1.PromiseLoansResponse, error) {
	c := s.c
	if req.DataCentre != c.cfg.DataCentre {
		return nil, errOtherDataCentre
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	records, err := c.book.Promise(c.now(), int(req.Part), req.Term)
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	resp := &quotav1.PromiseLoansResponse{}
	for _, r := range records {
		resp.Records = append(resp.Records, toLoanRecord(int(req.Part), r))
	}
	return resp, nil
}
