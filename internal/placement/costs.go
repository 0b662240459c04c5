package placement

import (
	"math"
	"time"
)

const (
	// defaultReadRate is the number of prompt tokens that a server reads per millisecond, defaultTokenTime the time to
	// generate one token, and defaultCallTime the time of a plain call, until there are observations.
	defaultReadRate  = 200.0
	defaultTokenTime = 2 * time.Millisecond
	defaultCallTime  = 50 * time.Millisecond
	// memoryObservations is the number of recent observations that an average stands for.
	memoryObservations = 64
	// minObservations is the number of observations before an average counts as known.
	minObservations = 8
	// minVariance is the least variance of what a regression rests on, as a fraction of its mean square.
	minVariance = 1e-3
	// defaultSlowdown is by how much a request in a full batch generates more slowly than alone, as a fraction, until there
	// are observations, and maxSlowdown bounds it.
	defaultSlowdown, maxSlowdown = 0.5, 2.0
	// maxRateFactor bounds how far the measured reading rate may be from the default one.
	maxRateFactor = 8.0
	// defaultOutput is the number of tokens generated for a request without a hint, until there are observations.
	defaultOutput = 256
	// maxHintError bounds the correction of clients' estimates.
	maxHintError = 16.0
	// maxTokens bounds every count of tokens that a client states.
	maxTokens = 1 << 24
	// maxRoutes bounds the routes of a service for which costs are learned.
	maxRoutes = 256
	// forgetAfter is how long observations of a route stay without new ones.
	forgetAfter = 10 * time.Minute
)

// average is a mean that forgets old observations.
type average struct{ mean, deviation, count float64 }

func (a *average) add(x float64) {
	a.count = min(a.count+1, memoryObservations)
	d := x - a.mean
	a.mean += d / a.count
	a.deviation += (math.Abs(d) - a.deviation) / a.count
}

func (a *average) known() bool { return a.count >= minObservations }

// slope is a linear regression that forgets old observations.
type slope struct{ count, x, y, xx, xy float64 }

func (s *slope) add(x, y float64) {
	s.count = min(s.count+1, memoryObservations)
	gain := 1 / s.count
	s.x += gain * (x - s.x)
	s.y += gain * (y - s.y)
	s.xx += gain * (x*x - s.xx)
	s.xy += gain * (x*y - s.xy)
}

// value returns the slope, and false if the observations are too few or too much alike.
func (s *slope) value() (float64, bool) {
	variance := s.xx - s.x*s.x
	if s.count < minObservations || variance <= minVariance*s.xx {
		return 0, false
	}
	return (s.xy - s.x*s.y) / variance, true
}

// Costs learns what the requests of one service cost its servers. It answers routes whose requests look alike and differ
// by orders of magnitude in work. It is not safe for concurrent use.
type Costs struct {
	firstEvent slope
	// pace is the time for a token over the fraction of the slots that is taken.
	pace      slope
	tokenTime average
	service   average
	routes    map[string]*routeCosts
}

type routeCosts struct {
	// output is the number of tokens generated, hintError their ratio to the client's estimate, and call the seconds that
	// a plain call takes.
	output, hintError, call average
	lastUse                 time.Time
}

// Estimate is what a request is expected to cost at a server on which nothing else runs and which keeps none of its prompt.
type Estimate struct {
	// Read is the time to read the prompt, Generate the time to generate the output.
	Read, Generate time.Duration
	Output         int64
	// Sure tells that it rests on observations of the route.
	Sure bool
}

// NewCosts returns costs without observations.
func NewCosts() *Costs { return &Costs{routes: map[string]*routeCosts{}} }

// ReadTime returns the time to read a number of prompt tokens.
func (c *Costs) ReadTime(tokens int64) time.Duration {
	perToken := 1 / defaultReadRate
	if v, ok := c.firstEvent.value(); ok {
		perToken = min(max(v, perToken/maxRateFactor), perToken*maxRateFactor)
	}
	return time.Duration(perToken * float64(tokens) * float64(time.Millisecond))
}

// Estimate returns the expected cost of a request.
func (c *Costs) Estimate(w Work) Estimate {
	r := c.routes[w.Route]
	if len(w.Prompt) == 0 {
		e := Estimate{Generate: defaultCallTime}
		if r != nil && r.call.count > 0 {
			e.Generate, e.Sure = seconds(r.call.mean), r.call.known()
		}
		return e
	}
	e := Estimate{Read: c.ReadTime(promptTokens(w.Prompt)), Output: c.output(r, w), Sure: r != nil && r.output.known()}
	e.Generate = time.Duration(e.Output) * c.perToken()
	return e
}

func (c *Costs) perToken() time.Duration {
	if !c.tokenTime.known() {
		return defaultTokenTime
	}
	return seconds(c.tokenTime.mean)
}

// output is the client's estimate, corrected by the error seen on its route, or the mean of the route without one.
func (c *Costs) output(r *routeCosts, w Work) int64 {
	n := float64(defaultOutput)
	switch {
	case r != nil && w.OutputHint > 0 && r.hintError.known():
		// A hint that lies by orders of magnitude is weighed against what the route's requests generate.
		n = float64(min(w.OutputHint, maxTokens)) * r.hintError.mean
		n = min(n, r.output.mean+4*r.output.deviation)
	case r != nil && r.output.known():
		n = r.output.mean
	case w.OutputHint > 0:
		n = float64(min(w.OutputHint, maxTokens))
	}
	if w.MaxOutput > 0 {
		n = min(n, float64(w.MaxOutput))
	}
	return max(int64(min(n, maxTokens)), 1)
}

// ObserveFirstEvent learns from the time until the first event of a stream for which a server was expected to read the
// given number of prompt tokens.
func (c *Costs) ObserveFirstEvent(read int64, took time.Duration) {
	c.firstEvent.add(float64(read), took.Seconds()*1e3)
}

// Slowdown returns by how much a request in a full batch generates more slowly than alone, as a fraction.
func (c *Costs) Slowdown() float64 {
	v, ok := c.pace.value()
	alone := c.pace.y - v*c.pace.x
	if !ok || alone <= 0 {
		return defaultSlowdown
	}
	return min(max(v/alone, 0), maxSlowdown)
}

// ObserveOutput learns from a complete stream: the tokens after its first event, the time from there to its end, and the
// fraction of the server's slots that was taken.
func (c *Costs) ObserveOutput(w Work, tokens, afterFirst int64, took time.Duration, busy float64, now time.Time) {
	if afterFirst > 0 && took > 0 {
		c.tokenTime.add(took.Seconds() / float64(afterFirst))
		c.pace.add(min(max(busy, 0), 1), took.Seconds()/float64(afterFirst))
	}
	r := c.route(w.Route, now)
	r.output.add(float64(tokens))
	if w.OutputHint > 0 {
		r.hintError.add(min(max(float64(tokens)/float64(w.OutputHint), 1/maxHintError), maxHintError))
	}
}

// ObserveCall learns from a plain call.
func (c *Costs) ObserveCall(w Work, took time.Duration, now time.Time) {
	c.route(w.Route, now).call.add(took.Seconds())
}

func (c *Costs) route(name string, now time.Time) *routeCosts {
	r := c.routes[name]
	if r == nil {
		if len(c.routes) >= maxRoutes {
			c.dropOldest()
		}
		r = &routeCosts{}
		c.routes[name] = r
	}
	if now.Sub(r.lastUse) > forgetAfter {
		*r = routeCosts{}
	}
	r.lastUse = now
	return r
}

func (c *Costs) dropOldest() {
	oldest := ""
	for name, r := range c.routes {
		if oldest == "" || r.lastUse.Before(c.routes[oldest].lastUse) {
			oldest = name
		}
	}
	delete(c.routes, oldest)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// promptTokens sums the tokens of a prompt; counts that can't be true are bounded.
func promptTokens(parts []Part) int64 {
	var n int64
	for _, p := range parts {
		n = min(n+p.tokens(), maxTokens)
	}
	return n
}

func (p Part) tokens() int64 { return min(max(p.Tokens, 0), maxTokens) }

// Pace returns the ratio of the time that a stream took after its first event to the mean of the service, and false
// without enough observations.
func (c *Costs) Pace(afterFirst int64, took time.Duration) (float64, bool) {
	if afterFirst <= 0 || !c.tokenTime.known() || c.tokenTime.mean <= 0 {
		return 0, false
	}
	return took.Seconds() / float64(afterFirst) / c.tokenTime.mean, true
}

// NominalPace returns the ratio of the time that a stream took after its first event to one that is the same at all instances.
func NominalPace(afterFirst int64, took time.Duration) float64 {
	return float64(took) / float64(max(afterFirst, 1)) / float64(defaultTokenTime)
}

// CallRatio returns the ratio of the time that a plain call took to the mean of its route, and false without enough
// observations.
func (c *Costs) CallRatio(w Work, took time.Duration) (float64, bool) {
	r := c.routes[w.Route]
	if r == nil || !r.call.known() || r.call.mean <= 0 {
		return 0, false
	}
	return took.Seconds() / r.call.mean, true
}

// ObserveService learns from the time from sending a request to the end of its response.
func (c *Costs) ObserveService(took time.Duration) { c.service.add(took.Seconds()) }

// Service returns the mean time from sending a request to the end of its response; zero if unknown.
func (c *Costs) Service() time.Duration { return seconds(c.service.mean) }
