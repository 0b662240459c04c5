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

// ConflictError says that an edit did not count because another one of the same base version came first.
type ConflictError struct {
	Team string
	// Base is the version that the lost edit was based on.
	Base uint64
	// Version and Author are those of the document in force.
	Version uint64
	Author  string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version_conflict: %s is at version %d by %s, not at %d", e.Team, e.Version, e.Author, e.Base)
}

// Unwrap returns the verdict: the edit had no effect.
func (e *ConflictError) Unwrap() error {
	return verdict.Refuse(http.StatusConflict, verdict.ReasonVersionConflict, 0, "%s", e.Error())
}

// Failpoints around the append of an edit.
const (
	failpointApplyBefore = "config.apply.before"
	failpointApplyAfter  = "config.apply.after"
)

// Apply makes doc the team's document if base is its current version, and returns the new version once the log shows
// that the edit counted. Run has to be running.
//
// A lost race is a *ConflictError. An invalid document is a document.Problems. If the log gives no answer in time the
// error is a *verdict.Error with MayHaveRun: the edit may count later, and History shows whether it did.
func (c *Controller) Apply(ctx context.Context, team string, base uint64, doc []byte, author string) (version uint64, err error) {
	defer func() { c.metrics.edits.WithLabelValues(resultOf(err)).Inc() }()
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
	if err := c.fill(edit, doc); err != nil {
		return 0, err
	}
	out, err := c.commit(ctx, edit)
	if err != nil {
		return 0, err
	}
	if !out.Accepted {
		return 0, &ConflictError{Team: team, Base: base, Version: out.Version, Author: out.Author}
	}
	return out.Version, nil
}

func resultOf(err error) string {
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
		return document.Problems{{Line: 1, Path: "team", Text: fmt.Sprintf("is %q, but the document of %q is edited", d.Team, team)}}
	}
	return nil
}

// fill sets the document of an edit, as a splice where its base is at hand. It refuses an edit that has lost already.
func (c *Controller) fill(edit *configv1.Edit, doc []byte) error {
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

// commit appends the edit until the log shows its outcome. The same edit may come to stand in the log several times;
// only the first counts.
func (c *Controller) commit(ctx context.Context, edit *configv1.Edit) (Outcome, error) {
	record := &configv1.Record{Kind: &configv1.Record_Edit{Edit: edit}}
	for {
		appendErr := c.appendRecords(ctx, []*configv1.Record{record})
		if err := failpoint.Hit(failpointApplyAfter); err != nil {
			appendErr = err
		}
		signal(c.wake)
		patience := c.cfg.ApplyTimeout
		if appendErr != nil {
			patience = c.jitter(logRetry)
		}
		if out, ok := c.awaitOutcome(ctx, edit, patience); ok {
			return out, nil
		}
		if ctx.Err() != nil {
			return Outcome{}, verdict.Fail(http.StatusServiceUnavailable, verdict.ReasonPlatformAway,
				"the log did not answer in time; edit %s may still come into force", edit.EditId)
		}
		c.metrics.appendRetries.Inc()
	}
}

// awaitOutcome waits until the log shows what became of an edit.
func (c *Controller) awaitOutcome(ctx context.Context, edit *configv1.Edit, patience time.Duration) (Outcome, bool) {
	t := time.NewTimer(patience)
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

// Withdraw withdraws a key for good. It is in force here when Withdraw returns, spreads between instances, and reaches
// the log as soon as that can be reached.
func (c *Controller) Withdraw(_ context.Context, team, keyID string) error {
	if team == "" || keyID == "" {
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "a team and a key id are needed")
	}
	var record *configv1.Record
	c.update(func(s *State) {
		record = s.Withdraw(&configv1.KeyWithdrawal{Team: team, KeyId: keyID, AtUnixMs: time.Now().UnixMilli()})
	})
	if record != nil {
		c.logLater(record)
	}
	return nil
}

// DrainBackend stops or resumes new work for a backend server, as Withdraw does for a key.
func (c *Controller) DrainBackend(_ context.Context, addr string, on bool) error {
	if addr == "" {
		return verdict.Refuse(http.StatusBadRequest, verdict.ReasonMalformed, 0, "the address of a backend server is needed")
	}
	var record *configv1.Record
	c.update(func(s *State) { record = s.Drain(addr, on) })
	if record != nil {
		c.logLater(record)
	}
	return nil
}
