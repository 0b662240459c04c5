package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/feature"
	"github.com/berylpond/berylpond/internal/homes"
	"github.com/berylpond/berylpond/internal/peer"
	"github.com/berylpond/berylpond/internal/turnclient"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	// beginTimeout bounds the wait for the owner of the program: partitions are reassigned within a member's time to
	// live, and a client that is refused retries.
	beginTimeout = 1500 * time.Millisecond
	// isolatedBeginTimeout replaces it at an isolated instance, which reaches only its own partitions.
	isolatedBeginTimeout = 150 * time.Millisecond
	// isolatedObjectiveShare is the share of the latency objective that bounds it further. A refusal counts as early within
	// a quarter of the objective as the client sees it; half of that is left for the way and for queueing.
	isolatedObjectiveShare = 8
	// reportTimeout bounds a report in the background of the end of a turn.
	reportTimeout = 2 * time.Second
	// maxTurnBytes bounds a turn with its history, so that its end fits into a message to the owner with any output.
	maxTurnBytes = peer.MaxMessageBytes - maxStreamBytes - maxTurnIDBytes
	// maxTurnIDBytes is more than the ids of a turn take in that message.
	maxTurnIDBytes = 128 << 10
	// noBudget is the wire value for programs without a budget.
	noBudget = -1
)

// serveTurn runs one turn of a program: it reserves the budget, sends the history followed by the turn's input, and
// makes the end of the turn durable before the client sees the end of the response.
func (x *exchange) serveTurn(ctx context.Context) error {
	cached, isCached := x.historyCache.get(x.account.Name, x.PreviousTurn)
	begun, err := x.beginTurn(ctx, isCached)
	if err != nil {
		return err
	}
	history := begun.History
	x.isFirstTurn = x.beginsProgram(begun)
	if isCached && !begun.Foreign {
		history = cached
	}
	if len(history)+len(x.body) > maxTurnBytes {
		x.settle(0)
		return turnTooLong("the history and the input have %d bytes", len(history)+len(x.body))
	}
	body := x.body
	if len(history) > 0 {
		if err := x.hold(int64(len(history) + len(x.body))); err != nil {
			x.settle(0)
			return err
		}
		body = make([]byte, 0, len(history)+len(x.body))
		body = append(append(body, history...), x.body...)
	}
	resp, err := x.send(ctx, body, begun.Backend)
	if err != nil {
		x.settle(0)
		return err
	}
	out, err := x.relayStream(ctx, resp, body)
	x.rememberTurn(err)
	if err != nil || !out.complete {
		x.settle(x.deliveredTokens(out))
		return err
	}
	if err := x.recordTurn(ctx, x.endRequest(out, x.backend, true), history, begun.Foreign); err != nil {
		return verdict.Fail(http.StatusGatewayTimeout, verdict.ReasonNotDurable, "the end of the turn was not recorded: %v",
			err)
	}
	x.historyCache.put(x.account.Name, x.ID, append(body[:len(body):len(body)], out.output...))
	return nil
}

// recordTurn makes the end of a turn durable. The history before it is sent along if the owner needs it: the previous turn is
// foreign to its program, or this owner does not have it (any more).
func (x *exchange) recordTurn(ctx context.Context, end *turnv1.EndRequest, history []byte, foreign bool) error {
	if foreign {
		end.Inherited = history
	}
	err := x.turnClient.End(ctx, end)
	if !errors.Is(err, turnclient.ErrHistoryMissing) {
		return err
	}
	end.Inherited = history
	if len(history) == 0 {
		end.Previous = ""
	}
	klog.InfoS("the owner lacks the history before a turn; sending it", "request", x.ID, "program", end.Program, "previous", x.PreviousTurn,
		"history_bytes", len(history))
	return x.turnClient.End(ctx, end)
}

// serveUnstoredTurn runs one turn of a program on a route that stores no history: the client sends the whole prompt, but
// the budget holds for all turns of the program. The client's response does not wait for the owner's record, since it
// makes no promise beyond the budget.
func (x *exchange) serveUnstoredTurn(ctx context.Context) error {
	begun, err := x.beginTurn(ctx, false)
	if err != nil {
		return err
	}
	preferred := ""
	if x.features.Enabled(feature.Placement) {
		preferred = begun.Backend
	}
	x.isFirstTurn = x.beginsProgram(begun)
	if err := x.admitProgram(); err != nil {
		x.settle(0)
		return err
	}
	resp, err := x.send(ctx, x.body, preferred)
	if err != nil {
		x.settle(0)
		return err
	}
	out, err := x.relayStream(ctx, resp, x.body)
	x.rememberTurn(err)
	x.report(x.endRequest(out, x.backend, false))
	return err
}

// beginsProgram reports whether the turn is the first of its program: it continues no other, and the owner has charged the
// program for nothing else. It is known on routes without history too, where no turn names the previous one.
func (x *exchange) beginsProgram(begun *turnv1.BeginResponse) bool {
	return x.Program != "" && x.PreviousTurn == "" && begun.Charged <= x.MaxTokens
}

// admitProgram refuses a first turn if the account's rate is needed by its programs under way. On routes with history that
// was decided when the token was taken.
func (x *exchange) admitProgram() error {
	if !x.isFirstTurn || x.startsProgram() || !x.features.Enabled(feature.Admission) {
		return nil
	}
	if d := x.rateLimiter.DenyProgram(x.account); d != nil {
		return x.rateError(d)
	}
	return nil
}

// rememberTurn records a served turn, from which the time that programs take is learned.
func (x *exchange) rememberTurn(err error) {
	if err == nil {
		x.rooms.programs.served(x.programKey(), x.route.Name, x.isFirstTurn, x.started, x.now())
	}
}

func (x *exchange) programID() string {
	if x.Program == "" {
		return x.ID
	}
	return x.Program
}

func (x *exchange) budget() int64 {
	if !x.HasBudget {
		return noBudget
	}
	return x.Budget
}

func (x *exchange) beginTurn(ctx context.Context, cached bool) (*turnv1.BeginResponse, error) {
	limit := min(beginTimeout, x.remaining()/2)
	if x.isolated() {
		limit = x.isolatedBeginLimit()
	}
	if !x.route.StoresHistory {
		// The owner keeps count only, and is sent no contents.
		ctx = homes.NewContext(ctx, homes.Set{})
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	resp, err := x.turnClient.Begin(ctx, &turnv1.BeginRequest{
		Program: x.programID(), Account: x.account.Name, Turn: x.ID, Previous: x.PreviousTurn, Budget: x.budget(),
		Most: x.MaxTokens, HistoryKnown: cached, KeepMs: x.route.HistoryTTL.Milliseconds(), Session: x.Session,
		WithinMs: (x.remaining() + reportTimeout).Milliseconds(),
	})
	if err != nil {
		x.settle(0)
		if errors.Is(err, turnclient.ErrTooLong) {
			return nil, turnTooLong("%v", err)
		}
		if errors.Is(err, turnclient.ErrNotAHome) {
			return nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoHome, x.retryDelay(), "%v", err)
		}
		return nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOwnerUnavailable, x.ownerRetryDelay(err), "%v", err)
	}
	switch resp.Outcome {
	case turnv1.Outcome_OUTCOME_BUDGET_SPENT:
		return nil, verdict.Refuse(http.StatusPaymentRequired, verdict.ReasonBudgetSpent, 0,
			"%d of %d tokens are charged, and the turn may take %d", resp.Charged, x.Budget, x.MaxTokens)
	case turnv1.Outcome_OUTCOME_NO_SUCH_TURN:
		return nil, verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownProgram, 0, "there is no turn %s",
			x.PreviousTurn)
	}
	return resp, nil
}

// turnTooLong is the refusal of a turn that can't be recorded, however often it is tried.
func turnTooLong(format string, args ...any) error {
	return verdict.Refuse(http.StatusRequestEntityTooLarge, verdict.ReasonTooLarge, 0, format, args...)
}

// isolatedBeginLimit bounds the wait for the owner at an isolated instance.
func (x *exchange) isolatedBeginLimit() time.Duration {
	if x.route.LatencyObjective <= 0 || !x.features.Enabled(feature.EarlyRefusal) {
		return isolatedBeginTimeout
	}
	return min(isolatedBeginTimeout, x.route.LatencyObjective/isolatedObjectiveShare)
}

// ownerRetryDelay is the Retry-After for a turn that its owner can't begin. A store that has been away for some time is
// expected to be away for as long again; clients wait a part of the time that they have left at most.
func (x *exchange) ownerRetryDelay(err error) time.Duration {
	var away *turnclient.StoreAwayError
	if errors.As(err, &away) {
		return max(away.Away, x.retryDelay())
	}
	return x.retryDelay()
}

// deliveredTokens is the number of tokens relayed to the client, or the turn's whole reservation if the service does
// not say how many tokens an event holds.
func (x *exchange) deliveredTokens(out relayedStream) int64 {
	s, ok := x.configuration.Services[x.service]
	if !ok || s.Engine == nil || s.Engine.EventTokens <= 0 {
		return x.MaxTokens
	}
	return int64(out.events) * int64(s.Engine.EventTokens)
}

func (x *exchange) endRequest(out relayedStream, backend string, complete bool) *turnv1.EndRequest {
	r := &turnv1.EndRequest{
		Program: x.programID(), Account: x.account.Name, Turn: x.ID, Previous: x.PreviousTurn, Complete: complete,
		Tokens: x.deliveredTokens(out), Backend: backend, Budget: x.budget(), Most: x.MaxTokens,
		KeepMs: x.route.HistoryTTL.Milliseconds(), Session: x.Session,
	}
	if complete {
		r.Input, r.Output = x.body, out.output
	}
	return r
}

// settle reports to the owner that the turn ended without a complete response, so that only the delivered tokens are
// charged.
func (x *exchange) settle(tokens int64) {
	x.report(&turnv1.EndRequest{Program: x.programID(), Account: x.account.Name, Turn: x.ID, Tokens: tokens})
}

// report tells the owner of the end of the turn in the background.
func (x *exchange) report(r *turnv1.EndRequest) {
	g, id := x.Gateway, x.ID
	g.reports.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		if err := g.turnClient.End(ctx, r); err != nil {
			klog.InfoS("could not report the end of a turn to its owner; the whole reservation stays charged", "request", id,
				"cause", err.Error())
		}
	})
}
