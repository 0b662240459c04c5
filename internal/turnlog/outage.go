package turnlog

import "time"

// minOutage is how long a call must have been without an outcome for the store to count as away. A slow store, or one whose
// responses are lost, gives an outcome before that.
const minOutage = appendTimeout

// outage is a period in which the store gives no outcome of an append.
type outage struct {
	// since is when the first call without an outcome began; zero if there is none.
	since time.Time
}

// refuses reports whether a turn that needs a record is to be refused at once, and for how long the store has been away.
//
// Load pattern: the store is away for seconds, and every turn that needs a record would be held until it has to be refused.
func (o outage) refuses(now time.Time) (away time.Duration, refuse bool) {
	if o.since.IsZero() {
		return 0, false
	}
	away = now.Sub(o.since)
	return away, away >= minOutage
}
