package config

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
	"github.com/berylpond/berylpond/internal/document"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/verdict"
)

// ConflictError reports that an edit was rejected because its base is no longer the current version: another edit of
// the same base came first in the log.
type ConflictError struct {
	Team string
	// Base is the version that the rejected edit was based on.
	Base uint64
	// Version and Author are those of the current document.
	Version uint64
	Author  string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version_conflict: %s is at version %d by %s, not at %d", e.Team, e.Version, e.Author, e.Base)
}

// Unwrap returns the verdict, which says that the edit had no effect.
func (e *ConflictError) Unwrap() error {
	return verdict.Refuse(http.StatusConflict, verdict.ReasonVersionConflict, 0, "%s", e.Error())
}

// Failpoints around the append of an edit.
const (
	failpointApplyBefore = "config.apply.before"
	failpointApplyAfter  = "config.apply.after"
)

// Apply replaces the team's document by doc if base is the current version (optimistic concurrency control). It returns
// the new version once the log shows that the edit was accepted. Run must be running.
//
// If another edit of the same base was accepted first, the error is a *ConflictError; if the document is invalid, it is
// a document.Problems. If the log doesn't respond in time, it is a *verdict.Error with MayHaveRun: the edit may still
// be accepted later, and History shows whether it was.
func (c *Controller) Apply(ctx context.Context, team string, base uint64, doc []byte, author string) (version uint64, err error) {
	defer func() { c.metrics.edits.WithLabelValues(resultLabel(err)).Inc() }()
	if err := checkDocument(team, doc); err != nil {
		return 0, err
	}
	if err := failpoint.Hit(failpointApplyBefore); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ApplyTimeout)
	defer cancel()
	edit := &configv1.Edit{
		Team: team, BaseVersion: base, EditId: uuid.NewString(), Author: author, AtUnixMs: time.Now().UnixMilli(),
	}
	if err := c.fillDocument(edit, doc); err != nil {
		return 0, err
	}
	out, err := c.commitEdit(ctx, edit)
	if err != nil {
		return 0, err
	}
	if !out.Accepted {
		return 0, &ConflictError{Team: team, Base: base, Version: out.Version, Author: out.Author}
	}
	return out.Version, nil
}

func resultLabel(err error) string {
	if err == nil {
		return "accepted"
	}
	if _, ok := err.(document.Problems); ok {
		return "invalid"
	}
	return string(verdict.From(err).Reason)
}

func checkDocument(team string, doc []byte) error {
	d, err := document.Parse(doc)
	if err != nil {
		return err
	}
	if d.Team != team {
		return document.Problems{{Line: 1, Path: "team", Message: fmt.Sprintf("is %q, but the document of %q is edited", d.Team, team)}}
	}
	return nil
}

// fillDocument sets the document of an edit, as a splice if the base is the current version. It returns a ConflictError
// if the base is already out of date.
func (c *Controller) fillDocument(edit *configv1.Edit, doc []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	current, version := c.state.Document(edit.Team)
	if edit.BaseVersion < version {
		info := c.state.teams[edit.Team].info
		return &ConflictError{Team: edit.Team, Base: edit.BaseVersion, Version: version, Author: info.Author}
	}
	if edit.BaseVersion == version && version > 0 {
		edit.Splice = makeSplice(current, doc)
		return nil
	}
	edit.Document = doc
	return nil
}

// commitEdit appends the edit, with retries, until the log shows its outcome. Retries may leave several records of the
// same edit in the log; readers ignore all but the first.
func (c *Controller) commitEdit(ctx context.Context, edit *configv1.Edit) (Outcome, error) {
	record := &configv1.Record{Kind: &configv1.Record_Edit{Edit: edit}}
	for {
		appendErr := c.appendRecords(ctx, []*configv1.Record{record})
		if err := failpoint.Hit(failpointApplyAfter); err != nil {
			appendErr = err
		}
		signal(c.readNow)
		timeout := c.cfg.ApplyTimeout
		if appendErr != nil {
			timeout = c.jitter(logRetryDelay)
		}
		if out, ok := c.awaitOutcome(ctx, edit, timeout); ok {
			return out, nil
		}
		if ctx.Err() != nil {
			return Outcome{}, verdict.Fail(http.StatusServiceUnavailable, verdict.ReasonPlatformUnavailable,
				"the log did not answer in time; edit %s may still come into force", edit.EditId)
		}
		c.metrics.appendRetries.Inc()
	}
}

// awaitOutcome waits until the log shows whether an edit was accepted. It returns false on a timeout.
func (c *Controller) awaitOutcome(ctx context.Context, edit *configv1.Edit, timeout time.Duration) (Outcome, bool) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	for {
		c.mu.Lock()
		out, ok := c.state.Outcome(edit.Team, edit.EditId)
		progress := c.progress
		c.mu.Unlock()
		if ok {
			return out, true
		}
		select {
		case <-progress:
		case <-t.C:
			return Outcome{}, false
		case <-ctx.Done():
			return Outcome{}, false
		}
	}
}

// Withdraw revokes a key permanently. The withdrawal is in force on this instance when Withdraw returns. It is pushed
// to other instances and appended to the log as soon as the log is available.
func (c *Controller) Withdraw(_ context.Context, team, keyID string) error {
	if team == "" || keyID == "" {
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "a team and a key id are needed")
	}
	var record *configv1.Record
	c.update(func(s *State) {
		record = s.WithdrawKey(&configv1.KeyWithdrawal{Team: team, KeyId: keyID, AtUnixMs: time.Now().UnixMilli()})
	})
	if record != nil {
		c.queueAppend(record)
	}
	return nil
}

// SetBackendDrain starts or ends the drain of a backend server: a drained one gets no new work. The change propagates
// in the same manner as that of Withdraw.
func (c *Controller) SetBackendDrain(_ context.Context, addr string, on bool) error {
	if addr == "" {
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "the address of a backend server is needed")
	}
	var record *configv1.Record
	c.update(func(s *State) { record = s.SetDrain(addr, on) })
	if record != nil {
		c.queueAppend(record)
	}
	return nil
}
