package quota

import "time"

const (
	// overRateFraction is the fraction of an account's whole rate that must be refused in one data centre for the
	// account to count as over its rate.
	overRateFraction = 0.5
	// refusedWindow is the time constant of the estimate of refusals. It is longer than a lease, so that the refusals
	// caused by the loss of a holder do not make an account within its rate count as over it.
	refusedWindow = 3 * time.Second
	// minOverRate is the least rate of refusals, in requests per second, at which an account counts as over its rate.
	minOverRate = 3
)

// RecordRefused records that n requests were refused for lack of tokens.
func (a *Account) RecordRefused(now time.Time, n float64) {
	a.refused.add(now, refusedWindow, n)
}

// OverRate reports whether the recent rate of refusals shows that the account exceeds limitRate, its rate over all data
// centres.
func (a *Account) OverRate(now time.Time, limitRate float64) bool {
	return a.refused.rate(now, refusedWindow) > max(overRateFraction*limitRate, minOverRate)
}
