package storewatch

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fakes/metastore"
	"github.com/berylpond/berylpond/platform"
)

func evacuate(name string) platform.KeyedRecord {
	return platform.KeyedRecord{Key: "evacuate/" + name, Value: []byte("{}")}
}

func takeBack(name string) platform.KeyedRecord { return platform.KeyedRecord{Key: "evacuate/" + name} }

func TestEachChangeOfTheSetIsReportedOnce(t *testing.T) {
	is := is.New(t)
	var reports []string
	e := NewEvacuations(func(names []string) { reports = append(reports, strings.Join(names, "+")) })
	e.replaceNewest([]platform.KeyedRecord{evacuate("b"), evacuate("a"), {Key: "config", Value: []byte("{}")}}, 9)
	e.apply(evacuate("a"), 9)
	e.apply(takeBack("a"), 10)
	e.apply(takeBack("a"), 11)
	e.apply(evacuate("a"), 12)
	// A snapshot without the key means that the data centre was taken back while nobody looked.
	e.replaceNewest(nil, 20)
	is.Equal(reports, []string{"a+b", "b", "a+b", ""})
}

// Guards against a reader that lags, or an older build, taking an evacuation back.
func TestOlderNewsDoesNotTakeAnEvacuationBack(t *testing.T) {
	is := is.New(t)
	e := NewEvacuations(func([]string) {})
	e.Replace([]string{"a"}, 10)
	e.Replace(nil, 9)
	e.Replace(nil, 0)
	e.apply(takeBack("a"), 7)
	names, offset := e.Current()
	is.Equal(names, []string{"a"})
	is.Equal(offset, int64(10))
	e.Replace(nil, 10)
	names, _ = e.Current()
	is.Equal(names, []string{})
}

func TestViewIsUsableUnlessTheInstanceStoodStill(t *testing.T) {
	is := is.New(t)
	const limit = 5 * time.Second
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	var tries Tries
	for d := time.Minute; d >= 6*time.Second; d -= time.Second {
		tries = tries.add(ago(d))
	}
	// Frozen for 6 s.
	frozen := Freshness{Confirmed: ago(6 * time.Second), Tries: tries}
	is.True(!frozen.IsUsable(now, limit))
	// The first attempts fail, which may be due to connections that were lost meanwhile.
	frozen.Tries = frozen.Tries.add(now)
	is.True(!frozen.IsUsable(now.Add(time.Second), limit))
	is.True(Freshness{Confirmed: now, Tries: frozen.Tries}.IsUsable(now.Add(time.Second), limit))
	// The store stays away: there is no newer view.
	frozen.Tries = frozen.Tries.add(now.Add(time.Second))
	is.True(frozen.IsUsable(now.Add(2*time.Second), limit))
	is.True(Freshness{Confirmed: ago(time.Hour), Tries: tries}.IsUsable(ago(5*time.Second), limit))
	// Just started.
	is.True(!Freshness{Tries: Tries{}.add(now)}.IsUsable(now, limit))
	is.True(Freshness{Confirmed: ago(limit)}.IsUsable(now, limit))
	// A site without evacuations.
	is.True(Freshness{}.IsUsable(now, 0))
}

// Guards against a response that waited in the kernel while the instance stood still counting as news.
func TestReadThatTookTooLongConfirmsItsBeginning(t *testing.T) {
	is := is.New(t)
	began := time.Unix(1000, 0)
	is.Equal(confirmedAt(began, began.Add(time.Second), configReadTimeout), began.Add(time.Second))
	is.Equal(confirmedAt(began, began.Add(6*time.Second), configReadTimeout), began)
}

// watch runs a watcher of a store until the test ends.
func watch(t *testing.T, store *metastore.Store) *Evacuations {
	srv := httptest.NewServer(store)
	e := NewEvacuations(func([]string) {})
	w := NewConfigWatcher(platform.NewStore(platform.NewHTTPTransport(srv.Listener.Addr().String(), net.IPv4(127, 0, 0, 1))), e,
		Hooks{UsesFeed: func() bool { return false }, OnChange: func() {}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		srv.CloseClientConnections()
		<-done
		srv.Close()
	})
	return e
}

func awaitEvacuated(t *testing.T, e *Evacuations, want ...string) {
	t.Helper()
	var names []string
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if names, _ = e.Current(); strings.Join(names, "+") == strings.Join(want, "+") {
			return
		}
	}
	t.Fatalf("evacuated are %v, want %v", names, want)
}

func TestWatcherFollowsTheOperatorThroughCompactionAndOutages(t *testing.T) {
	store := metastore.New(1)
	put := func(r platform.KeyedRecord) { store.PutKeyed("keyed.op", r.Key, r.Value) }
	put(evacuate("b"))
	e := watch(t, store)
	awaitEvacuated(t, e, "b")
	put(evacuate("a"))
	awaitEvacuated(t, e, "a", "b")
	// Both are taken back and one is asked for again, while the store is away and its history is compacted.
	store.SetFault(func(*http.Request) metastore.Mode { return metastore.Silent })
	put(takeBack("a"))
	put(takeBack("b"))
	put(evacuate("a"))
	store.Trim("keyed.op", 0, 3)
	store.SetFault(nil)
	awaitEvacuated(t, e, "a")
	store.SetFault(func(*http.Request) metastore.Mode { return metastore.Refuse })
	put(takeBack("a"))
	store.SetFault(nil)
	awaitEvacuated(t, e)
}
