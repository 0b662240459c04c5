package placement

import (
	"math"
	"time"
)

const (
	// RemoteFraction is what a server in another data centre costs in addition, as a fraction: its traffic is billed, and
	// what it runs breaks off when the data centres lose each other.
	RemoteFraction = 0.25
	// FailureCost is what a failed request costs, as a multiple of the mean time of a request.
	FailureCost = 8.0
	// maxExpected bounds what a request is expected to cost or to wait.
	maxExpected = time.Hour
)

// Load is what a server has in progress.
type Load struct {
	Requests float64
	Slots    int
	// Reading is the time that the server needs to read the prompts that it has not begun to respond to.
	Reading time.Duration
	// Slowness is the time that the server takes relative to the others of its service; 1 for an average one.
	Slowness float64
	// Failing is the share of requests that the server is expected to fail.
	Failing float64
}

// Wait returns the expected time until a server begins a further request: it reads the prompts of those that it runs first,
// and takes those beyond its slots in order of arrival. Below that, the requests in progress are a mean, around which arrivals
// vary: the wait is that of a queue with as many servers as slots. service is the mean time of a request of the service.
func Wait(l Load, service time.Duration) time.Duration {
	slots := float64(max(l.Slots, 1))
	busy := max(l.Requests, 0) / slots
	queued := max(l.Requests+1-slots, 0) / slots
	// Sakasegawa's approximation of the wait in an M/M/c queue.
	random := math.Pow(min(busy, 1), math.Sqrt(2*(slots+1))-1) / slots / max(1-busy, 1/slots)
	wait := float64(l.Reading) + float64(service)*max(queued, random)
	return time.Duration(min(wait, float64(maxExpected)))
}

// Completion returns what the request costs at a server: the expected time until its end, and how much longer it makes
// the requests that run there. read is the time to read what the server does not keep of the prompt, service the mean time
// of a request of the service, slowdown by how much a full batch is slower than a request alone.
func Completion(l Load, read, generate, service time.Duration, slowdown float64, remote bool) time.Duration {
	slots := float64(max(l.Slots, 1))
	running := min(l.Requests, slots)
	busy := running / slots
	own := float64(generate) * (1 + 2*slowdown*busy)
	// Reading delays every request that the server runs.
	reading := float64(read) * (1 + running)
	t := (float64(Wait(l, service)) + own + reading) * max(l.Slowness, 0.1)
	t += FailureCost * l.Failing * float64(service)
	if remote {
		t *= 1 + RemoteFraction
	}
	return time.Duration(min(t, float64(maxExpected)))
}

const (
	// slownessHalfLife is the time in which what was seen of a server's speed loses half its weight.
	slownessHalfLife = 10 * time.Second
	// slownessPrior is the weight of the assumption that a server is as fast as the others.
	slownessPrior = 8.0
	// slownessNoise is by how much servers of equal speed seem to differ.
	slownessNoise = 0.2
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
	return Slowness(s.sum, s.weight)
}

// Slowness returns the expected ratio of the next request, given the sum of the ratios that were seen and their weight.
// Differences up to slownessNoise are taken for noise: a server that merely seems fast would draw requests from every
// comparison that it takes part in.
func Slowness(sum, weight float64) float64 {
	r := (sum + slownessPrior) / (weight + slownessPrior)
	return 1 + max(r-1-slownessNoise, 0) + min(r-1+slownessNoise, 0)
}
