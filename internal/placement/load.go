package placement

import (
	"math"
	"time"
)

const (
	// batchSlowdown is by how much a request in a full batch takes longer than one that runs alone, as a fraction.
	batchSlowdown = 1.0
	// remoteFraction is the price of a server in another data centre, as a fraction of the time to generate the output.
	remoteFraction = 0.16
)

// Load is what a server has in progress.
type Load struct {
	Requests, Slots int
	// Reading is the time that the server needs to read the prompts that it has not begun to respond to.
	Reading time.Duration
	// Slowness is the time that the server takes relative to the others of its service; 1 for an average one.
	Slowness float64
}

// Wait returns the expected time until a server begins a further request: it reads the prompts of those that it runs first,
// and takes those beyond its slots in order of arrival. service is the mean time of a request of the service.
func Wait(l Load, service time.Duration) time.Duration {
	wait, slots := l.Reading, max(l.Slots, 1)
	if queued := l.Requests + 1 - slots; queued > 0 {
		wait += service * time.Duration(queued) / time.Duration(slots)
	}
	return wait
}

// Completion returns what the request costs at a server: the expected time until its end, and how much longer it makes
// the requests that run there. read is the time to read what the server does not keep of the prompt, service the mean time
// of a request of the service.
func Completion(l Load, read, generate, service time.Duration, remote bool) time.Duration {
	slots := max(l.Slots, 1)
	running := min(l.Requests, slots)
	busy := float64(running) / float64(slots)
	own := float64(generate) * (1 + 2*batchSlowdown*busy)
	// Reading delays every request that the server runs.
	reading := float64(read) * float64(1+running)
	t := (float64(Wait(l, service)) + own + reading) * max(l.Slowness, 0.1)
	if remote {
		t += remoteFraction * float64(generate)
	}
	return time.Duration(t)
}

const (
	// slownessHalfLife is the time in which what was seen of a server's speed loses half its weight.
	slownessHalfLife = 10 * time.Second
	// slownessPrior is the weight of the assumption that a server is as fast as the others.
	slownessPrior = 8.0
	// maxSlowness bounds one observation, as work differs much between requests that look alike.
	maxSlowness = 10.0
)

// Speed learns how long a server takes relative to the others of its service. It answers servers that are slower than others
// for good or for a while.
type Speed struct {
	sum, weight float64
	at          time.Time
}

// Observe adds the ratio of the time that a request took to the time that the service's servers take on average.
func (s *Speed) Observe(ratio float64, now time.Time) {
	s.fade(now)
	s.sum += min(max(ratio, 1/maxSlowness), maxSlowness)
	s.weight++
}

func (s *Speed) fade(now time.Time) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		f := math.Exp2(-elapsed.Seconds() / slownessHalfLife.Seconds())
		s.sum, s.weight, s.at = s.sum*f, s.weight*f, now
	}
}

// Slowness returns the expected ratio of the next request.
func (s *Speed) Slowness(now time.Time) float64 {
	s.fade(now)
	return (s.sum + slownessPrior) / (s.weight + slownessPrior)
}
