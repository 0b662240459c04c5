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
	// maxKeptOutcome bounds the answer that is kept for repeated requests, in bytes.
	maxKeptOutcome = 64 << 10
	// outcomeWait bounds the wait for the outcome of an earlier request with the same id; outcomePause is the pause
	// between two looks for it.
	outcomeWait  = 1500 * time.Millisecond
	outcomePause = 100 * time.Millisecond
	// intentTimeout bounds the wait for the log before a claimed request is sent on the word of the cell alone.
	intentTimeout = 300 * time.Millisecond
)

// ClaimID returns the id under which a request is claimed. Keys of different accounts never meet.
func ClaimID(a *peerv1.Account, key string) string { return a.Team + "/" + a.Name + "/" + key }

// once runs a request that must not be repeated: at most once for its idempotency key.
func (x *Executor) once(ctx context.Context, r *peerv1.CallRequest, emit Emit, run func(context.Context, Emit) error) error {
	id := ClaimID(r.Account, r.IdempotencyKey)
	digest := program.Digest(append([]byte(r.Method+" "+r.Path+"?"+r.Query+"\n"), r.Body...))
	begun := time.Now()
	cl, outcome, err := x.claim(ctx, id)
	if err != nil {
		return err
	}
	if cl == nil {
		return repeated(outcome, digest, emit)
	}
	x.observe("claim", begun)
	// The cell may have forgotten an id that the log still has.
	if s := x.d.Intents.Lookup(id); s.Known {
		cl.Settle(ctx, s.Outcome)
		return repeated(s.Outcome, digest, emit)
	}
	if err := x.writeIntent(ctx, id, cl); err != nil {
		cl.Withdraw(ctx)
		return err
	}
	return x.runClaimed(ctx, cl, id, digest, emit, run)
}

// writeIntent puts the intent on the log. While the log is away the claim of the cell's majority stands alone and the
// intent is queued.
func (x *Executor) writeIntent(ctx context.Context, id string, cl *cell.Claim) error {
	if err := failpoint.Hit("intent.before"); err != nil {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonClaimUnavailable, retryConfiguration, "%v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	if _, err := x.d.Log.Append(ctx, &journalv1.Record{Kind: intent.KindIntent, Key: id}); err != nil {
		klog.V(1).InfoS("Intent is queued for the log", "err", err)
		return nil
	}
	cl.Durable()
	return failpoint.Hit("intent.after")
}

func (x *Executor) runClaimed(ctx context.Context, cl *cell.Claim, id, digest string, emit Emit, run func(context.Context, Emit) error) error {
	kept := &peerv1.Outcome{RequestDigest: digest}
	if !cl.Valid() {
		cl.Withdraw(ctx)
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonClaimUnavailable, retryConfiguration,
			"the claim ran out before the request was sent")
	}
	err := run(ctx, func(ev *peerv1.CallEvent) error {
		keep(kept, ev)
		if kept.Whole {
			// Before the caller has the answer's end, so that a request repeated right after it gets the outcome.
			x.settle(ctx, cl, id, kept)
		}
		return emit(ev)
	})
	switch {
	case kept.Whole:
	case err != nil && verdict.From(err).Verdict == verdict.NotRun:
		x.note(&journalv1.Record{Kind: intent.KindWithdrawn, Key: id})
		cl.Withdraw(ctx)
	default:
		// The outcome is unknown: the request may have run and never runs again.
		cl.Settle(ctx, nil)
	}
	return err
}

// settle keeps the outcome of a claimed request.
func (x *Executor) settle(ctx context.Context, cl *cell.Claim, id string, kept *peerv1.Outcome) {
	raw, err := proto.Marshal(kept)
	if err != nil {
		klog.ErrorS(err, "Outcome of a claimed request is not kept")
	}
	cl.Settle(ctx, raw)
	x.note(&journalv1.Record{Kind: intent.KindOutcome, Key: id, Payload: raw})
}

// note queues a record for the log without waiting for it.
func (x *Executor) note(rec *journalv1.Record) {
	if err := x.d.Log.Enqueue(rec); err != nil {
		klog.ErrorS(err, "Record of a claimed request is not kept", "kind", rec.Kind)
	}
}

// keep collects the answer for repeated requests.
func keep(k *peerv1.Outcome, ev *peerv1.CallEvent) {
	switch e := ev.Event.(type) {
	case *peerv1.CallEvent_Start:
		k.Start = e.Start
	case *peerv1.CallEvent_Delta:
		keepDelta(k, e.Delta)
	case *peerv1.CallEvent_End:
		k.End, k.Whole = e.End, true
	}
}

func keepDelta(k *peerv1.Outcome, d *peerv1.Delta) {
	if len(k.Data)+len(k.ToolCalls)+len(d.Data)+len(d.ToolCalls) > maxKeptOutcome {
		k.TooLarge = true
		return
	}
	k.Data = append(k.Data, d.Data...)
	if len(d.ToolCalls) == 0 {
		return
	}
	var all, part engine.Message
	if (len(k.ToolCalls) > 0 && json.Unmarshal(k.ToolCalls, &all) != nil) || json.Unmarshal(d.ToolCalls, &part) != nil || !all.Add(&part) {
		k.TooLarge = true
		return
	}
	k.ToolCalls = all.Delta().Marshal()
}

// claim returns the claim, or no claim and the outcome of an earlier request with the id; the outcome is empty when it is
// not known. The outcome of a request that has just ended, or is about to, is waited for: the cell spreads it with its
// heartbeats.
func (x *Executor) claim(ctx context.Context, id string) (*cell.Claim, []byte, error) {
	giveUp := time.Now().Add(outcomeWait)
	for {
		cl, outcome, final, err := x.tryClaim(ctx, id)
		if final || time.Now().After(giveUp) || ctx.Err() != nil {
			return cl, outcome, err
		}
		select {
		case <-time.After(outcomePause):
		case <-ctx.Done():
		}
	}
}

// tryClaim asks once. final is set unless an outcome may still come. The cell hears an outcome before the log does. A
// request whose intent is on the log may have run, whatever the cell says.
func (x *Executor) tryClaim(ctx context.Context, id string) (cl *cell.Claim, outcome []byte, final bool, err error) {
	known := x.d.Intents.Lookup(id)
	if len(known.Outcome) > 0 {
		return nil, known.Outcome, true, nil
	}
	cl, err = x.d.Claims.Claim(ctx, id)
	var dup *cell.DuplicateError
	switch {
	case err == nil:
		return cl, nil, true, nil
	case errors.As(err, &dup):
		return nil, dup.Outcome, dup.Settled, nil
	case known.Known:
		return nil, nil, false, nil
	}
	return nil, nil, true, err
}

// repeated answers a request whose id was used before.
func repeated(outcome []byte, digest string, emit Emit) error {
	if len(outcome) == 0 {
		return verdict.Fail(http.StatusConflict, verdict.ReasonDuplicate,
			"a request with this Idempotency-Key was sent before and its outcome is not known; it will not be sent again")
	}
	k := &peerv1.Outcome{}
	if err := proto.Unmarshal(outcome, k); err != nil {
		return verdict.Fail(http.StatusInternalServerError, verdict.ReasonInternal, "the recorded outcome cannot be decoded")
	}
	if k.RequestDigest != digest {
		return verdict.Refuse(http.StatusUnprocessableEntity, verdict.ReasonDuplicate, 0,
			"this Idempotency-Key was used for a different request")
	}
	if k.TooLarge {
		return &verdict.Error{Verdict: verdict.Ran, Reason: verdict.ReasonDuplicate, Status: http.StatusConflict,
			Detail: "the request has run; its answer was too large to keep"}
	}
	if err := emit(&peerv1.CallEvent{Event: &peerv1.CallEvent_Start{Start: k.Start}}); err != nil {
		return err
	}
	if err := emit(&peerv1.CallEvent{Event: &peerv1.CallEvent_Delta{Delta: &peerv1.Delta{Data: k.Data, ToolCalls: k.ToolCalls}}}); err != nil {
		return err
	}
	end := proto.Clone(k.End).(*peerv1.End)
	end.Replayed = true
	return emit(endEvent(end))
}
