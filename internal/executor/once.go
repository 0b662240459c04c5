package executor

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	"github.com/berylpond/berylpond/internal/cell"
	"github.com/berylpond/berylpond/internal/engine"
	"github.com/berylpond/berylpond/internal/failpoint"
	"github.com/berylpond/berylpond/internal/intent"
	"github.com/berylpond/berylpond/internal/program"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	// maxStoredOutcomeBytes bounds the response that is stored to answer repeated requests.
	maxStoredOutcomeBytes = 64 << 10
	// outcomeTimeout bounds the wait for the outcome of an earlier request with the same id, which is polled at
	// outcomePollInterval.
	outcomeTimeout      = 1500 * time.Millisecond
	outcomePollInterval = 100 * time.Millisecond
	// intentTimeout bounds the append to the log, after which a claimed request is sent with only the cell's claim.
	intentTimeout = 300 * time.Millisecond
)

// ClaimID returns the id under which a request is claimed. Equal keys of different accounts have different ids.
func ClaimID(a *peerv1.Account, key string) string { return a.Team + "/" + a.Name + "/" + key }

// runAtMostOnce runs a request that must not be repeated at most once per idempotency key.
func (x *Executor) runAtMostOnce(ctx context.Context, r *peerv1.CallRequest, emit EmitFunc, run func(context.Context, EmitFunc) error) error {
	id := ClaimID(r.Account, r.IdempotencyKey)
	digest := program.Digest(append([]byte(r.Method+" "+r.Path+"?"+r.Query+"\n"), r.Body...))
	started := time.Now()
	cl, outcome, err := x.claim(ctx, id)
	if err != nil {
		return err
	}
	if cl == nil {
		return replayOutcome(outcome, digest, emit)
	}
	x.observe("claim", started)
	// The log remembers ids for longer than the cell.
	if s := x.deps.Intents.Lookup(id); s.MayHaveRun {
		cl.Settle(ctx, s.Outcome)
		return replayOutcome(s.Outcome, digest, emit)
	}
	if err := x.writeIntent(ctx, id, cl); err != nil {
		cl.Withdraw(ctx)
		return err
	}
	return x.runClaimed(ctx, cl, id, digest, emit, run)
}

// writeIntent appends the intent to the log. While the log is unavailable, the claim granted by the cell's majority
// suffices and the intent is queued.
func (x *Executor) writeIntent(ctx context.Context, id string, cl *cell.Claim) error {
	if err := failpoint.Hit("intent.before"); err != nil {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonClaimUnavailable, retryAfterUnavailable, "%v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	if _, err := x.deps.IntentLog.Append(ctx, &journalv1.Record{Kind: intent.KindIntent, Key: id}); err != nil {
		klog.V(1).InfoS("Intent is not durable yet; it is queued for the log", "err", err)
		return nil
	}
	cl.MarkDurable()
	return failpoint.Hit("intent.after")
}

func (x *Executor) runClaimed(ctx context.Context, cl *cell.Claim, id, digest string, emit EmitFunc, run func(context.Context, EmitFunc) error) error {
	recorded := &peerv1.Outcome{RequestDigest: digest}
	if !cl.Valid() {
		cl.Withdraw(ctx)
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonClaimUnavailable, retryAfterUnavailable,
			"the claim ran out before the request was sent")
	}
	err := run(ctx, func(ev *peerv1.CallEvent) error {
		recordEvent(recorded, ev)
		if recorded.Whole {
			// Stored before the caller sees the end of the response, so that an immediate repeat gets the outcome.
			x.storeOutcome(ctx, cl, id, recorded)
		}
		return emit(ev)
	})
	switch {
	case recorded.Whole:
	case err != nil && verdict.From(err).Verdict == verdict.NotRun:
		x.enqueueRecord(&journalv1.Record{Kind: intent.KindWithdrawn, Key: id})
		cl.Withdraw(ctx)
	default:
		// The outcome is unknown: the request may have run, so it must never be sent again.
		cl.Settle(ctx, nil)
	}
	return err
}

// storeOutcome stores the outcome of a claimed request in the cell and on the log.
func (x *Executor) storeOutcome(ctx context.Context, cl *cell.Claim, id string, recorded *peerv1.Outcome) {
	raw, err := proto.Marshal(recorded)
	if err != nil {
		klog.ErrorS(err, "Could not encode the outcome of a claimed request; it is stored as unknown")
	}
	cl.Settle(ctx, raw)
	x.enqueueRecord(&journalv1.Record{Kind: intent.KindOutcome, Key: id, Payload: raw})
}

// enqueueRecord queues a record for the log without waiting until it is durable.
func (x *Executor) enqueueRecord(rec *journalv1.Record) {
	if err := x.deps.IntentLog.Enqueue(rec); err != nil {
		klog.ErrorS(err, "Could not queue a record of a claimed request for the log", "kind", rec.Kind)
	}
}

// recordEvent adds an event of the response to the outcome that is stored for repeated requests.
func recordEvent(out *peerv1.Outcome, ev *peerv1.CallEvent) {
	switch e := ev.Event.(type) {
	case *peerv1.CallEvent_Start:
		out.Start = e.Start
	case *peerv1.CallEvent_Delta:
		recordDelta(out, e.Delta)
	case *peerv1.CallEvent_End:
		out.End, out.Whole = e.End, true
	}
}

func recordDelta(out *peerv1.Outcome, d *peerv1.Delta) {
	if len(out.Data)+len(out.ToolCalls)+len(d.Data)+len(d.ToolCalls) > maxStoredOutcomeBytes {
		out.TooLarge = true
		return
	}
	out.Data = append(out.Data, d.Data...)
	if len(d.ToolCalls) == 0 {
		return
	}
	var all, part engine.Message
	if (len(out.ToolCalls) > 0 && json.Unmarshal(out.ToolCalls, &all) != nil) || json.Unmarshal(d.ToolCalls, &part) != nil || !all.AppendDelta(&part) {
		out.TooLarge = true
		return
	}
	out.ToolCalls = all.AsDelta().Marshal()
}

// claim returns a claim, or no claim and the outcome of an earlier request with the same id; an unknown outcome is
// empty. It waits for the outcome of a request that has just ended or is about to end, because the cell distributes
// outcomes with its heartbeats.
func (x *Executor) claim(ctx context.Context, id string) (*cell.Claim, []byte, error) {
	deadline := time.Now().Add(outcomeTimeout)
	for {
		cl, outcome, final, err := x.tryClaim(ctx, id)
		if final || time.Now().After(deadline) || ctx.Err() != nil {
			return cl, outcome, err
		}
		select {
		case <-time.After(outcomePollInterval):
		case <-ctx.Done():
		}
	}
}

// tryClaim makes one attempt of claim. final is false while an outcome may still arrive. An outcome reaches the cell
// before the log. A request whose intent is on the log may have run, even if the cell's response does not say so.
func (x *Executor) tryClaim(ctx context.Context, id string) (cl *cell.Claim, outcome []byte, final bool, err error) {
	known := x.deps.Intents.Lookup(id)
	if len(known.Outcome) > 0 {
		return nil, known.Outcome, true, nil
	}
	cl, err = x.deps.Claimer.Claim(ctx, id)
	var dup *cell.DuplicateError
	switch {
	case err == nil:
		return cl, nil, true, nil
	case errors.As(err, &dup):
		return nil, dup.Outcome, dup.Settled, nil
	case known.MayHaveRun:
		return nil, nil, false, nil
	}
	return nil, nil, true, err
}

// replayOutcome answers a request whose id was used before with the recorded outcome.
func replayOutcome(outcome []byte, digest string, emit EmitFunc) error {
	if len(outcome) == 0 {
		return verdict.Fail(http.StatusConflict, verdict.ReasonDuplicate,
			"a request with this Idempotency-Key was sent before and its outcome is not known; it will not be sent again")
	}
	out := &peerv1.Outcome{}
	if err := proto.Unmarshal(outcome, out); err != nil {
		return verdict.Fail(http.StatusInternalServerError, verdict.ReasonInternal, "the recorded outcome cannot be decoded")
	}
	if out.RequestDigest != digest {
		return verdict.Refuse(http.StatusUnprocessableEntity, verdict.ReasonDuplicate, 0,
			"this Idempotency-Key was used for a different request")
	}
	if out.TooLarge {
		return &verdict.Error{Verdict: verdict.Ran, Reason: verdict.ReasonDuplicate, Status: http.StatusConflict,
			Detail: "the request has run; its answer was too large to keep"}
	}
	if err := emit(&peerv1.CallEvent{Event: &peerv1.CallEvent_Start{Start: out.Start}}); err != nil {
		return err
	}
	if err := emit(&peerv1.CallEvent{Event: &peerv1.CallEvent_Delta{Delta: &peerv1.Delta{Data: out.Data, ToolCalls: out.ToolCalls}}}); err != nil {
		return err
	}
	end := proto.Clone(out.End).(*peerv1.End)
	end.Replayed = true
	return emit(endEvent(end))
}
