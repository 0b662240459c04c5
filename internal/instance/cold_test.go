package instance

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fakes/runner"
)

// turnCold makes backend servers register as cold and waits until every instance knows. It returns recorders of what
// arrives at them.
func (s *site) turnCold(left time.Duration, servers ...*runner.Server) []*limitedServer {
	c := strings.Replace(fmt.Sprintf(configuration, 2, 1000, 1000), `{"name":"tool"}`, `{"name":"tool","coldS":6,"coldPerS":10}`, 1)
	s.store.PutKeyed("keyed.op", "config", []byte(c))
	var out []*limitedServer
	for _, b := range servers {
		l := &limitedServer{}
		l.attach(b, "")
		l.announces.Store(false)
		b.ColdLeft = left
		s.store.PutKeyed("keyed.servers", b.ID, b.Registration("ready"))
		out = append(out, l)
	}
	s.eventually("every instance knows of the cold servers", func() bool {
		for _, n := range s.nodes {
			if cold, _ := n.fleet.ColdServers(); cold != len(servers) {
				return false
			}
		}
		return true
	})
	return out
}

// coldBound is what a cold server may get in a second, with the settings and the configuration of the tests.
const coldBound = 10*1.5 + 5

// Load pattern: every server of a service comes back cold, and clients ask for more than they accept.
func TestBoundOfColdServersHoldsOverAllInstances(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	for range 3 {
		s.start()
	}
	const duration = 4 * time.Second
	cold := s.turnCold(5*time.Second, s.tools...)
	refused := s.load("/read/x", 10*time.Millisecond, duration)
	for i, l := range cold {
		busiest := l.busiest(time.Time{}, time.Second)
		t.Logf("server %d: at most %d requests in a second, %d in all, %d refused", i, busiest, len(l.arrivals), len(refused))
		is.True(busiest <= coldBound)
		is.True(len(l.arrivals) >= 10*4/2) // it is used
	}
	delays := map[string]int{}
	for _, a := range refused {
		is.Equal(a.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after > 0 && after < 6) // it does not outlast the cold period by much
		delays[a.header.Get("Retry-After")]++
	}
	is.True(len(delays) > len(refused)/4) // the returns are spread
	// They turn warm without another word from them.
	s.eventually("all is sent again", func() bool { return len(s.load("/read/x", 10*time.Millisecond, 500*time.Millisecond)) == 0 })
}

// Load pattern: half of the servers are replaced under load.
func TestWarmServersTakeTheLoadOfColdOnes(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	for range 3 {
		s.start()
	}
	cold := s.turnCold(4*time.Second, s.tools[0])
	is.Equal(len(s.load("/read/x", 10*time.Millisecond, 3*time.Second)), 0)
	t.Logf("the cold server got at most %d requests in a second", cold[0].busiest(time.Time{}, time.Second))
	is.True(cold[0].busiest(time.Time{}, time.Second) <= coldBound)
	is.True(len(s.tools[1].Executions()) > 10*len(s.tools[0].Executions()))
}
