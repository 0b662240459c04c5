package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/berylpond/berylpond/internal/backendlimit"
)

const (
	// crashLimit is the number of crashes after which a request is put in quarantine.
	crashLimit = 3
	// tiedCrashLimit replaces it while another request was in progress at most of the same crashes, so that only one of the
	// two may be the cause.
	tiedCrashLimit = crashLimit + 1
	// sharedCrashes is the number of suspect crashes from which a suspect is made known to all instances. Nearly all
	// requests that are broken off by a crash are broken off by no other.
	sharedCrashes = 2
	// settleTime is the age from which a crash counts, by which every instance has reported its requests that were in
	// progress at the server: instances exchange reports three times a second.
	settleTime = 400 * time.Millisecond
	// oneEvent is the time within which crashes of servers may have one cause outside of the requests, such as a loss of
	// power.
	oneEvent = 100 * time.Millisecond
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

// record is what is known of one request.
type record struct {
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
// all of them. A crash has one cause. Once a request is in quarantine, its crashes no longer count for others.
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

// quarantinedUntil returns the end of the quarantine of a request. It is zero if the request may be sent.
func (g *register) quarantinedUntil(f Fingerprint, now time.Time) time.Time {
	if r := g.records[f]; r != nil && r.quarantined(now) {
		return r.until
	}
	return time.Time{}
}

// addCrash records that a request was in progress at a server that crashed, and reports whether that is new.
func (g *register) addCrash(f Fingerprint, s Server, c crash) bool {
	return g.merge(f, record{crashes: map[Server]crash{s: c}})
}

// complete records that a run of a request ended with a whole response, and reports whether that is of interest: the request
// is a suspect.
func (g *register) complete(f Fingerprint, at time.Time) bool {
	return g.records[f] != nil && g.merge(f, record{completed: at})
}

// merge adds what another source knows of a request, and reports whether any of that is new.
func (g *register) merge(f Fingerprint, other record) bool {
	r := g.records[f]
	if r == nil {
		r = &record{crashes: map[Server]crash{}}
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
	explained := g.explained(now)
	suspects := g.suspects(now, explained)
	for {
		i := slices.IndexFunc(suspects, func(s suspect) bool {
			return s.crashes >= crashLimit && s.crashes >= s.limit(suspects)
		})
		if i < 0 {
			return decided
		}
		r := g.records[suspects[i].fingerprint]
		r.until = now.Add(g.ttl)
		g.noteChange(r)
		decided = append(decided, suspects[i].fingerprint)
		for s := range r.crashes {
			explained[s] = true
		}
		suspects = g.suspects(now, explained)
	}
}

// explained returns the servers that were crashed by requests in quarantine.
func (g *register) explained(now time.Time) map[Server]bool {
	out := map[Server]bool{}
	for _, r := range g.records {
		if r.quarantined(now) {
			for s := range r.crashes {
				out[s] = true
			}
		}
	}
	return out
}

// suspect is a request that may have caused crashes that are not explained.
type suspect struct {
	fingerprint Fingerprint
	servers     map[Server]crash
	// crashes is the number of crashes that can't have had one cause outside of the requests.
	crashes int
}

// suspects returns the requests that are not in quarantine, those with the most crashes first.
func (g *register) suspects(now time.Time, explained map[Server]bool) []suspect {
	var out []suspect
	for f, r := range g.records {
		if r.quarantined(now) {
			continue
		}
		servers := maps.Clone(r.crashes)
		maps.DeleteFunc(servers, func(s Server, c crash) bool { return explained[s] || now.Sub(c.at) < settleTime })
		if n := separateCrashes(servers); n > 0 {
			out = append(out, suspect{fingerprint: f, servers: servers, crashes: n})
		}
	}
	slices.SortFunc(out, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(len(b.servers), len(a.servers)),
			slices.Compare(a.fingerprint[:], b.fingerprint[:]))
	})
	return out
}

// separateCrashes counts crashes, without those that may have had the cause of an earlier one: they came at nearly the same
// time, and the request had been sent to both servers before.
func separateCrashes(servers map[Server]crash) int {
	ordered := slices.SortedFunc(maps.Values(servers), func(a, b crash) int { return a.at.Compare(b.at) })
	n := 0
	var last time.Time
	for _, c := range ordered {
		if n == 0 || c.at.Sub(last) >= oneEvent || c.sent.After(last) {
			n, last = n+1, c.at
		}
	}
	return n
}

// limit returns the number of crashes from which the suspect is taken for their cause.
func (s suspect) limit(others []suspect) int {
	for _, o := range others {
		if o.fingerprint != s.fingerprint && o.crashes == s.crashes && 2*s.shared(o) > len(s.servers) {
			return tiedCrashLimit
		}
	}
	return crashLimit
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
