package config

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
)

const (
	// pageRecords is the number of records that one read of the log asks for.
	pageRecords = 256
	// logRetry is the mean time between calls to the log while it fails.
	logRetry = 500 * time.Millisecond
)

// followLog reads the log until ctx ends.
func (c *Controller) followLog(ctx context.Context) {
	for ctx.Err() == nil {
		caughtUp, err := c.readLog(ctx)
		switch {
		case err != nil:
			c.metrics.logErrors.WithLabelValues("read").Inc()
			klog.V(2).InfoS("Reading the log failed", "err", err)
			sleep(ctx, c.jitter(logRetry))
		case caughtUp && !c.followsClosely():
			c.rest(ctx)
		}
	}
}

// rest waits for the next read of an instance that does not follow the log closely.
func (c *Controller) rest(ctx context.Context) {
	t := time.NewTimer(c.jitter(c.cfg.SlowPoll))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-c.wake:
	case <-t.C:
	}
}

// followsClosely reports whether this instance is one of its data centre's log followers: those that come first on the
// ring. Each decides by its own table; where tables differ, more or fewer follow closely for a while.
func (c *Controller) followsClosely() bool {
	self := c.table.Self()
	here := c.table.InDataCentre(self.DataCentre)
	ringOrder(here)
	for i, in := range here {
		if i >= c.cfg.LogFollowers {
			return false
		}
		if in.ID == self.ID {
			return true
		}
	}
	return true
}

// readLog applies one page. It reports whether the end of the log was reached.
func (c *Controller) readLog(ctx context.Context) (bool, error) {
	c.mu.Lock()
	from := int64(c.state.Next())
	c.mu.Unlock()
	wait := c.cfg.LogWait
	if !c.followsClosely() {
		wait = 0
	}
	readCtx, cancel := context.WithTimeout(ctx, wait+c.cfg.CallTimeout)
	defer cancel()
	page, err := c.log.Read(readCtx, Stream, from, pageRecords, wait)
	if err != nil {
		return false, err
	}
	caughtUp := false
	c.update(func(s *State) {
		s.Start(uint64(page.First))
		for _, r := range page.Records {
			record := c.decode(r)
			s.Apply(uint64(r.Offset), record)
			c.noteLogged(record)
		}
		caughtUp = int64(s.Next()) >= page.End
		if caughtUp && (c.reconciled || len(c.neighbours()) == 0) {
			s.Settle()
		}
	})
	return caughtUp, nil
}

// decode returns an empty record for one that cannot be read, so that its offset is passed over by all alike.
func (c *Controller) decode(r Record) *configv1.Record {
	out := &configv1.Record{}
	if err := proto.Unmarshal(r.Data, out); err != nil {
		c.metrics.unreadable.Inc()
		klog.ErrorS(err, "Record of the log cannot be read", "stream", Stream, "offset", r.Offset)
		return &configv1.Record{}
	}
	return out
}

// noteLogged notes that a team's state stands in the log anew. c.mu is held.
func (c *Controller) noteLogged(r *configv1.Record) {
	c.unseen.seen(r)
	switch k := r.GetKind().(type) {
	case *configv1.Record_Edit:
		c.refreshed[k.Edit.Team] = time.Now()
	case *configv1.Record_Copy:
		c.refreshed[k.Copy.GetState().GetTeam()] = time.Now()
	case *configv1.Record_Drain:
		c.refreshed[""] = time.Now()
	}
}

// refreshChecks is the number of times in RefreshEvery that the age of records is looked at.
const refreshChecks = 10

// refreshLoop appends live state again before its records expire. Instances look at different times, so that usually
// the first one's copy keeps the others from adding theirs.
func (c *Controller) refreshLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, c.jitter(c.cfg.RefreshEvery/refreshChecks))
		if !c.followsClosely() {
			continue
		}
		c.mu.Lock()
		records := append(c.dueCopies(time.Now()), c.unseen.due()...)
		c.mu.Unlock()
		if len(records) > 0 {
			_ = c.appendRecords(ctx, records) // Counted there; the next check tries again.
		}
	}
}

// dueCopies returns the records of all teams that were last logged too long ago. c.mu is held.
func (c *Controller) dueCopies(now time.Time) []*configv1.Record {
	var out []*configv1.Record
	for _, name := range c.state.Teams() {
		if !c.due(name, now) {
			continue
		}
		if r := c.state.Copy(name); r != nil {
			out = append(out, r)
		}
	}
	if len(c.state.drains) > 0 && c.due("", now) {
		for _, d := range c.state.drains {
			out = append(out, &configv1.Record{Kind: &configv1.Record_Drain{Drain: d}})
		}
	}
	return out
}

func (c *Controller) due(name string, now time.Time) bool {
	last, ok := c.refreshed[name]
	if !ok {
		c.refreshed[name] = now
		return false
	}
	return now.Sub(last) >= c.cfg.RefreshEvery
}

// appendLoop carries what took effect here without the log to the log, until it is there. Repeats do no harm.
func (c *Controller) appendLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		waiting := c.unlogged
		c.mu.Unlock()
		if len(waiting) == 0 {
			select {
			case <-ctx.Done():
			case <-c.append:
			}
			continue
		}
		if err := c.appendRecords(ctx, waiting); err != nil {
			sleep(ctx, c.jitter(logRetry))
			continue
		}
		c.mu.Lock()
		c.unlogged = c.unlogged[len(waiting):]
		c.mu.Unlock()
	}
}

func (c *Controller) appendRecords(ctx context.Context, records []*configv1.Record) error {
	data := make([][]byte, len(records))
	for i, r := range records {
		b, err := proto.Marshal(r)
		if err != nil {
			return err
		}
		data[i] = b
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	_, err := c.log.Append(ctx, Stream, data)
	if err != nil {
		c.metrics.logErrors.WithLabelValues("append").Inc()
	}
	return err
}

// logLater has a record appended as soon as the log can be reached.
func (c *Controller) logLater(r *configv1.Record) {
	c.mu.Lock()
	c.unlogged = append(c.unlogged, r)
	c.mu.Unlock()
	signal(c.append)
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
