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
	// minRecordingSlots is the smallest size of a cell in which loans are recorded. In a smaller cell the loss of one
	// slot would stop all lending, so there a new holder waits until all loans have expired instead.
	minRecordingSlots = 3
	// recoveryTimeout bounds one read of the loan stores.
	recoveryTimeout = 200 * time.Millisecond
	// recoveryRetryDelay is the delay between a failed read and the next one.
	recoveryRetryDelay = 50 * time.Millisecond
	// recordFraction is the fraction of Config.LendTimeout available for recording a loan.
	recordFraction = 0.75
)

var errOtherDataCentre = status.Error(codes.FailedPrecondition, "the sender is in another data centre")

// recordsLoans reports whether this cell records its loans.
func (c *Controller) recordsLoans() bool {
	return c.cfg.Slots >= minRecordingSlots && len(c.cfg.DataCentres) > 1
}

// loanKey identifies a loan that has to be recorded before its grant is sent to the borrower.
type loanKey struct {
	shard   int
	term    uint64
	account string
}

// queuedLoan is a loan that waits to be recorded.
type queuedLoan struct {
	loan loanKey
	done chan bool
}

// record reports, for each loan, whether a write quorum of slots recorded it before the timeout.
func (c *Controller) record(loans []loanKey) []bool {
	recorded := make([]bool, len(loans))
	if len(loans) == 0 {
		return recorded
	}
	queued := c.queueRecords(loans)
	timeout := time.NewTimer(c.recordTimeout())
	defer timeout.Stop()
	for i, w := range queued {
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

// queueRecords adds loans to the next batch of records.
func (c *Controller) queueRecords(loans []loanKey) []queuedLoan {
	c.mu.Lock()
	defer c.mu.Unlock()
	var queued []queuedLoan
	for _, l := range loans {
		queued = append(queued, queuedLoan{loan: l, done: make(chan bool, 1)})
	}
	c.unrecorded = append(c.unrecorded, queued...)
	if !c.recording {
		c.recording = true
		go c.sendRecords()
	}
	return queued
}

// sendRecords sends batches of records until no loan is queued.
func (c *Controller) sendRecords() {
	for {
		batch := c.nextRecords()
		if batch == nil {
			return
		}
		batch.run()
	}
}

// recordBatch is one RecordLoans message, which is sent to all slots of the cell.
type recordBatch struct {
	c       *Controller
	req     *quotav1.RecordLoansRequest
	waiting map[int][]queuedLoan // by index of the record
	acks    []int
}

// nextRecords collects the queued loans into one batch, with one record for each account, and records them in this
// slot's own loan store. It returns nil if no loan is queued.
func (c *Controller) nextRecords() *recordBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unrecorded) == 0 {
		c.recording = false
		return nil
	}
	r := &recordBatch{c: c, req: &quotav1.RecordLoansRequest{DataCentre: c.cfg.DataCentre}, waiting: map[int][]queuedLoan{}}
	index := map[loanKey]int{}
	for _, w := range c.unrecorded {
		i, ok := index[w.loan]
		if !ok {
			rec, held := c.holder.LoanRecord(c.now(), w.loan.shard, w.loan.term, w.loan.account)
			if !held {
				w.done <- false
				continue
			}
			i = len(r.req.Records)
			index[w.loan] = i
			r.req.Records = append(r.req.Records, toLoanRecord(w.loan.shard, rec))
		}
		r.waiting[i] = append(r.waiting[i], w)
	}
	c.unrecorded = nil
	r.acks = make([]int, len(r.req.Records))
	r.count(c.recordLocally(r.req))
	return r
}

// recordLocally writes records to this slot's own loan store. c.mu must be held.
func (c *Controller) recordLocally(req *quotav1.RecordLoansRequest) []bool {
	accepted := make([]bool, len(req.Records))
	for i, rec := range req.Records {
		shard, r := fromLoanRecord(rec)
		accepted[i] = c.loanStore.Record(c.now(), shard, r) == nil
	}
	return accepted
}

// count adds one slot's acknowledgements, and completes the loans that have reached a write quorum.
func (r *recordBatch) count(accepted []bool) {
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

// run sends the batch to the other slots and returns when every loan is recorded or the timeout has passed.
func (r *recordBatch) run() {
	ctx, cancel := context.WithTimeout(context.Background(), r.c.recordTimeout())
	time.AfterFunc(r.c.recordTimeout(), cancel) // not cancelled on return, so that slow slots still receive the records
	others := r.c.otherSlots()
	responses := make(chan []bool, len(others))
	for _, in := range others {
		go func() { responses <- r.c.sendRecord(ctx, in, r.req) }()
	}
	for range others {
		if len(r.waiting) == 0 {
			return
		}
		r.count(<-responses)
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

// otherSlots returns the occupants of the other slots of the cell.
func (c *Controller) otherSlots() []member.Instance {
	var out []member.Instance
	for slot := range c.cfg.Slots {
		if in, ok := c.table.AtSlot(c.cfg.DataCentre, slot); ok && slot != c.cfg.Slot {
			out = append(out, in)
		}
	}
	return out
}

// startRecovery starts loan recovery for a newly acquired shard unless it was already started. c.mu must be held.
func (c *Controller) startRecovery(shard int) {
	term, ok := c.holder.RecoveringLoans(c.now(), shard)
	if !ok || !c.recordsLoans() || c.recovering[shard] == term {
		return
	}
	c.recovering[shard] = term
	firstRead := make(chan struct{})
	c.firstRead[shard] = firstRead
	go c.recoverLoans(shard, term, firstRead)
}

// recoverLoans reads the loan stores until it succeeds, the shard's lease is lost, or the loans of earlier holders have
// expired. firstRead is closed after the first attempt.
func (c *Controller) recoverLoans(shard int, term uint64, firstRead chan struct{}) {
	for first := true; ; first = false {
		records, err := c.readQuorum(shard, term)
		c.mu.Lock()
		if err == nil {
			c.holder.RecoverLoans(c.now(), shard, term, records)
			c.metrics.loansRecovered.Inc()
		}
		c.observe(shard)
		currentTerm, recovering := c.holder.RecoveringLoans(c.now(), shard)
		c.mu.Unlock()
		if first {
			close(firstRead)
		}
		if err == nil || !recovering || currentTerm != term {
			return
		}
		klog.V(4).InfoS("Loan recovery failed; retrying", "part", shard, "err", err)
		time.Sleep(recoveryRetryDelay)
	}
}

var errNoReadQuorum = errors.New("no read quorum of slots returned loan records")

// readQuorum returns the records of at least ReadQuorum slots, all of which have promised the term.
func (c *Controller) readQuorum(shard int, term uint64) ([]quota.LoanRecord, error) {
	c.mu.Lock()
	records, err := c.loanStore.Promise(c.now(), shard, term)
	c.mu.Unlock()
	have := 0
	if err == nil {
		have++
	}
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	others := c.otherSlots()
	responses := make(chan *quotav1.PromiseLoansResponse, len(others))
	for _, in := range others {
		go func() { responses <- c.requestPromise(ctx, in, shard, term) }()
	}
	for range others {
		if have >= quota.ReadQuorum(c.cfg.Slots) {
			break
		}
		if resp := <-responses; resp != nil {
			have++
			records = append(records, fromLoanRecords(resp.Records)...)
		}
	}
	if have < quota.ReadQuorum(c.cfg.Slots) {
		return nil, errNoReadQuorum
	}
	return records, nil
}

// requestPromise returns nil if the slot did not promise the term.
func (c *Controller) requestPromise(ctx context.Context, in member.Instance, shard int, term uint64) *quotav1.PromiseLoansResponse {
	conn, err := c.dial.Conn(in.PeerAddr)
	if err != nil {
		return nil
	}
	req := &quotav1.PromiseLoansRequest{DataCentre: c.cfg.DataCentre, Part: int32(shard), Term: term}
	resp, err := quotav1.NewQuotaClient(conn).PromiseLoans(ctx, req)
	if err != nil {
		return nil
	}
	return resp
}

// awaitRecovery waits for the first attempt at loan recovery of a newly acquired shard. It reports whether it waited.
func (c *Controller) awaitRecovery(ctx context.Context, shard int) bool {
	c.mu.Lock()
	firstRead := c.firstRead[shard]
	_, recovering := c.holder.RecoveringLoans(c.now(), shard)
	c.mu.Unlock()
	if firstRead == nil || !recovering {
		return false
	}
	select {
	case <-firstRead:
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
	return &quotav1.RecordLoansResponse{Accepted: c.recordLocally(req)}, nil
}

// PromiseLoans implements quotav1.QuotaServer.
func (s *server) PromiseLoans(_ context.Context, req *quotav1.PromiseLoansRequest) (*quotav1.PromiseLoansResponse, error) {
	c := s.c
	if req.DataCentre != c.cfg.DataCentre {
		return nil, errOtherDataCentre
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	records, err := c.loanStore.Promise(c.now(), int(req.Part), req.Term)
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	resp := &quotav1.PromiseLoansResponse{}
	for _, r := range records {
		resp.Records = append(resp.Records, toLoanRecord(int(req.Part), r))
	}
	return resp, nil
}
