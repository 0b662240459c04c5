package instance

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fakes/metastore"
)

// The load: the store is away for seconds. Turns that need it are refused at once, and their clients come back the later the
// longer it has been away. Fails with --without early-refusal.
func TestRefusalsReflectHowLongTheStoreHasBeenAway(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	n := s.start()
	is.Equal(s.turn(n, call{path: "/quote/x", program: "before", budget: 300}).status, http.StatusOK)
	s.store.SetFault(func(*http.Request) metastore.Mode { return metastore.Silent })
	const longAway = 2500 * time.Millisecond
	var took time.Duration
	s.eventually("a refusal that reflects the outage", func() bool {
		start := time.Now()
		a := s.do(n, call{path: "/quote/x", program: "new", budget: 300})
		took = time.Since(start)
		is.Equal(a.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		is.NoErr(err)
		return after >= longAway.Seconds()
	})
	is.True(took < isolatedHold)
	s.store.SetFault(nil)
	is.Equal(s.turn(n, call{path: "/quote/x", program: "new", budget: 300}).status, http.StatusOK)
}

// isolatedHold is how long an isolated instance would wait for the owner.
const isolatedHold = 150 * time.Millisecond
