package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testTTL = time.Minute

func identity(name string) Identity { return IdentityOf(name, "", "", "", nil) }

// timeline records crashes and completions at times after a common start.
type timeline struct {
	*register
	start time.Time
}

func newTimeline() *timeline {
	return &timeline{register: newRegister(testTTL, 1), start: time.Unix(1000, 0)}
}

func (l *timeline) at(d time.Duration) time.Time { return l.start.Add(d) }

// crash has the named requests in progress, sent 50 ms before, at a server that crashes.
func (l *timeline) crash(d time.Duration, server string, names ...string) {
	for _, n := range names {
		l.addCrash(identity(n), Server{ID: server}, crash{sent: l.at(d - 50*time.Millisecond), at: l.at(d)})
	}
}

// decided returns whether the named request is in quarantine after a decision.
func (l *timeline) quarantinedAt(d time.Duration, name string) bool {
	l.decide(l.at(d))
	return !l.quarantinedUntil(identity(name), l.at(d)).IsZero()
}

// Load pattern: each crash breaks off others too, none of which is in progress at all crashes.
func TestRequestPresentAtThreeCrashesIsQuarantined(t *testing.T) {
	is := is.New(t)
	l := newTimeline()
	l.crash(0, "s1", "deadly", "a", "b")
	l.crash(time.Second, "s2", "a", "deadly", "c")
	is.True(!l.quarantinedAt(2*time.Second, "deadly"))
	l.crash(3*time.Second, "s3", "b", "c", "deadly")
	is.True(!l.quarantinedAt(3*time.Second+settleTime/2, "deadly")) // reports may be under way
	is.True(l.quarantinedAt(3*time.Second+settleTime, "deadly"))
	for _, n := range []string{"a", "b", "c"} {
		is.True(!l.quarantinedAt(4*time.Second, n))
	}
	// Crashes with the request in quarantine count against nobody else.
	l.crash(5*time.Second, "s4", "deadly", "a", "b", "c")
	l.crash(6*time.Second, "s5", "deadly", "a", "b", "c")
	is.True(!l.quarantinedAt(7*time.Second, "a"))
	is.True(!l.quarantinedAt(7*time.Second, "b"))
}

// Load pattern: a bystander is sent again each time to the server that the deadly request comes to next.
func TestTwoRequestsAtTheSameThreeCrashesAreNotBothRefused(t *testing.T) {
	is := is.New(t)
	l := newTimeline()
	for i := range 3 {
		l.crash(time.Duration(i)*time.Second, fmt.Sprint("s", i), "deadly", "bystander")
	}
	is.True(!l.quarantinedAt(3*time.Second, "deadly"))
	is.True(!l.quarantinedAt(3*time.Second, "bystander"))
	is.Equal(len(l.complete(identity("bystander"), l.at(3500*time.Millisecond))), 1)
	is.True(l.quarantinedAt(4*time.Second, "deadly")) // the other one has run
	is.True(!l.quarantinedAt(4*time.Second, "bystander"))
}

func TestFourthCrashDecidesATie(t *testing.T) {
	is := is.New(t)
	l := newTimeline()
	for i := range 3 {
		l.crash(time.Duration(i)*time.Second, fmt.Sprint("s", i), "deadly", "bystander")
	}
	l.crash(3*time.Second, "s3", "deadly")
	is.True(l.quarantinedAt(4*time.Second, "deadly"))
	is.True(!l.quarantinedAt(4*time.Second, "bystander"))
}

// Load pattern: several servers lose power at once, and a popular request was in progress at each.
func TestServersThatFailTogetherAccuseNobody(t *testing.T) {
	is := is.New(t)
	l := newTimeline()
	for i := range 5 {
		l.crash(time.Duration(i)*oneEvent/10, fmt.Sprint("s", i), "popular", fmt.Sprint("other", i))
	}
	is.True(!l.quarantinedAt(time.Second, "popular"))
}

// Load pattern: a request that may be repeated is sent to the next server within milliseconds of each crash.
func TestCrashesOfOneAttemptCountOneByOne(t *testing.T) {
	is := is.New(t)
	l := newTimeline()
	for i := range 3 {
		at := l.at(time.Duration(i) * 20 * time.Millisecond)
		l.addCrash(identity("deadly"), Server{ID: fmt.Sprint("s", i)}, crash{sent: at.Add(-10 * time.Millisecond), at: at})
	}
	is.True(l.quarantinedAt(time.Second, "deadly"))
}

// Guards against copies that crash servers within milliseconds, at different instances, being taken for one loss of power: the
// report of the first crash takes longer than the next copy.
func TestCrashesReportedLateCountOneByOne(t *testing.T) {
	is := is.New(t)
	l := newTimeline()
	for i, delay := range []time.Duration{12 * time.Millisecond, 7 * time.Millisecond, 0} {
		at := l.at(time.Duration(i)*6*time.Millisecond + delay)
		l.addCrash(identity("deadly"), Server{ID: fmt.Sprint("s", i)}, crash{sent: at.Add(-2 * time.Millisecond), at: at})
	}
	is.True(l.quarantinedAt(time.Second, "deadly"))
}

// Load pattern: servers fail one after the other for reasons of their own, under a request that is asked for all the time.
func TestRequestThatCompletesIsReleased(t *testing.T) {
	is := is.New(t)
	l := newTimeline()
	l.crash(0, "s1", "popular")
	l.crash(time.Second, "s2", "popular")
	is.Equal(len(l.complete(identity("popular"), l.at(1500*time.Millisecond))), 1)
	l.crash(2*time.Second, "s3", "popular")
	is.True(!l.quarantinedAt(3*time.Second, "popular"))
	l.crash(4*time.Second, "s4", "popular")
	l.crash(5*time.Second, "s5", "popular")
	is.True(l.quarantinedAt(6*time.Second, "popular"))
	is.Equal(len(l.complete(identity("popular"), l.at(7*time.Second))), 1) // a run that was under way
	is.True(!l.quarantinedAt(7*time.Second, "popular"))
}

func TestQuarantineEndsAndIsForgotten(t *testing.T) {
	is := is.New(t)
	l := newTimeline()
	for i := range 3 {
		l.crash(time.Duration(i)*time.Second, fmt.Sprint("s", i), "deadly")
	}
	is.True(l.quarantinedAt(3*time.Second, "deadly"))
	is.True(!l.quarantinedUntil(identity("deadly"), l.at(testTTL)).IsZero())
	is.True(l.quarantinedUntil(identity("deadly"), l.at(testTTL+3*time.Second)).IsZero())
	l.expire(l.at(2 * testTTL))
	is.Equal(len(l.records), 0)
}

func TestRecordsAreBoundedAndQuarantinesKeptLongest(t *testing.T) {
	is := is.New(t)
	l := newTimeline()
	for i := range 3 {
		l.crash(time.Duration(i)*time.Second, fmt.Sprint("s", i), "deadly")
	}
	is.True(l.quarantinedAt(3*time.Second, "deadly"))
	for i := range maxRecords + 500 {
		l.crash(4*time.Second, "s9", fmt.Sprint("bystander ", i))
	}
	l.expire(l.at(5 * time.Second))
	is.Equal(len(l.records), maxRecords)
	is.True(!l.quarantinedUntil(identity("deadly"), l.at(5*time.Second)).IsZero())
}

// crashBodies has requests of one account with the given bodies in progress at a server that crashes.
func (l *timeline) crashBodies(d time.Duration, server string, bodies ...string) {
	for _, b := range bodies {
		l.addCrash(bodyIdentity(b), Server{ID: server}, crash{sent: l.at(d - 50*time.Millisecond), at: l.at(d)})
	}
}

func bodyIdentity(body string) Identity {
	return IdentityOf("acme", "POST", "h", "/chat/x", []byte(body))
}

func (l *timeline) bodyQuarantinedAt(d time.Duration, body string) bool {
	l.decide(l.at(d))
	return !l.quarantinedUntil(bodyIdentity(body), l.at(d)).IsZero()
}

// Load pattern: a conversation that crashes servers comes again as other turns, which begin with it and end differently. The
// account has others.
func TestRequestsWithADeadlyPrefixAreQuarantined(t *testing.T) {
	is := is.New(t)
	l := newTimeline()
	deadly, sound := strings.Repeat("deadly ", 1000), strings.Repeat("sound ", 1000)
	for i := range 4 {
		l.crashBodies(time.Duration(i)*time.Second, fmt.Sprint("s", i), deadly+fmt.Sprint(i), sound+fmt.Sprint(i))
		l.complete(bodyIdentity(sound+"other"), l.at(time.Duration(i)*time.Second+500*time.Millisecond))
	}
	is.True(l.bodyQuarantinedAt(4*time.Second, deadly+"another end"))
	is.True(!l.bodyQuarantinedAt(4*time.Second, sound+"another end"))
	is.True(!l.bodyQuarantinedAt(4*time.Second, "short"))
}

// Load pattern: as above, and one of the turns is in quarantine already.
func TestOneMoreCrashIsEnoughForAPrefixOfAQuarantinedRequest(t *testing.T) {
	is := is.New(t)
	l := newTimeline()
	deadly := strings.Repeat("deadly ", 1000)
	for i := range 3 {
		l.crashBodies(time.Duration(i)*time.Second, fmt.Sprint("s", i), deadly)
	}
	is.True(l.bodyQuarantinedAt(3*time.Second, deadly))
	is.True(!l.bodyQuarantinedAt(3*time.Second, deadly+"another end")) // nothing speaks against its prefix but that request
	l.crashBodies(4*time.Second, "s4", deadly+"more", "bystander")
	is.True(l.bodyQuarantinedAt(5*time.Second, deadly+"another end"))
	is.True(!l.bodyQuarantinedAt(5*time.Second, "bystander"))
}

// Load pattern: all requests of an account begin with the same instructions, and one of them crashes servers.
func TestSharedInstructionsAreNotQuarantinedWithTheRequest(t *testing.T) {
	is := is.New(t)
	l := newTimeline()
	instructions := strings.Repeat("instructions ", 500)
	for i := range 6 {
		at := time.Duration(i) * time.Second
		l.crashBodies(at, fmt.Sprint("s", i), instructions+"deadly", instructions+fmt.Sprint("sound ", i))
		l.decide(l.at(at + 500*time.Millisecond))
	}
	is.True(l.bodyQuarantinedAt(7*time.Second, instructions+"deadly"))
	is.True(!l.bodyQuarantinedAt(7*time.Second, instructions+"sound"))
}

// Whatever the order in which reports reach the holder, and however often, it comes to the same decision.
func TestDecisionDoesNotDependOnTheOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type report struct {
			f Fingerprint
			r record
		}
		l := newTimeline()
		var reports []report
		for i := range rapid.IntRange(3, 8).Draw(t, "crashes") {
			server := Server{ID: fmt.Sprint("s", i)}
			at := l.at(time.Duration(i) * 300 * time.Millisecond)
			present := []string{"deadly"}
			for b := range rapid.IntRange(0, 3).Draw(t, "bystanders") {
				present = append(present, fmt.Sprint("b", i, b))
			}
			for _, n := range present {
				reports = append(reports, report{identity(n).whole(), record{crashes: map[Server]crash{server: {sent: at, at: at}}}})
			}
		}
		for _, r := range rapid.Permutation(append(reports, reports...)).Draw(t, "order") {
			l.merge(r.f, r.r)
		}
		if !l.quarantinedAt(10*time.Second, "deadly") {
			t.Fatal("the request that was present at each crash is not in quarantine")
		}
		if n := l.countQuarantined(l.at(10 * time.Second)); n != 1 {
			t.Fatalf("%d requests are in quarantine", n)
		}
	})
}
