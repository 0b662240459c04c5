// Package request contains what commands and queries share: authentication, rate limits and request metadata.
package request

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v5"

	peerv1 "github.com/berylpond/berylpond/api/peer/v1"
	"github.com/berylpond/berylpond/internal/config"
	"github.com/berylpond/berylpond/internal/verdict"
)

const (
	// retryConfiguration is the retry delay sent to callers of an instance that has no configuration yet.
	retryConfiguration = time.Second

	// IDKey is the context key of the request's id.
	IDKey = "berylpond.request"

	accountKey   = "berylpond.account"
	bearerPrefix = "Bearer "
)

// ID returns the id of the request.
func ID(c *echo.Context) string {
	id, _ := c.Get(IDKey).(string)
	return id
}

// Account returns the client account that the request was authenticated for, or nil if it has no key.
func Account(c *echo.Context) *peerv1.Account {
	a, _ := c.Get(accountKey).(*peerv1.Account)
	return a
}

// RateLimiter counts n requests against the rate limit of an account, or returns an error if the limit is exceeded.
type RateLimiter interface {
	Take(ctx context.Context, account string, n float64) error
}

// Authenticator authenticates requests, applies rate limits and cancels the requests of withdrawn keys. It is safe for
// concurrent use.
type Authenticator struct {
	snapshot func() *config.Snapshot
	quota    RateLimiter

	mu     sync.Mutex
	next   uint64
	active map[uint64]activeRequest
}

type activeRequest struct {
	team   string
	keyID  string
	cancel context.CancelCauseFunc
}

// NewAuthenticator returns an authenticator that uses the current configuration, as returned by snapshot.
func NewAuthenticator(snapshot func() *config.Snapshot, quota RateLimiter) *Authenticator {
	return &Authenticator{snapshot: snapshot, quota: quota, active: map[uint64]activeRequest{}}
}

// Required refuses requests without a valid key, and requests that exceed the rate limit of their account.
func (a *Authenticator) Required(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error { return a.authenticate(c, next) }
}

// Optional is like Required but passes on requests without a key, which have no account. Only open routes serve these.
func (a *Authenticator) Optional(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c *echo.Context) error {
		if c.Request().Header.Get(echo.HeaderAuthorization) == "" {
			return next(c)
		}
		return a.authenticate(c, next)
	}
}

func (a *Authenticator) authenticate(c *echo.Context, next echo.HandlerFunc) error {
	snap := a.snapshot()
	if snap == nil {
		return verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonNoConfiguration, retryConfiguration,
			"this instance has no configuration yet")
	}
	key, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), bearerPrefix)
	if !ok || key == "" {
		return verdict.Refuse(http.StatusUnauthorized, verdict.ReasonBadKey, 0, "the Authorization header must be: Bearer KEY")
	}
	account, refused := snap.Authenticate(key)
	if refused != nil {
		return refused
	}
	ctx, done := a.track(c.Request().Context(), account.Team, account.KeyID)
	defer done()
	// Check again: a withdrawal between Authenticate and track would otherwise be missed.
	if !a.snapshot().IsKeyValid(account.Team, account.KeyID) {
		return keyWithdrawn()
	}
	c.SetRequest(c.Request().WithContext(ctx))
	// The share of an account at the engines is proportional to its rate times its weight in the document.
	c.Set(accountKey, &peerv1.Account{
		Team: account.Team, Name: account.Name, KeyId: account.KeyID, Weight: account.Weight * account.Rate,
	})
	if c.Request().Method != http.MethodGet || !strings.HasPrefix(c.Request().URL.Path, "/v1/") {
		if err := a.quota.Take(ctx, QuotaName(account.Team, account.Name), 1); err != nil {
			return err
		}
	}
	return next(c)
}

// QuotaName returns the name of the quota of an account. It contains the team, so that accounts of different teams
// never share a quota.
func QuotaName(team, account string) string { return team + "/" + account }

func keyWithdrawn() *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.ReasonKeyWithdrawn, Status: http.StatusUnauthorized,
		Detail: "the key was withdrawn"}
}

// track registers a request until the returned function is called, so that a withdrawal of its key cancels it.
func (a *Authenticator) track(ctx context.Context, team, keyID string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.next++
	n := a.next
	a.active[n] = activeRequest{team: team, keyID: keyID, cancel: cancel}
	return ctx, func() {
		a.mu.Lock()
		delete(a.active, n)
		a.mu.Unlock()
		cancel(nil)
	}
}

// CancelWithdrawn cancels the requests whose key is no longer valid. It is called on each change of the configuration.
func (a *Authenticator) CancelWithdrawn(snap *config.Snapshot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range a.active {
		if !snap.IsKeyValid(r.team, r.keyID) {
			r.cancel(keyWithdrawn())
		}
	}
}
