// Package verdict defines the errors of requests. Each carries a verdict: whether the request may have run.
//
// Every decision to retry depends on the verdict; see RetrySafe.
package verdict

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a request may have had an effect outside berylpond.
type Verdict int

const (
	// MayHaveRun means that part of the request was written to a backend server and its effect is unknown.
	// It is the zero value, so that an error without a verdict is never taken for NotRun.
	MayHaveRun Verdict = iota
	// NotRun means that nothing of the request was written to a backend server's connection.
	NotRun
	// Ran means that the request had its effect.
	Ran
)

// String returns the name used in problem documents, logs and metrics.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse is the inverse of String. It returns MayHaveRun for an unknown name.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// RetrySafe reports whether a request with this verdict may be sent again; repeatable requests may run more than once.
func (v Verdict) RetrySafe(repeatable bool) bool {
	return v == NotRun || (v == MayHaveRun && repeatable)
}

// Reason is the machine-readable cause of an error. It is used as a metric label, so the set is small and fixed.
type Reason string

// Reasons of errors. Up to ReasonCancelled they are roughly in the order of a request's phases.
const (
	ReasonMalformed           Reason = "malformed"
	ReasonTooLarge            Reason = "too_large"
	ReasonBadKey              Reason = "bad_key"
	ReasonKeyWithdrawn        Reason = "key_withdrawn"
	ReasonForbidden           Reason = "forbidden"
	ReasonUnknownRoute        Reason = "unknown_route"
	ReasonUnknownModel        Reason = "unknown_model"
	ReasonUnknownProgram      Reason = "unknown_program"
	ReasonNoConfiguration     Reason = "no_configuration"
	ReasonRateLimited         Reason = "rate_limited"
	ReasonBudgetSpent         Reason = "budget_spent"
	ReasonDeadline            Reason = "deadline_exceeded"
	ReasonWrongHead           Reason = "wrong_head"
	ReasonTurnInProgress      Reason = "turn_in_progress"
	ReasonProgramEnded        Reason = "program_ended"
	ReasonDuplicate           Reason = "duplicate_request"
	ReasonClaimUnavailable    Reason = "claim_unavailable"
	ReasonOwnerUnavailable    Reason = "owner_unavailable"
	ReasonHomeUnreachable     Reason = "home_unreachable"
	ReasonNotDurable          Reason = "not_durable"
	ReasonQueueFull           Reason = "queue_full"
	ReasonQueueTimeout        Reason = "queue_timeout"
	ReasonMemoryFull          Reason = "memory_full"
	ReasonNoRoom              Reason = "no_room"
	ReasonNoBackend           Reason = "no_backend"
	ReasonQuarantined         Reason = "quarantined"
	ReasonEvacuated           Reason = "evacuated"
	ReasonNoHome              Reason = "no_home"
	ReasonStaleView           Reason = "stale_view"
	ReasonBackendFailed       Reason = "backend_failed"
	ReasonBackendSilent       Reason = "backend_silent"
	ReasonTruncated           Reason = "truncated"
	ReasonMismatchedResponse  Reason = "crossed_answer"
	ReasonCancelled           Reason = "cancelled"
	ReasonShuttingDown        Reason = "shutting_down"
	ReasonVersionConflict     Reason = "version_conflict"
	ReasonPlatformUnavailable Reason = "platform_unavailable"
	ReasonInternal            Reason = "internal"
	ReasonRetryBudgetSpent    Reason = "retry_budget_spent"
	ReasonStaleFencingToken   Reason = "stale_fencing_number"
)

// Error is the final error of one request.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the machine-readable cause.
	Reason Reason
	// Status is the HTTP status returned to the caller.
	Status int
	// RetryAfter is the time after which a retry may succeed; zero if a retry does not help.
	RetryAfter time.Duration
	// Detail describes the error to the caller. It never contains an API key or the text of a message.
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Detail)
}

// Refuse returns an error with the verdict NotRun: nothing of the request was written to a backend server.
func Refuse(status int, reason Reason, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Reason: reason, Status: status, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}

// Fail returns an error with the verdict MayHaveRun.
func Fail(status int, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: MayHaveRun, Reason: reason, Status: status, Detail: fmt.Sprintf(format, args...)}
}

// From returns the Error in err's chain. Any other error is converted to MayHaveRun with ReasonInternal.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Fail(http.StatusBadGateway, ReasonInternal, "%v", err)
}
