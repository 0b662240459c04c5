package quota

import "time"

const (
	// overRateFraction of an account's whole rate, refused in one data centre, shows that the account is over its rate.
	overRateFraction = 0.5
	// refusedWindow is the time constant of the estimate of refusals. It is longer than a lease, so that what the loss
	// of a holder makes lacking does not show an account within its rate as over it.
	refusedWindow = 3 * time.Second
	// minOverRate is the least rate of refusals, in requests per second, that shows it.
	minOverRate = 3
)

// Refused counts n requests as refused for lack of tokens.
func (a *Account) Refused(now time.Time, n float64) {
	a.refused.add(now, refusedWindow, n)
}

// OverRate reports whether so much was refused of late that the account must be over its rate, which is limitRate over
// all data centres.
func (a *Account) OverRate(now time.Time, limitRate float64) bool {
	return a.refused.rate(now, refusedWindow) > max(overRateFraction*limitRate, minOverRate)
}
