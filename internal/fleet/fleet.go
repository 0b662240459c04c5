// Package fleet tracks the registered backend servers and their load, and picks one for each request.
package fleet

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/berylpond/berylpond/internal/backendlimit"
	"github.com/berylpond/berylpond/internal/placement"
)

const (
	// minSuspectDuration is how long a backend server gets no new requests after it refused or broke a connection, unless
	// no other server is available. It doubles with each consecutive failure.
	minSuspectDuration = 250 * time.Millisecond
	// maxSuspectDuration bounds the doubling, so that a server that has recovered is tried again within seconds.
	maxSuspectDuration = 4 * time.Second
	// remotePenalty is added to the load of servers in other data centres, as a fraction of a server's slots: traffic
	// between data centres is billed, and it adds a millisecond of latency.
	remotePenalty = 0.08
	// affinitySlack is how much the load of the server with the cached prompt may exceed that of the least loaded server,
	// as a fraction of a server's slots: prefilling the prompt on another server costs as much as sharing an engine with
	// that many more requests.
	affinitySlack = 0.25
)

// Entry is the registration of a backend server.
type Entry struct {
	ID, Service string
	// Address is IP:PORT. Another server may reuse it later.
	Address    string
	DataCentre string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Draining servers take no new requests.
	Draining bool
	// Incarnation changes when the server restarts under the same id; zero if the server does not report it.
	Incarnation int64
	// Cold is what the entry says about how long the server is still cold.
	Cold ColdReport
}

// Backend is a backend server that was picked for one request, with its entry as of that moment. It is safe to read
// while the fleet changes.
type Backend struct {
	Entry
	server *server
	// request is guarded by the fleet's lock, except for what was decided.
	request request
	// pickedCold is set if the server was cold when it was picked, so that the request has a token for it.
	pickedCold bool
}

// server is a backend server with the load and the failures that this instance has observed. The fleet's lock guards
// it.
type server struct {
	Entry
	inFlight     int
	failures     int
	suspectUntil time.Time
	// leavingSince is when the server first announced in a response that it is leaving; zero if it has not.
	leavingSince time.Time
	limit        limitState
	// kept is what the server keeps of prompts, speed how fast it is. reading is the time to read the prompts of the requests
	// in progress, left the time that all that is left of them is expected to take.
	kept          placement.Kept
	speed         placement.Speed
	reading, left time.Duration
	cold          coldState
	// notedCold is set if the last log line about it says that the server is cold.
	notedCold bool
	seen      seen
	shared    shared
}

// Fleet is the set of known backend servers. It is safe for concurrent use.
type Fleet struct {
	dataCentre string
	// lastSend is how long after its announcement a leaving server may still be picked, if there is no other.
	lastSend time.Duration
	// ReturnPeriod returns over what time the servers of a service get their share of requests back after their data centre
	// was evacuated. Nil means at once. It must not change after the first request.
	ReturnPeriod func(service string) time.Duration
	now          func() time.Time
	// random returns a random number below its argument.
	random func(int) int

	mu          sync.Mutex
	evacuations evacuations
	announced   map[string]announcement
	byID        map[string]*server
	byService   map[string][]*server
	// placements holds what was learned about each service.
	placements map[string]*servicePlacement
	// sharedAt is when the loads of other instances were last learned.
	sharedAt time.Time
	loaded   bool
	// coldLimitOf returns what a service allows for its cold servers; nil if nothing is limited. coldLimits holds what it
	// returned lately.
	coldLimitOf func(service string) ColdLimit
	coldLimits  map[string]readColdLimit
	// assumedCold holds the data centres whose servers were assumed to be cold, with the time since when.
	assumedCold map[string]time.Time
	coldSpells  int
}

// New returns an empty fleet. Servers in dataCentre are preferred. drainPeriod is the time after which nothing new may
// reach a server that has announced that it is leaving; half of it is left for connecting and sending.
func New(dataCentre string, drainPeriod time.Duration) *Fleet {
	return &Fleet{
		dataCentre: dataCentre, lastSend: drainPeriod / 2, now: time.Now, random: rand.IntN,
		evacuations: evacuations{current: map[string]bool{}, returned: map[string]time.Time{}},
		announced:   map[string]announcement{}, byID: map[string]*server{}, byService: map[string][]*server{},
		placements:  map[string]*servicePlacement{},
		assumedCold: map[string]time.Time{}, coldLimits: map[string]readColdLimit{},
	}
}

// Upsert adds a server or updates its entry. A changed incarnation, service or address makes it a new server, without
// load or failures. It reports whether the server has turned cold or warm.
func (f *Fleet) Upsert(e Entry) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.setLocked(e)
}

func (f *Fleet) setLocked(e Entry) bool {
	b := f.byID[e.ID]
	if b != nil && b.Incarnation == e.Incarnation && b.Service == e.Service && b.Address == e.Address {
		if b.DataCentre != e.DataCentre {
			f.membersChanged(e.Service)
		}
		b.Entry = e
		return f.updateCold(b, b.cold.report(e.Cold.asOf(f.now())))
	}
	if b != nil {
		f.removeLocked(e.ID)
	}
	b = &server{Entry: e}
	if others := f.byService[e.Service]; len(others) > 0 {
		b.shared.mean = others[0].shared.mean
	}
	if a, ok := f.announced[e.ID]; ok {
		if a.appliesTo(e) {
			b.leavingSince, b.limit = a.leavingSince, a.limit
		} else {
			delete(f.announced, e.ID)
		}
	}
	f.byID[e.ID] = b
	f.byService[e.Service] = append(f.byService[e.Service], b)
	f.membersChanged(e.Service)
	return f.updateCold(b, f.startCold(e))
}

// Remove removes a server.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeLocked(id)
}

func (f *Fleet) removeLocked(id string) {
	b := f.byID[id]
	if b == nil {
		return
	}
	delete(f.byID, id)
	f.membersChanged(b.Service)
	list := f.byService[b.Service]
	for i, other := range list {
		if other == b {
			f.byService[b.Service] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// MarkLoaded records that the registry has been read at least once.
func (f *Fleet) MarkLoaded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded = true
}

// IsLoaded reports whether the registry has been read at least once.
func (f *Fleet) IsLoaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// Entries returns the entries of all servers.
func (f *Fleet) Entries() []Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	out := make([]Entry, 0, len(f.byID))
	for _, b := range f.byID {
		e := b.Entry
		e.Cold = f.currentCold(b, now)
		out = append(out, e)
	}
	return out
}

// Addresses returns the addresses of the servers that are not draining, of one service after the other.
func (f *Fleet) Addresses() [][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([][]string, 0, len(f.byService))
	for _, servers := range f.byService {
		var addresses []string
		for _, b := range servers {
			if !b.Draining {
				addresses = append(addresses, b.Address)
			}
		}
		out = append(out, addresses)
	}
	return out
}

// AcceptsNew reports whether a server has the address and may be sent new requests.
func (f *Fleet) AcceptsNew(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for _, b := range f.byID {
		if b.Address == address && f.mayBeUsed(b, now) {
			return true
		}
	}
	return false
}

// Criteria holds the criteria for picking a server.
type Criteria struct {
	Service string
	// Work is what the request is expected to ask of the server. Without a route it is unknown, and requests count alike.
	Work placement.Work
	// CacheTokens is the memory of each server for prompts, in tokens; zero if unknown.
	CacheTokens int64
	// Preferred is the id of the server that has the prompt cached; empty if there is none.
	Preferred string
	// Exclude lists the ids of servers that were already tried.
	Exclude []string
	// AnyDataCentre picks the least loaded server of all data centres alike.
	AnyDataCentre bool
	// WarmOnly passes over cold servers.
	WarmOnly bool
	// Permit takes permission to send one request to a server that limits them. Nil permits every request.
	Permit func(backendlimit.Server, backendlimit.Limit) bool
	// InDataCentre reports whether servers of a data centre may be picked. Nil allows all.
	InDataCentre func(dataCentre string) bool
	// returning is added to the load of the servers of data centres that were taken back.
	returning map[string]float64
}

// allows reports whether the server may be picked as far as its place goes.
func (c *Criteria) allows(b *server) bool {
	return c.InDataCentre == nil || c.InDataCentre(b.DataCentre)
}

// load returns the load by which a server is compared for a request. f.mu must be held.
func (f *Fleet) load(c *Criteria, b *server, now time.Time) float64 {
	return b.load() + f.extraLoad(c, b, now)
}

// extraLoad is what is added to the load of a server that is to fill last. f.mu must be held.
func (f *Fleet) extraLoad(c *Criteria, b *server, now time.Time) float64 {
	return f.coldLoad(b, now) + c.returning[b.DataCentre]
}

// Acquire picks a server and counts a request on it until Release. It returns nil if no server can be used.
func (f *Fleet) Acquire(c Criteria) *Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	c.returning = f.returning(c.Service, now)
	best, decision := f.pick(c, now, func(b *server) bool { return f.mayBeUsed(b, now) && b.isSound(now) })
	if best == nil {
		c.Preferred = ""
		best, decision = f.pick(c, now, func(b *server) bool { return f.mayBeUsed(b, now) })
	}
	if best == nil {
		return nil
	}
	best.inFlight++
	if best.limit.Announced {
		best.limit.sent++
	}
	return &Backend{
		Entry: best.Entry, server: best, request: f.send(best, c, decision, now), pickedCold: f.isCold(best, now),
	}
}

// pick returns the best server among the usable ones that permit a request, or nil. A server with a limit is asked for
// permission only when it would be picked, so that no permission is taken in vain.
func (f *Fleet) pick(c Criteria, now time.Time, usable func(*server) bool) (*server, Decision) {
	var denied map[*server]bool
	for {
		best, decision := f.choose(c, now, func(b *server) bool {
			return !denied[b] && c.allows(b) && usable(b) && !(c.WarmOnly && f.isCold(b, now))
		})
		if best == nil {
			return nil, Decision{}
		}
		if c.permits(best, f.limitOf(best, now)) {
			return best, decision
		}
		if denied == nil {
			denied = map[*server]bool{}
		}
		denied[best] = true
	}
}

// choose returns the best of the usable servers: by the expected cost of the request if its prompt is known, otherwise the
// least loaded one or the preferred one.
func (f *Fleet) choose(c Criteria, now time.Time, usable func(*server) bool) (*server, Decision) {
	if c.Work.Route != "" && len(c.Work.Prompt) > 0 && len(f.byService[c.Service]) > 0 {
		if b, d := f.place(c, now, usable); b != nil {
			return b, d
		}
	}
	load := func(b *server) float64 { return f.load(&c, b, now) }
	var best *server
	if c.Work.Route != "" && f.sharedWeight(now) > 0 && len(f.byService[c.Service]) > 0 {
		load = func(b *server) float64 { return f.sharedLoad(b, now) + f.extraLoad(&c, b, now) }
		best = f.leastLoadedOfSome(c, now, usable)
	}
	if best == nil {
		best = f.leastLoaded(c, now, usable)
	}
	if best == nil {
		return nil, Decision{}
	}
	if p := f.byID[c.Preferred]; p != nil && p.Service == c.Service && usable(p) &&
		!excluded(c.Exclude, p.ID) && load(p) <= load(best)+affinitySlack {
		best = p
	}
	return best, Decision{
		Reason: ReasonLeastLoaded, Read: readable(c.Work.PromptTokens(), c.CacheTokens),
		Requests: f.requestsAt(best, now), SharedAge: f.sharedAge(now),
	}
}

func (f *Fleet) leastLoaded(c Criteria, now time.Time, usable func(*server) bool) *server {
	var best *server
	var lowest float64
	ties := 0
	for _, b := range f.byService[c.Service] {
		if excluded(c.Exclude, b.ID) || !usable(b) {
			continue
		}
		load := f.load(&c, b, now)
		if b.DataCentre != f.dataCentre && !c.AnyDataCentre {
			load += remotePenalty
		}
		switch {
		case best == nil || load < lowest:
			best, lowest, ties = b, load, 1
		case load == lowest:
			// Reservoir sampling: each of the tied servers is picked with the same probability.
			if ties++; f.random(ties) == 0 {
				best = b
			}
		}
	}
	return best
}

// isSound reports whether nothing speaks against the server.
func (b *server) isSound(now time.Time) bool {
	return !b.Draining && b.leavingSince.IsZero() && now.After(b.suspectUntil)
}

// mayBeUsed reports whether the server may be picked, for lack of a sound one at least.
func (f *Fleet) mayBeUsed(b *server, now time.Time) bool {
	return !b.Draining && !f.evacuations.current[b.DataCentre] &&
		(b.leavingSince.IsZero() || now.Sub(b.leavingSince) < f.lastSend)
}

func (b *server) load() float64 { return float64(b.inFlight) / float64(b.Slots) }

func excluded(ids []string, id string) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

// Cancel undoes Acquire for a request that was not sent.
func (f *Fleet) Cancel(b *Backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b.server.inFlight--
	b.server.end(&b.request)
	f.unsend(b)
	if b.server.limit.sent > 0 {
		b.server.limit.sent--
	}
}

// Abandon ends a request that got no whole response for a reason that says nothing of the server, such as its deadline.
func (f *Fleet) Abandon(b *Backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b.server.inFlight--
	b.server.end(&b.request)
	b.server.failures = 0
}

// Release ends a request on a server. failed reports a failure that indicates a problem with the server; otherwise the
// response was whole.
func (f *Fleet) Release(b *Backend, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := b.server
	s.inFlight--
	s.end(&b.request)
	if !failed {
		s.failures = 0
		s.seen.completed++
		return
	}
	s.failures++
	s.seen.failed++
	backoff := minSuspectDuration << min(s.failures-1, 4)
	s.suspectUntil = f.now().Add(min(backoff, maxSuspectDuration))
}
