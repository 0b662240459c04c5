package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/invariant"
	"github.com/berylpond/berylpond/internal/verdict"
)

// applyResult is the result of one call of Apply.
type applyResult struct {
	author  string
	version uint64
	err     error
}

// TestApplyResultsMatchLogUnderFaults runs concurrent edits while the log is unavailable or loses responses and
// instances are isolated from each other. It guards against wrong results of Apply: each edit that was reported as
// accepted must be in the log's history with that version, and none that was reported as a conflict may be there.
func TestApplyResultsMatchLogUnderFaults(t *testing.T) {
	is := is.New(t)
	invariant.PanicOnViolation(true)
	defer invariant.PanicOnViolation(false)
	log := newFakeLog()
	cfg := fastConfig()
	cfg.ApplyTimeout = 400 * time.Millisecond
	cfg.RepublishAge = 100 * time.Millisecond
	net, cs := newControllers(5, log, cfg)
	runControllers(t, cs...)
	doc := exampleDocument(t)
	_, err := cs[0].Apply(context.Background(), nile, 0, doc, "first")
	is.NoErr(err)

	var mu sync.Mutex
	var results []applyResult
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for i, c := range cs {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				author := fmt.Sprintf("op%d-%d", i, n)
				_, base := c.DocumentText(nile)
				v, err := c.Apply(context.Background(), nile, base, append(doc, "# "+author+"\n"...), author)
				mu.Lock()
				results = append(results, applyResult{author: author, version: v, err: err})
				mu.Unlock()
			}
		})
	}
	wg.Go(func() { injectFaults(ctx, log, net, cs) })
	wg.Wait()

	_, err = cs[0].Apply(context.Background(), nile, 0, doc, "stale")
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	reference, acceptedVersions := readAll(log, cs[0])
	want, version := reference.Document(nile)
	eventually(t, "last version on all instances", onAll(cs, func(s *Snapshot) bool { return s.Version(nile) == version }))
	for _, c := range cs {
		got, _ := c.DocumentText(nile)
		is.Equal(string(got), string(want))
	}
	checkResults(t, results, acceptedVersions)
}

func injectFaults(ctx context.Context, log *fakeLog, net *network, cs []*Controller) {
	rng := rand.New(rand.NewPCG(7, 7))
	for ctx.Err() == nil {
		switch rng.IntN(4) {
		case 0:
			log.unavailable.Store(true)
		case 1:
			log.lostResponses.Store(int64(rng.IntN(4)))
		case 2:
			net.mu.Lock()
			net.isolated[cs[rng.IntN(len(cs))].table.Self().PeerAddr] = true
			net.mu.Unlock()
		}
		sleep(ctx, time.Duration(rng.IntN(60))*time.Millisecond)
		log.unavailable.Store(false)
		net.mu.Lock()
		clear(net.isolated)
		net.mu.Unlock()
		sleep(ctx, time.Duration(rng.IntN(40))*time.Millisecond)
	}
}

// readAll returns the state after applying the whole log, and the versions of all accepted edits by author.
func readAll(log *fakeLog, c *Controller) (*State, map[string]uint64) {
	s := NewState()
	acceptedVersions := map[string]uint64{}
	s.SetFirstOffset(0)
	page, _ := log.Read(context.Background(), Stream, 0, 1<<20, 0)
	for _, r := range page.Records {
		s.Apply(uint64(r.Offset), c.decode(r))
		if s.teams[nile] != nil {
			acceptedVersions[s.teams[nile].info.Author] = s.teams[nile].version
		}
	}
	return s, acceptedVersions
}

func checkResults(t *testing.T, results []applyResult, acceptedVersions map[string]uint64) {
	accepted, conflicts, unknown := 0, 0, 0
	for _, r := range results {
		version, inLog := acceptedVersions[r.author]
		var conflict *ConflictError
		switch {
		case r.err == nil:
			accepted++
			if version != r.version {
				t.Errorf("%s: Apply returned version %d, the log has version %d", r.author, r.version, version)
			}
		case errors.As(r.err, &conflict):
			conflicts++
			if inLog {
				t.Errorf("%s: Apply returned a conflict, but the edit was accepted as version %d", r.author, version)
			}
		default:
			unknown++
			if verdict.From(r.err).Verdict != verdict.MayHaveRun {
				t.Errorf("%s: %v", r.author, r.err)
			}
		}
	}
	t.Logf("accepted %d, conflicts %d, unknown %d", accepted, conflicts, unknown)
	if accepted == 0 {
		t.Error("no edit was accepted")
	}
}
