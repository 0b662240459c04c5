package fleet

import (
	"slices"
	"time"

	"github.com/berylpond/berylpond/internal/placement"
)

const (
	// homeSamples is the number of servers that are to keep a shared part, and otherSamples of any others, that one decision
	// compares. Few samples keep instances with late news from picking the same server.
	homeSamples  = 1
	otherSamples = 1
	// sampleTries bounds the draws for one sample.
	sampleTries = 4
	// maxCandidates bounds the servers that one decision compares.
	maxCandidates = 10
	// assumedKept is the fraction of a conversation that the server of the previous turn is expected to keep, if this
	// instance did not send it there itself: the rest was generated or typed since.
	assumedKept = 0.75
)

// Reason is why a server was picked.
type Reason string

// The reasons for picking a server.
const (
	// ReasonSession: it keeps the conversation.
	ReasonSession Reason = "session"
	// ReasonShared: it is one of the servers that keep the shared part of the prompt.
	ReasonShared Reason = "shared"
	// ReasonLeastWork: it is expected to end the request first all the same.
	ReasonLeastWork Reason = "least-work"
	// ReasonLeastLoaded: it has the fewest requests for its slots; the request's cost is unknown.
	ReasonLeastLoaded Reason = "least-loaded"
)

// Decision is the pick of a server for one request, with what was expected of it.
type Decision struct {
	Reason Reason
	// Read and Kept are the prompt tokens that the server is expected to read and to keep.
	Read, Kept int64
	// Reading and Generate are the expected times to read these and to generate the output, Expected the weighed cost of the
	// request there.
	Reading, Generate, Expected time.Duration
	// Requests is the number of requests that the server was known to have in progress, those of other instances included as
	// of SharedAge ago; Candidates is the number of servers that were compared.
	Requests   float64
	SharedAge  time.Duration
	Candidates int
}

// servicePlacement is what was learned about the requests of one service.
type servicePlacement struct {
	costs    *placement.Costs
	homes    *placement.Homes
	sessions placement.Sessions
	// groups lists the servers of each data centre; nil after a change.
	groups      map[string][]string
	dataCentres []string
}

// request is one request in progress at a server.
type request struct {
	// known is set if something is known about the request's cost.
	known    bool
	work     placement.Work
	decision Decision
	// reading is the part of the server's reading that is this request's; zero once its first event has come.
	reading, left    time.Duration
	sent, firstEvent time.Time
	// ahead is the expected time until the first event.
	ahead       time.Duration
	firstTokens int64
	// keptParts is how many parts at the start of the prompt the server had before, and previous the id of the server that the
	// conversation was last sent to.
	keptParts int
	previous  string
}

func (f *Fleet) placementOf(service string) *servicePlacement {
	p := f.placements[service]
	if p == nil {
		p = &servicePlacement{costs: placement.NewCosts(), homes: placement.NewHomes()}
		f.placements[service] = p
	}
	return p
}

// membersChanged drops what was derived from the list of a service's servers.
func (f *Fleet) membersChanged(service string) {
	if p := f.placements[service]; p != nil {
		p.groups = nil
		p.homes.MembersChanged()
	}
}

func (f *Fleet) groupsOf(service string, p *servicePlacement) {
	if p.groups != nil {
		return
	}
	p.groups, p.dataCentres = map[string][]string{}, nil
	for _, b := range f.byService[service] {
		if p.groups[b.DataCentre] == nil {
			p.dataCentres = append(p.dataCentres, b.DataCentre)
		}
		p.groups[b.DataCentre] = append(p.groups[b.DataCentre], b.ID)
	}
	slices.Sort(p.dataCentres)
}

// candidates is a set of servers with why each was considered.
type candidates struct {
	servers [maxCandidates]*server
	reasons [maxCandidates]Reason
	n       int
}

func (s *candidates) add(b *server, r Reason) {
	if b == nil || s.n == maxCandidates || slices.Contains(s.servers[:s.n], b) {
		return
	}
	s.servers[s.n], s.reasons[s.n] = b, r
	s.n++
}

// place compares the servers that are expected to keep parts of the prompt with a few others, and returns the one with the
// lowest expected cost.
func (f *Fleet) place(c Criteria, now time.Time, usable func(*server) bool) (*server, Decision) {
	p := f.placementOf(c.Service)
	f.groupsOf(c.Service, p)
	prompt := c.Work.Prompt
	usableID := func(id string) *server {
		if b := f.byID[id]; b != nil && b.Service == c.Service && !excluded(c.Exclude, id) && usable(b) {
			return b
		}
		return nil
	}
	var set candidates
	named := usableID(c.Preferred)
	for i := len(prompt) - 1; i >= 0; i-- {
		set.add(usableID(p.sessions.Get(prompt[i].ID)), ReasonSession)
	}
	set.add(named, ReasonSession)
	if len(prompt) > 1 {
		f.addHomes(&set, p, prompt[0], usableID)
	}
	others := p.groups[f.dataCentre]
	if len(others) == 0 || c.AnyDataCentre {
		others = p.groups[p.dataCentres[f.random(len(p.dataCentres))]]
	}
	f.addSamples(&set, others, otherSamples, ReasonLeastWork, usableID)
	return f.cheapest(&set, p, c, named, now)
}

// addHomes adds some of the servers that are to keep the shared part: of this data centre, and one of another.
func (f *Fleet) addHomes(set *candidates, p *servicePlacement, shared placement.Part, usable func(string) *server) {
	f.addSamples(set, f.homesIn(p, f.dataCentre, shared), homeSamples, ReasonShared, usable)
	other := p.dataCentres[f.random(len(p.dataCentres))]
	f.addSamples(set, f.homesIn(p, other, shared), homeSamples, ReasonShared, usable)
}

// addSamples adds servers that are drawn at random from a list.
func (f *Fleet) addSamples(set *candidates, ids []string, n int, reason Reason, usable func(string) *server) {
	if len(ids) == 0 {
		return
	}
	for range n {
		for range sampleTries {
			if b := usable(ids[f.random(len(ids))]); b != nil {
				set.add(b, reason)
				break
			}
		}
	}
}

func (f *Fleet) homesIn(p *servicePlacement, dataCentre string, shared placement.Part) []string {
	return p.homes.Of(dataCentre, shared, func() []string { return p.groups[dataCentre] })
}

func (f *Fleet) cheapest(set *candidates, p *servicePlacement, c Criteria, named *server, now time.Time) (*server, Decision) {
	estimate := p.costs.Estimate(c.Work)
	total := c.Work.PromptTokens()
	var best *server
	var chosen Decision
	for i, b := range set.servers[:set.n] {
		kept := b.kept.Prefix(c.Work.Prompt, len(c.Work.Prompt) > 1 && f.isHome(p, b, c.Work.Prompt[0]))
		if b == named {
			kept = max(kept, assumedPrefix(c.Work.Prompt, total))
		}
		d := Decision{
			Reason: set.reasons[i], Read: readable(total-kept, c.CacheTokens), Kept: kept, Generate: estimate.Generate, Requests: f.requestsAt(b, now),
			SharedAge: f.sharedAge(now), Candidates: set.n,
		}
		load := f.loadAt(b, now)
		load.Requests += f.extraLoad(&c, b, now) * float64(b.Slots)
		d.Reading = p.costs.ReadTime(d.Read)
		d.Expected = placement.Completion(load, d.Reading, d.Generate, p.costs.Service(), p.costs.Slowdown(),
			b.DataCentre != f.dataCentre && !c.AnyDataCentre && set.reasons[i] != ReasonSession)
		if best == nil || d.Expected < chosen.Expected {
			best, chosen = b, d
		}
	}
	return best, chosen
}

// readable bounds the tokens to read to the memory of a server, if it is known: clients state the size of their prompts.
func readable(tokens, capacity int64) int64 {
	if capacity <= 0 {
		return tokens
	}
	return min(tokens, capacity)
}

// assumedPrefix is what the server of the previous turn is expected to keep of a prompt that another instance sent there.
func assumedPrefix(prompt []placement.Part, total int64) int64 {
	last := placement.Work{Prompt: prompt[len(prompt)-1:]}.PromptTokens()
	return max(total-int64((1-assumedKept)*float64(last)), 0)
}

func (f *Fleet) isHome(p *servicePlacement, b *server, shared placement.Part) bool {
	if b.kept.Has(shared.ID) {
		return true
	}
	return slices.Contains(f.homesIn(p, b.DataCentre, shared), b.ID)
}

// send records that a request is sent to the server that was decided on.
func (f *Fleet) send(b *server, c Criteria, d Decision, now time.Time) request {
	if c.Work.Route == "" {
		return request{}
	}
	p := f.placementOf(c.Service)
	if len(c.Work.Prompt) == 0 {
		d.Generate = p.costs.Estimate(c.Work).Generate
	}
	r := request{known: true, work: c.Work, decision: d, sent: now, reading: p.costs.ReadTime(d.Read)}
	r.left, r.ahead = r.reading+d.Generate, b.reading+r.reading
	b.reading += r.reading
	b.left += r.left
	if len(c.Work.Prompt) == 0 {
		return r
	}
	last := len(c.Work.Prompt) - 1
	r.keptParts, r.previous = b.kept.Leading(c.Work.Prompt), p.sessions.Get(c.Work.Prompt[last].ID)
	if last > 0 {
		p.homes.Observe(c.Work.Prompt[0], r.previous == "", c.CacheTokens, now)
	}
	b.kept.Use(c.Work.Prompt, c.CacheTokens, len(f.byService[c.Service]))
	p.sessions.Put(c.Work.Prompt[last].ID, b.ID)
	return r
}

// unsend takes back what send recorded of the prompt, as the request was not sent. f.mu must be held.
func (f *Fleet) unsend(b *Backend) {
	r := &b.request
	if !r.known || len(r.work.Prompt) == 0 {
		return
	}
	b.server.kept.Drop(r.work.Prompt[r.keptParts:])
	p, conversation := f.placementOf(b.Service), r.work.Prompt[len(r.work.Prompt)-1].ID
	if len(r.work.Prompt) > 1 {
		p.homes.TakeBack(r.work.Prompt[0], r.previous == "")
	}
	if p.sessions.Get(conversation) == b.ID {
		p.sessions.Put(conversation, r.previous)
	}
}

// Decision returns how the server was picked.
func (b *Backend) Decision() Decision {
	if !b.request.known {
		return Decision{Reason: ReasonLeastLoaded}
	}
	return b.request.decision
}

// Sent records that the request is sent only now: it had to wait for a token of the server.
func (f *Fleet) Sent(b *Backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b.request.sent = f.now()
}

// FirstEvent records that a stream has begun, with the given number of tokens in what came at first. It returns by how much
// it is later than expected, and false if nothing was expected.
func (f *Fleet) FirstEvent(b *Backend, tokens int64) (time.Duration, bool) {
	r := &b.request
	if !r.known {
		return 0, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !r.firstEvent.IsZero() {
		return 0, false
	}
	r.firstEvent, r.firstTokens = f.now(), tokens
	if len(r.work.Prompt) > 0 {
		f.placementOf(b.Service).costs.ObserveFirstEvent(r.decision.Read, r.firstEvent.Sub(r.sent))
	}
	b.server.reading -= r.reading
	b.server.left -= r.reading
	r.left -= r.reading
	r.reading = 0
	return r.firstEvent.Sub(r.sent) - r.ahead, len(r.work.Prompt) > 0
}

// Completed records that a response has ended as a whole. tokens is the number of tokens generated, zero for plain calls.
// It must be called before Release.
func (f *Fleet) Completed(b *Backend, tokens int64) {
	r := &b.request
	if !r.known {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	costs := f.placementOf(b.Service).costs
	costs.ObserveService(now.Sub(r.sent))
	if len(r.work.Prompt) == 0 {
		if ratio, ok := costs.CallRatio(r.work, now.Sub(r.sent)); ok {
			b.server.speed.Observe(ratio, now)
			b.server.seen.compare(ratio)
		}
		costs.ObserveCall(r.work, now.Sub(r.sent), now)
		return
	}
	if r.firstEvent.IsZero() {
		return
	}
	after, took := tokens-r.firstTokens, now.Sub(r.firstEvent)
	if after > 0 {
		b.server.seen.compare(placement.NominalPace(after, took))
	}
	if ratio, ok := costs.Pace(after, took); ok {
		b.server.speed.Observe(ratio, now)
	}
	busy := r.decision.Requests / float64(max(b.Slots, 1))
	costs.ObserveOutput(r.work, tokens, after, took, busy, now)
	b.server.kept.Grow(r.work.Prompt[len(r.work.Prompt)-1].ID, tokens)
}

// end removes what the request had left to do.
func (s *server) end(r *request) {
	s.reading = max(s.reading-r.reading, 0)
	s.left = max(s.left-r.left, 0)
	r.reading, r.left = 0, 0
}
