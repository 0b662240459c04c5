package gateway

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	// beginLimit is how long a turn waits for the owner of its program: partitions move within the time to live of a
	// member, and a client that is refused comes back.
	beginLimit = 1500 * time.Millisecond
	// isolatedBeginLimit is the same while the instance is cut off, where only its own partitions can answer.
	isolatedBeginLimit = 150 * time.Millisecond
	// settleLimit bounds the report of a turn that did not end whole.
	settleLimit = 2 * time.Second
	// noBudget is sent for programs without a budget.
	noBudget = -1
)

// serveTurn runs one turn of a program: its budget is reserved, the history is put before its input, and its end is made
// durable before the client sees it.
func (x *exchange) serveTurn(ctx context.Context) error {
	known, isKnown := x.histories.get(x.account.Name, x.Previous)
	begun, err := x.beginTurn(ctx, isKnown)
	if err != nil {
		return err
	}
	history := begun.History
	if isKnown && !begun.Foreign {
		history = known
	}
	body := x.body
	if len(history) > 0 {
		body = make([]byte, 0, len(history)+len(x.body))
		body = append(append(body, history...), x.body...)
	}
	a, err := x.send(ctx, body, begun.Backend)
	if err != nil {
		x.settle(0)
		return err
	}
	out, err := x.relayStream(ctx, a)
	if err != nil || a.Status != http.StatusOK {
		x.settle(x.generated(out))
		return err
	}
	end := x.endRequest(out, a.backend.ID, true)
	if begun.Foreign {
		end.Inherited = history
	}
	if err := x.turns.End(ctx, end); err != nil {
		return verdict.Fail(http.StatusGatewayTimeout, verdict.ReasonNotDurable, "the end of the turn was not recorded: %v", err)
	}
	x.histories.put(x.account.Name, x.ID, append(body[:len(body):len(body)], out.output...))
	return nil
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

func (x *exchange) beginTurn(ctx context.Context, known bool) (*turnv1.BeginResponse, error) {
	limit := min(beginLimit, x.left()/2)
	if x.isolated() {
		limit = isolatedBeginLimit
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	resp, err := x.turns.Begin(ctx, &turnv1.BeginRequest{
		Program: x.programID(), Account: x.account.Name, Turn: x.ID, Previous: x.Previous, Budget: x.budget(),
		Most: x.MaxTokens, HistoryKnown: known, KeepMs: x.route.KeepFor.Milliseconds(),
	})
	if err != nil {
		x.settle(0)
		return nil, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonOwnerUnavailable, x.comeBack(), "%v", err)
	}
	switch resp.Outcome {
	case turnv1.Outcome_OUTCOME_BUDGET_SPENT:
		return nil, verdict.Refuse(http.StatusPaymentRequired, verdict.ReasonBudgetSpent, 0,
			"%d of %d tokens are charged, and the turn may take %d", resp.Charged, x.Budget, x.MaxTokens)
	case turnv1.Outcome_OUTCOME_NO_SUCH_TURN:
		return nil, verdict.Refuse(http.StatusNotFound, verdict.ReasonUnknownProgram, 0, "there is no turn %s", x.Previous)
	}
	return resp, nil
}

// generated is the number of tokens that reached the client.
func (x *exchange) generated(out relayed) int64 {
	s, ok := x.configuration.Services[x.service]
	if !ok || s.Engine == nil || s.Engine.EventTokens <= 0 {
		return x.MaxTokens
	}
	return int64(out.events) * int64(s.Engine.EventTokens)
}

func (x *exchange) endRequest(out relayed, backend string, complete bool) *turnv1.EndRequest {
	r := &turnv1.EndRequest{
		Program: x.programID(), Account: x.account.Name, Turn: x.ID, Previous: x.Previous, Complete: complete,
		Tokens: x.generated(out), Backend: backend, Budget: x.budget(), Most: x.MaxTokens,
		KeepMs: x.route.KeepFor.Milliseconds(),
	}
	if complete {
		r.Input, r.Output = x.body, out.output
	}
	return r
}

// settle tells the owner that the turn ended without a whole answer. The client does not wait for it.
func (x *exchange) settle(tokens int64) {
	r := &turnv1.EndRequest{Program: x.programID(), Account: x.account.Name, Turn: x.ID, Tokens: tokens}
	turns, id := x.turns, x.ID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
		defer cancel()
		if err := turns.End(ctx, r); err != nil {
			klog.InfoS("turn not settled; it is charged with its most", "request", id, "cause", err.Error())
		}
	}()
}
