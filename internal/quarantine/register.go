package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/berylpond/berylpond/internal/backendlimit"
)

const (
	// crashLimit is the number of crashes after which a request is put in quarantine; see register.limit.
	crashLimit = 3
	// sharedCrashes is the number of suspect crashes from which a suspect is made known to all instances. Nearly all
	// requests that are broken off by a crash are broken off by no other.
	sharedCrashes = 2
	// settleTime is the age from which a crash counts, by which every instance has reported its requests that were in
	// progress at the server: a crash is reported to the holder at once.
	settleTime = 250 * time.Millisecond
	// oneEvent is the time within which crashes of servers may have one cause outside of the requests, such as a loss of
	// power.
	oneEvent = 50 * time.Millisecond
	// reportDelay is by how much later a crash may seem to be than it was, as instances tell each other its age: the time that a
	// message takes under load.
	reportDelay = 20 * time.Millisecond
	// clockTolerance is by how much times that instances tell each other, as ages, may differ without being news.
	clockTolerance = 200 * time.Millisecond
	// maxRecords bounds the requests that are remembered, and maxCrashes the crashes of each.
	maxRecords = 4096
	maxCrashes = 16
)

// Server identifies one incarnation of a backend server.
type Server = backendlimit.Server

// crash is the end of a server at which the request was in progress.
type crash struct {
	// sent is when the request was sent to the server.
	sent, at time.Time
}

// record is what is known of one request, or of all requests with a common prefix.
type record struct {
	// prefix is the fingerprint of the next shorter prefix; zero if there is none.
	prefix  Fingerprint
	crashes map[Server]crash
	// completed is when a run of the request last ended with a whole response; zero if none is known. Crashes before that
	// do not count: a request that makes servers crash completes nowhere.
	completed time.Time
	// until is the end of the quarantine; zero if there is none.
	until time.Time
	// stored means that the quarantine is recorded in the platform's store.
	stored bool
	// shared is set once the record was made known to all instances.
	shared bool
}

func (r *record) quarantined(now time.Time) bool { return now.Before(r.until) }

// lastCrash returns the time of the newest crash.
func (r *record) lastCrash() time.Time {
	var last time.Time
	for _, c := range r.crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// register is what an instance knows of the requests that were in progress at servers that crashed. Its methods do no I/O.
//
// Load pattern: a request crashes each server that runs it, and copies of it come to all instances. Each crash breaks off all
// that runs on the server, and most of it is sent again, so that after three crashes some of it may have been in progress at
// all of them. A crash has one cause: once a request is in quarantine, its crashes no longer count for others.
type register struct {
	// ttl is how long crashes are remembered, and how long a quarantine lasts.
	ttl     time.Duration
	records map[Fingerprint]*record
	// revision increases with each change of a shared record.
	revision int64
}

func newRegister(ttl time.Duration, revision int64) *register {
	return &register{ttl: ttl, records: map[Fingerprint]*record{}, revision: revision}
}

// quarantinedUntil returns the end of the quarantine of a request or one of its prefixes. It is zero if the request may be
// sent.
func (g *register) quarantinedUntil(id Identity, now time.Time) time.Time {
	var until time.Time
	for _, f := range id {
		if r := g.records[f]; r != nil && r.quarantined(now) && r.until.After(until) {
			until = r.until
		}
	}
	return until
}

// addCrash records that a request was in progress at a server that crashed, and returns the records in which that is new.
func (g *register) addCrash(id Identity, s Server, c crash) []Fingerprint {
	var changed []Fingerprint
	var prefix Fingerprint
	for _, f := range id {
		if g.merge(f, record{prefix: prefix, crashes: map[Server]crash{s: c}}) {
			changed = append(changed, f)
		}
		prefix = f
	}
	return changed
}

// complete records that a run of a request ended with a whole response, and returns the records of which it clears crashes.
func (g *register) complete(id Identity, at time.Time) []Fingerprint {
	var changed []Fingerprint
	for _, f := range id {
		if r := g.records[f]; r != nil && len(r.crashes) > 0 && g.merge(f, record{completed: at}) {
			changed = append(changed, f)
		}
	}
	return changed
}

// merge adds what another source knows, and reports whether any of that is new.
func (g *register) merge(f Fingerprint, other record) bool {
	r := g.records[f]
	if r == nil {
		r = &record{prefix: other.prefix, crashes: map[Server]crash{}}
	}
	before := record{crashes: maps.Clone(r.crashes), completed: r.completed, until: r.until, stored: r.stored}
	if other.completed.Sub(r.completed) > clockTolerance {
		r.completed = other.completed
	}
	for s, c := range other.crashes {
		if _, known := r.crashes[s]; !known && len(r.crashes) < maxCrashes {
			r.crashes[s] = c
		}
	}
	maps.DeleteFunc(r.crashes, func(_ Server, c crash) bool { return !c.at.After(r.completed) })
	if other.until.Sub(r.until) > clockTolerance {
		r.until = other.until
	}
	r.stored = (r.stored || other.stored) && !r.until.IsZero()
	if len(r.crashes) == 0 {
		r.until, r.stored = time.Time{}, false
	}
	changed := !maps.Equal(before.crashes, r.crashes) || before.until != r.until || before.stored != r.stored ||
		r.shared && before.completed != r.completed
	if !changed {
		return false
	}
	g.records[f] = r
	g.noteChange(r)
	return true
}

// noteChange updates the revision after a change of a record.
func (g *register) noteChange(r *record) {
	r.shared = r.shared || len(r.crashes) >= sharedCrashes || !r.until.IsZero()
	if r.shared {
		g.revision++
	}
}

// expire drops what is too old, and the oldest records if there are too many.
func (g *register) expire(now time.Time) {
	for f, r := range g.records {
		maps.DeleteFunc(r.crashes, func(_ Server, c crash) bool { return now.Sub(c.at) > g.ttl })
		if !r.quarantined(now) && len(r.crashes) == 0 && now.Sub(r.completed) > g.ttl {
			delete(g.records, f)
		}
	}
	if len(g.records) <= maxRecords {
		return
	}
	oldest := slices.SortedFunc(maps.Keys(g.records), func(a, b Fingerprint) int {
		x, y := g.records[a], g.records[b]
		return cmp.Or(x.until.Compare(y.until), x.lastCrash().Compare(y.lastCrash()))
	})
	for _, f := range oldest[:len(oldest)-maxRecords] {
		delete(g.records, f)
	}
}

// decide puts requests in quarantine according to the crashes that have settled, and returns them.
func (g *register) decide(now time.Time) []Fingerprint {
	var decided []Fingerprint
	for {
		suspects := g.suspects(now)
		i := slices.IndexFunc(suspects, func(s suspect) bool {
			return s.crashes >= g.limit(s, suspects)
		})
		if i < 0 {
			return decided
		}
		f := suspects[i].fingerprint
		g.records[f].until = now.Add(g.ttl)
		g.noteChange(g.records[f])
		decided = append(decided, f)
	}
}

// suspect is a request, or the prefix of some, that may have caused crashes that are not explained.
type suspect struct {
	fingerprint Fingerprint
	// specificity is the higher, the fewer requests the fingerprint covers.
	specificity int
	servers     map[Server]crash
	// crashes is the number of crashes that can't have had one cause outside of the requests.
	crashes int
}

// suspects returns what has enough crashes and is not in quarantine: the one with the most crashes first, and of those whole
// requests and longer prefixes.
func (g *register) suspects(now time.Time) []suspect {
	var out []suspect
	explained := g.explained(now)
	for f, r := range g.records {
		if len(r.crashes) < crashLimit || g.isQuarantined(f, now) {
			continue
		}
		if s := g.suspect(f, r, explained, now); s.crashes >= crashLimit {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(b.specificity, a.specificity), slices.Compare(a.fingerprint[:], b.fingerprint[:]))
	})
	return out
}

// explained returns, for the servers that crashed with requests in quarantine in progress, those requests.
func (g *register) explained(now time.Time) map[Server][]Fingerprint {
	out := map[Server][]Fingerprint{}
	for f, r := range g.records {
		if r.quarantined(now) {
			for s := range r.crashes {
				out[s] = append(out[s], f)
			}
		}
	}
	return out
}

// suspect returns what speaks against a request, or against a prefix: the crashes that are not explained. If there are any,
// the crashes explained by requests with that prefix speak against it too.
func (g *register) suspect(f Fingerprint, r *record, explained map[Server][]Fingerprint, now time.Time) suspect {
	s := suspect{fingerprint: f, specificity: g.specificity(f), servers: map[Server]crash{}}
	unexplained := false
	for server, c := range r.crashes {
		causes := explained[server]
		ownCause := slices.ContainsFunc(causes, func(cause Fingerprint) bool { return g.hasPrefix(cause, f) })
		if now.Sub(c.at) < settleTime || len(causes) > 0 && !ownCause {
			continue
		}
		unexplained = unexplained || len(causes) == 0
		s.servers[server] = c
	}
	if unexplained {
		s.crashes = separateCrashes(s.servers)
	}
	return s
}

// isQuarantined reports whether a request, or one of its prefixes, is in quarantine.
func (g *register) isQuarantined(f Fingerprint, now time.Time) bool {
	for r := g.records[f]; r != nil; r = g.records[r.prefix] {
		if r.quarantined(now) {
			return true
		}
	}
	return false
}

func (g *register) specificity(f Fingerprint) int {
	n := 0
	if f.isWhole() {
		n = len(prefixLengths)
	}
	for r := g.records[f]; r != nil && r.prefix != (Fingerprint{}); r = g.records[r.prefix] {
		n++
	}
	return n
}

// hasPrefix reports whether a request or prefix has another, shorter prefix.
func (g *register) hasPrefix(f, prefix Fingerprint) bool {
	for r := g.records[f]; r != nil; r = g.records[r.prefix] {
		if r.prefix == prefix {
			return true
		}
	}
	return false
}

// separateCrashes counts crashes, without those that may have had the cause of an earlier one: they came at nearly the same
// time, and the request had been sent to both servers before.
func separateCrashes(servers map[Server]crash) int {
	ordered := slices.SortedFunc(maps.Values(servers), func(a, b crash) int { return a.at.Compare(b.at) })
	n := 0
	var last time.Time
	for _, c := range ordered {
		if n == 0 || c.at.Sub(last) >= oneEvent || c.sent.After(last.Add(-reportDelay)) {
			n, last = n+1, c.at
		}
	}
	return n
}

// limit returns the number of crashes from which the suspect is taken for their cause. It is higher for a prefix, which
// accuses requests that have not run, and while another suspect was in progress at most of the same crashes, so that only one
// of the two may be the cause.
func (g *register) limit(s suspect, others []suspect) int {
	limit := crashLimit
	if !s.fingerprint.isWhole() {
		limit++
	}
	for _, o := range others {
		related := g.hasPrefix(o.fingerprint, s.fingerprint) || g.hasPrefix(s.fingerprint, o.fingerprint)
		if o.fingerprint != s.fingerprint && !related && o.crashes == s.crashes && 2*s.shared(o) > len(s.servers) {
			return limit + 1
		}
	}
	return limit
}

// shared counts the servers that crashed with both requests in progress.
func (s suspect) shared(o suspect) int {
	n := 0
	for server := range s.servers {
		if _, ok := o.servers[server]; ok {
			n++
		}
	}
	return n
}

func (g *register) countQuarantined(now time.Time) int {
	n := 0
	for _, r := range g.records {
		if r.quarantined(now) {
			n++
		}
	}
	return n
}
