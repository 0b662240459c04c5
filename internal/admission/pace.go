package admission

import (
	"time"

	"github.com/berylpond/berylpond/internal/placement"
)

const (
	// recentTime is the time over which the requests in flight are averaged. It is longer than the loads of other instances
	// are old, so that an instance does not answer to its own changes.
	recentTime = 500 * time.Millisecond
	// shareGain is the weight of a new sample in the share of first turns.
	shareGain = 0.02
	// durationGain is the weight of a new sample in the mean duration of requests.
	durationGain = 0.1
	// comeBackHorizon bounds the times at which refused requests are told to come back: a backlog ends that soon after its
	// burst.
	comeBackHorizon = 2 * time.Second
	// minRetryAfter keeps clients from coming back before anything can have changed.
	minRetryAfter = 25 * time.Millisecond
	// honouredFraction of the time that a client has left is the longest Retry-After that it honours.
	honouredFraction = 3
	// spreadFraction of a Retry-After is added at random at most, so that requests refused by different instances at one
	// moment do not come back at one moment.
	spreadFraction = 4
)

// pace is how fast the places that this instance uses come free, and when the requests that were refused come back.
type pace struct {
	inFlight int
	// duration is the mean time from sending a request to the end of its response; zero before the first one.
	duration time.Duration
	// recent is the mean of inFlight over recentTime, as of recentAt.
	recent   float64
	recentAt time.Time
	// firstShare is the share of first turns in the admitted requests.
	firstShare float64
	// comeBacks holds, by account, the latest time at which a refused request was told to come back.
	comeBacks map[string]time.Time
}

// share returns how many requests this instance may have in flight: as many as it had lately, more or less in the
// proportion of the places to all that is in flight. If every instance keeps to it, they fill the places between them, also
// while each knows late what the others do.
func (p *pace) share(now time.Time, o placement.Outlook) float64 {
	elapsed := now.Sub(p.recentAt)
	p.recentAt = now
	p.recent += min(elapsed.Seconds()/recentTime.Seconds(), 1) * (float64(p.inFlight) - p.recent)
	all := float64(o.Places - o.Free)
	if service := p.service(o); o.Free == 0 && service > 0 {
		all += float64(o.Places) * float64(o.Wait) / float64(service)
	}
	others := max(all-float64(p.inFlight), 0)
	return p.recent * float64(o.Places) / max(others+p.recent, 1)
}

func (p *pace) ended(took time.Duration) {
	p.inFlight--
	if p.duration == 0 {
		p.duration = took
		return
	}
	p.duration += time.Duration(durationGain * float64(took-p.duration))
}

// service is the expected time from the beginning of a request to the end of its response; zero if unknown.
func (p *pace) service(o placement.Outlook) time.Duration {
	if o.Service > 0 {
		return o.Service
	}
	return p.duration
}

// interval is the expected time between two places that come free for this instance. By Little's law that is the duration
// of a request over the number in flight, also at the start of a burst, when the rate of the time before says nothing. An
// instance with nothing in flight takes part in the places of all.
func (p *pace) interval(o placement.Outlook) time.Duration {
	places := p.inFlight
	if places <= 0 {
		places = max(o.Places, 1)
	}
	return p.service(o) / time.Duration(places)
}

// firstInterval is the same for places that first turns get: most are taken by the turns of programs under way.
func (p *pace) firstInterval(o placement.Outlook) time.Duration {
	return time.Duration(float64(p.interval(o)) / max(p.firstShare, shareGain))
}

// admitted records that a request of the class was admitted.
func (p *pace) admitted(c Class) {
	p.firstShare -= shareGain * p.firstShare
	if c == FirstTurn {
		p.firstShare += shareGain
	}
}

// ahead counts requests that go first, by class.
type ahead [2]int

// expected is the expected time until a request of the class gets a place.
func (p *pace) expected(o placement.Outlook, c Class, n ahead) time.Duration {
	interval := p.interval(o)
	wait := o.Wait + time.Duration(n[UnderWay])*interval + time.Duration(n[FirstTurn])*p.firstInterval(o)
	switch {
	case o.Wait > 0:
		return wait
	case c == FirstTurn:
		return wait + p.firstInterval(o)
	default:
		return wait + interval
	}
}

// comeBack returns the Retry-After of a refused request that would get a place after the given time, and has so much time
// left. The requests of an account that are refused in sequence come back in sequence, accounts in turn, one for each place
// that comes free. A client with little time left gets a time that it honours. spread is a random number in [0, 1).
func (p *pace) comeBack(now time.Time, account string, expected, interval, left time.Duration, spread float64) time.Duration {
	for other, at := range p.comeBacks {
		if at.Before(now) {
			delete(p.comeBacks, other)
		}
	}
	at := now.Add(expected)
	if last, ok := p.comeBacks[account]; ok {
		at = later(at, last.Add(interval*time.Duration(len(p.comeBacks))))
	}
	after := min(at.Sub(now), comeBackHorizon)
	honoured := left / honouredFraction
	if after <= honoured {
		p.comeBacks[account] = now.Add(after)
	}
	after = max(after, minRetryAfter)
	after += time.Duration(spread * float64(after) / spreadFraction)
	if after > honoured {
		// The client comes back at the end of the time that it honours, so that time is used as well as it can be.
		after = honoured - time.Duration(spread*float64(honoured)/spreadFraction)
	}
	return max(after, minRetryAfter)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
