package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fakes/metastore"
	"github.com/berylpond/berylpond/internal/fakes/runner"
	"github.com/berylpond/berylpond/internal/feature"
	"github.com/berylpond/berylpond/internal/feed"
	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/upstream"
	"github.com/berylpond/berylpond/platform"
)

// settingsEnv holds the settings of an instance that the test binary runs as a process of its own.
const settingsEnv = "INSTANCE_TEST_SETTINGS"

func TestMain(m *testing.M) {
	raw := os.Getenv(settingsEnv)
	if raw == "" {
		os.Exit(m.Run())
	}
	var s platform.Settings
	if err := json.Unmarshal([]byte(raw), &s); err != nil {
		panic(err)
	}
	ctx := context.Background()
	if err := New(ctx, s, feature.Set{}).Run(ctx, 0); err != nil {
		panic(err)
	}
}

// twoDataCentres returns a site whose service tool has one server in data centre a and one in b.
func twoDataCentres(t *testing.T) (s *site, inA, inB *runner.Server) {
	s = newSite(t)
	s.register(s.tools[1], "b")
	return s, s.tools[0], s.tools[1]
}

func (s *site) register(b *runner.Server, dataCentre string) {
	entry := strings.Replace(string(b.Registration("ready")), `"zone":"a"`, fmt.Sprintf(`"zone":%q`, dataCentre), 1)
	s.store.PutKeyed("keyed.servers", b.ID, []byte(entry))
}

func (s *site) evacuate(dataCentre string) {
	s.store.PutKeyed("keyed.op", "evacuate/"+dataCentre, []byte("{}"))
}

func (s *site) takeBack(dataCentre string) { s.store.PutKeyed("keyed.op", "evacuate/"+dataCentre, nil) }

func (n *node) evacuated(count int) func() bool {
	return func() bool { return n.fleet.EvacuatedCount() == count }
}

func TestEvacuatedDataCentreGetsNothingFromReadersAndFollowers(t *testing.T) {
	is := is.New(t)
	s, inA, inB := twoDataCentres(t)
	reader := s.start()
	s.eventually("reader owns partitions", func() bool { return len(reader.owner.OwnedPartitions()) == 4 })
	follower := s.startWith(0.1)
	s.eventually("follower uses the feed", follower.usesFeedOfEvacuations)
	// A read that was under way from before ends.
	time.Sleep(1500 * time.Millisecond)
	s.evacuate("a")
	for _, n := range s.nodes {
		s.eventually("evacuated", n.evacuated(1))
	}
	is.True(follower.usesFeedOfEvacuations())
	before := len(inA.Executions())
	for i := range 40 {
		is.Equal(s.do(s.nodes[i%2], call{path: "/read/x"}).status, http.StatusOK)
	}
	is.Equal(len(inA.Executions()), before)
	is.True(len(inB.Executions()) >= 40)
	// Taken back and asked for again within a second.
	s.takeBack("a")
	s.evacuate("a")
	for _, n := range s.nodes {
		s.eventually("evacuated again", func() bool {
			_, offset := n.evacuations.Current()
			return n.fleet.EvacuatedCount() == 1 && (n == follower || offset == 4)
		})
	}
	// While the store is away nothing changes; then both learn that the data centre is back.
	s.store.SetFault(func(*http.Request) metastore.Mode { return metastore.Silent })
	// A long poll that was under way when the fault began still returns.
	s.eventually("the store is out of reach", func() bool { return reader.transport.SinceContact() > time.Second })
	s.takeBack("a")
	for i := range 20 {
		is.Equal(s.do(s.nodes[i%2], call{path: "/read/x"}).status, http.StatusOK)
	}
	is.Equal(len(inA.Executions()), before)
	s.store.SetFault(nil)
	for _, n := range s.nodes {
		s.eventually("taken back", n.evacuated(0))
		s.eventually("used again", func() bool {
			was := len(inA.Executions())
			return s.do(n, call{path: "/read/x"}).status == http.StatusOK && len(inA.Executions()) > was
		})
	}
}

func TestServiceThatIsWhollyEvacuatedIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s, inA, inB := twoDataCentres(t)
	n := s.start()
	s.evacuate("a")
	s.evacuate("b")
	s.eventually("evacuated", n.evacuated(2))
	started := time.Now()
	a := s.do(n, call{path: "/pay/x"})
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(time.Since(started) < 500*time.Millisecond)
	is.True(strings.HasPrefix(a.body, "evacuated (not-run)"))
	is.Equal(a.header.Get("Retry-After"), "5.000")
	is.Equal(len(inA.Executions())+len(inB.Executions()), 0)
	// The instance itself goes on: it owns partitions and is ready.
	is.True(n.Ready())
}

// Guards against a process that has stood still sending to servers that were evacuated meanwhile, before it has looked.
func TestInstanceThawedAfterAnEvacuationSendsNothingThere(t *testing.T) {
	is := is.New(t)
	s, inA, inB := twoDataCentres(t)
	settings := s.newSettings(1)
	raw, err := json.Marshal(settings)
	is.NoErr(err)
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), settingsEnv+"="+string(raw))
	is.NoErr(process.Start())
	t.Cleanup(func() {
		is.NoErr(process.Process.Kill())
		_ = process.Wait()
	})
	n := &node{url: "http://" + settings.ClientAddress}
	s.eventually("served", func() bool { return s.do(n, call{path: "/read/x"}).status == http.StatusOK })
	is.True(len(inA.Executions()) > 0)

	is.NoErr(process.Process.Signal(syscall.SIGSTOP))
	// The read that was under way is answered before the evacuation. The store is away when the process resumes.
	time.Sleep(1500 * time.Millisecond)
	s.store.SetFault(func(*http.Request) metastore.Mode { return metastore.Silent })
	s.evacuate("a")
	before := len(inA.Executions())
	time.Sleep(settings.EvacuationPeriod + time.Second)
	// These wait for the process, and are its first work when it resumes.
	var waiting sync.WaitGroup
	const clients = 30
	for range clients {
		waiting.Go(func() { s.do(n, call{path: "/read/x"}) })
	}
	time.Sleep(500 * time.Millisecond)
	is.NoErr(process.Process.Signal(syscall.SIGCONT))
	time.Sleep(300 * time.Millisecond)
	s.store.SetFault(nil)
	waiting.Wait()
	elsewhere := len(inB.Executions())
	s.eventually("served elsewhere", func() bool { return s.do(n, call{path: "/read/x"}).status == http.StatusOK })
	is.Equal(len(inA.Executions()), before)
	is.True(len(inB.Executions()) > elsewhere)
}

// Guards against a request that was picked a server, and whose connection took a while to open, being sent after all.
func TestServerIsCheckedAgainOnceItsConnectionIsOpen(t *testing.T) {
	is := is.New(t)
	s, inA, inB := twoDataCentres(t)
	s.prepare = func(i *Instance) {
		i.dialBackend = func(ctx context.Context, address string) (net.Conn, error) {
			c, err := upstream.Dial(ctx, address)
			i.evacuations.Replace([]string{"a"}, 100)
			return c, err
		}
	}
	n := s.start()
	is.Equal(s.do(n, call{path: "/pay/x"}).status, http.StatusOK)
	is.Equal(len(inA.Executions()), 0)
	is.Equal(len(inB.Executions()), 1)
}

// Guards against a reader of an older build keeping its followers from learning of evacuations, or taking one back.
func TestFollowerOfAnOlderReaderLearnsOfEvacuationsByItself(t *testing.T) {
	is := is.New(t)
	s, inA, _ := twoDataCentres(t)
	s.prepare = func(i *Instance) {
		i.feedServer = feed.NewServer(i.startID, feed.View{
			Configuration: i.config.Current, Backends: i.fleet.Entries, Owners: i.group.OwnersByPartition, Age: i.viewAge,
			SinceContact: i.transport.SinceContact, Evacuated: func() ([]string, int64) { return nil, 0 },
		})
	}
	older := s.start()
	s.eventually("reader owns partitions", func() bool { return len(older.owner.OwnedPartitions()) == 4 })
	s.prepare = nil
	follower := s.startWith(0.1)
	s.eventually("follower uses the feed", follower.usesFeed)
	// A read that was under way from before ends.
	time.Sleep(1500 * time.Millisecond)
	s.evacuate("a")
	s.eventually("evacuated", follower.evacuated(1))
	// The older reader's view changes and is sent anew.
	s.register(s.tools[0], "a")
	s.store.PutKeyed("keyed.servers", s.llm.ID, s.llm.Registration("draining"))
	s.eventually("follower has the change", func() bool {
		return slices.ContainsFunc(follower.fleet.Entries(), func(e fleet.Entry) bool { return e.ID == s.llm.ID && e.Draining })
	})
	is.True(follower.usesFeed())
	before := len(inA.Executions())
	for range 20 {
		is.Equal(s.do(follower, call{path: "/read/x"}).status, http.StatusOK)
	}
	is.Equal(len(inA.Executions()), before)
}
