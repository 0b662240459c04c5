package config

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
)

const (
	// maxPageRecords is the maximum number of records of one read of the log.
	maxPageRecords = 256
	// logRetryDelay is the mean retry delay after a failed call to the log.
	logRetryDelay = 500 * time.Millisecond
)

// followLog reads the log until ctx ends.
func (c *Controller) followLog(ctx context.Context) {
	for ctx.Err() == nil {
		caughtUp, err := c.readLog(ctx)
		switch {
		case err != nil:
			c.metrics.logErrors.WithLabelValues("read").Inc()
			klog.V(2).InfoS("Failed to read the log", "err", err)
			sleep(ctx, c.jitter(logRetryDelay))
		case caughtUp && !c.isLogFollower():
			c.waitForPoll(ctx)
		}
	}
}

// waitForPoll waits until the next poll of an instance that is not a log follower, or until c.readNow requests a read.
func (c *Controller) waitForPoll(ctx context.Context) {
	t := time.NewTimer(c.jitter(c.cfg.PollInterval))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-c.readNow:
	case <-t.C:
	}
}

// isLogFollower reports whether this instance is one of its data centre's log followers, the first LogFollowers
// instances in hash order. Each instance decides by its own membership table, so that the number of followers may
// temporarily deviate while tables differ.
func (c *Controller) isLogFollower() bool {
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

// readLog reads and applies one page of the log. It reports whether the end of the log was reached.
func (c *Controller) readLog(ctx context.Context) (bool, error) {
	c.mu.Lock()
	from := int64(c.state.NextOffset())
	c.mu.Unlock()
	wait := c.cfg.LongPollTimeout
	if !c.isLogFollower() {
		wait = 0
	}
	readCtx, cancel := context.WithTimeout(ctx, wait+c.cfg.CallTimeout)
	defer cancel()
	page, err := c.log.Read(readCtx, Stream, from, maxPageRecords, wait)
	if err != nil {
		return false, err
	}
	caughtUp := false
	c.update(func(s *State) {
		s.SetFirstOffset(uint64(page.First))
		for _, r := range page.Records {
			record := c.decode(r)
			s.Apply(uint64(r.Offset), record)
			c.markLogged(record)
		}
		caughtUp = int64(s.NextOffset()) >= page.End
		if caughtUp && (c.reconciled || len(c.neighbours()) == 0) {
			s.MarkEmptyTeamsExact()
		}
	})
	return caughtUp, nil
}

// decode decodes a record of the log. For one that can't be decoded it returns an empty record, so that every reader
// skips that offset.
func (c *Controller) decode(r Record) *configv1.Record {
	out := &configv1.Record{}
	if err := proto.Unmarshal(r.Data, out); err != nil {
		c.metrics.unreadable.Inc()
		klog.ErrorS(err, "Cannot decode a record of the log; skipping it", "stream", Stream, "offset", r.Offset)
		return &configv1.Record{}
	}
	return out
}

// markLogged records that the log holds a new record of a team's state or of a drain. c.mu must be held.
func (c *Controller) markLogged(r *configv1.Record) {
	c.unconfirmed.confirm(r)
	switch k := r.GetKind().(type) {
	case *configv1.Record_Edit:
		c.lastLogged[k.Edit.Team] = time.Now()
	case *configv1.Record_Copy:
		c.lastLogged[k.Copy.GetState().GetTeam()] = time.Now()
	case *configv1.Record_Drain:
		c.lastLogged[""] = time.Now()
	}
}

// checksPerRefresh is the mean number of age checks in each RepublishAge.
const checksPerRefresh = 10

// refreshLoop appends live state again before its records expire. The checks of the instances are jittered, so that
// usually one instance appends a copy and the others read it before they would append their own.
func (c *Controller) refreshLoop(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, c.jitter(c.cfg.RepublishAge/checksPerRefresh))
		if !c.isLogFollower() {
			continue
		}
		c.mu.Lock()
		records := append(c.dueCopies(time.Now()), c.unconfirmed.due()...)
		c.mu.Unlock()
		if len(records) > 0 {
			_ = c.appendRecords(ctx, records) // appendRecords counts the error; the next check retries.
		}
	}
}

// dueCopies returns copies of the state of all teams, and of the drains, whose last record in the log is older than
// RepublishAge. c.mu must be held.
func (c *Controller) dueCopies(now time.Time) []*configv1.Record {
	var out []*configv1.Record
	for _, name := range c.state.Teams() {
		if !c.refreshDue(name, now) {
			continue
		}
		if r := c.state.CopyRecord(name); r != nil {
			out = append(out, r)
		}
	}
	if len(c.state.drains) > 0 && c.refreshDue("", now) {
		for _, d := range c.state.drains {
			out = append(out, &configv1.Record{Kind: &configv1.Record_Drain{Drain: d}})
		}
	}
	return out
}

// refreshDue reports whether the last record of a team is older than RepublishAge. A name without a known record starts
// to age now.
func (c *Controller) refreshDue(name string, now time.Time) bool {
	last, ok := c.lastLogged[name]
	if !ok {
		c.lastLogged[name] = now
		return false
	}
	return now.Sub(last) >= c.cfg.RepublishAge
}

// appendLoop appends the unlogged records to the log and retries until that succeeds. Duplicates are harmless, since
// withdrawals and drains are idempotent.
func (c *Controller) appendLoop(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		pending := c.unlogged
		c.mu.Unlock()
		if len(pending) == 0 {
			select {
			case <-ctx.Done():
			case <-c.appendReady:
			}
			continue
		}
		if err := c.appendRecords(ctx, pending); err != nil {
			sleep(ctx, c.jitter(logRetryDelay))
			continue
		}
		c.mu.Lock()
		c.unlogged = c.unlogged[len(pending):]
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

// queueAppend queues a record for appendLoop.
func (c *Controller) queueAppend(r *configv1.Record) {
	c.mu.Lock()
	c.unlogged = append(c.unlogged, r)
	c.mu.Unlock()
	signal(c.appendReady)
}

// signal sends on a channel with a buffer of one unless a signal is pending already.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
