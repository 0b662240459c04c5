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

// told is what an operator heard of one edit.
type told struct {
	author  string
	version uint64
	err     error
}

// TestOperatorsAreToldTheTruthUnderFaults lets operators race while the log goes away, loses answers, and instances are
// cut off from each other. Afterwards each success must stand in the history, and no conflict may.
func TestOperatorsAreToldTheTruthUnderFaults(t *testing.T) {
	is := is.New(t)
	invariant.PanicOnViolation(true)
	defer invariant.PanicOnViolation(false)
	log := newFakeLog()
	cfg := fast()
	cfg.ApplyTimeout = 400 * time.Millisecond
	cfg.RefreshEvery = 100 * time.Millisecond
	net, cs := newSite(5, log, cfg)
	run(t, cs...)
	doc := exampleDocument(t)
	_, err := cs[0].Apply(context.Background(), nile, 0, doc, "first")
	is.NoErr(err)

	var mu sync.Mutex
	var heard []told
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	for i, c := range cs {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				author := fmt.Sprintf("op%d-%d", i, n)
				_, base := c.Source(nile)
				v, err := c.Apply(context.Background(), nile, base, append(doc, "# "+author+"\n"...), author)
				mu.Lock()
				heard = append(heard, told{author: author, version: v, err: err})
				mu.Unlock()
			}
		})
	}
	wg.Go(func() { injectFaults(ctx, log, net, cs) })
	wg.Wait()

	_, err = cs[0].Apply(context.Background(), nile, 0, doc, "stale")
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	reference, counted := readAll(log, cs[0])
	want, version := reference.Document(nile)
	eventually(t, "all hold the last version", everywhere(cs, func(s *Snapshot) bool { return s.Version(nile) == version }))
	for _, c := range cs {
		got, _ := c.Source(nile)
		is.Equal(string(got), string(want))
	}
	checkHeard(t, heard, counted)
}

func injectFaults(ctx context.Context, log *fakeLog, net *network, cs []*Controller) {
	rng := rand.New(rand.NewPCG(7, 7))
	for ctx.Err() == nil {
		switch rng.IntN(4) {
		case 0:
			log.away.Store(true)
		case 1:
			log.losing.Store(int64(rng.IntN(4)))
		case 2:
			net.mu.Lock()
			net.cut[cs[rng.IntN(len(cs))].table.Self().PeerAddr] = true
			net.mu.Unlock()
		}
		sleep(ctx, time.Duration(rng.IntN(60))*time.Millisecond)
		log.away.Store(false)
		net.mu.Lock()
		clear(net.cut)
		net.mu.Unlock()
		sleep(ctx, time.Duration(rng.IntN(40))*time.Millisecond)
	}
}

// readAll returns the state of a reader that takes the log from its first record to its last, and the versions of all
// edits that counted, by their authors.
func readAll(log *fakeLog, c *Controller) (*State, map[string]uint64) {
	s := NewState()
	counted := map[string]uint64{}
	s.Start(0)
	page, _ := log.Read(context.Background(), Stream, 0, 1<<20, 0)
	for _, r := range page.Records {
		s.Apply(uint64(r.Offset), c.decode(r))
		if s.teams[nile] != nil {
			counted[s.teams[nile].info.Author] = s.teams[nile].version
		}
	}
	return s, counted
}

func checkHeard(t *testing.T, heard []told, counted map[string]uint64) {
	accepted, conflicts, unknown := 0, 0, 0
	for _, h := range heard {
		version, counts := counted[h.author]
		var conflict *ConflictError
		switch {
		case h.err == nil:
			accepted++
			if version != h.version {
				t.Errorf("%s was told version %d, the log says %d", h.author, h.version, version)
			}
		case errors.As(h.err, &conflict):
			conflicts++
			if counts {
				t.Errorf("%s was told of a conflict, but its edit counts as version %d", h.author, version)
			}
		default:
			unknown++
			if verdict.From(h.err).Verdict != verdict.MayHaveRun {
				t.Errorf("%s: %v", h.author, h.err)
			}
		}
	}
	t.Logf("accepted %d, conflicts %d, unknown %d", accepted, conflicts, unknown)
	if accepted == 0 {
		t.Error("no edit was accepted")
	}
}
