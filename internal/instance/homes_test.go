package instance

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fakes/runner"
	"github.com/berylpond/berylpond/platform"
)

// homesConfiguration has a route with homes, an account with homes, and the two together.
const homesConfiguration = `{"version":%d,"routes":[
	{"name":"free","host":"h.example","pathPrefix":"/free/","kind":"idempotent","timeoutMs":1000,"service":"tool"},
	{"name":"read","host":"h.example","pathPrefix":"/read/","kind":"idempotent","timeoutMs":1000,"service":"tool","allowedRegions":["west","north"]},
	{"name":"nowhere","host":"h.example","pathPrefix":"/nowhere/","kind":"idempotent","timeoutMs":1000,"service":"tool","allowedRegions":["south"]},
	{"name":"chat","host":"h.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":4000,"service":"llm","retain":true,"retainS":60,"allowedRegions":["east"]}],
	"services":[{"name":"llm","engine":{"chunkTokens":10,"slots":8}},{"name":"tool"}],
	"tenants":[{"name":"acme","apiKeys":["key-a"]},{"name":"northern","apiKeys":["key-n"],"allowedRegions":["north","east"]}],
	"limits":{"bodyBytes":100000,"headerBytes":16384,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

var threeRegions = map[string]string{"a": "east", "b": "west", "c": "north"}

// threeRegionSite has a server of the service tool in each of three regions, and one of llm in the first.
func threeRegionSite(t *testing.T) (*site, []*runner.Server) {
	s := newSite(t)
	s.tools = append(s.tools, runner.Start("tool-2", "tool", 0))
	for i, dataCentre := range []string{"a", "b", "c"} {
		s.register(s.tools[i], dataCentre)
	}
	s.store.PutKeyed("keyed.op", "config", fmt.Appendf(nil, homesConfiguration, 5))
	return s, s.tools
}

// startIn starts an instance in a data centre of the three regions.
func (s *site) startIn(dataCentre string, cores float64) *node {
	s.settle = func(p *platform.Settings) {
		p.DataCentre, p.RegionOf, p.Region = dataCentre, threeRegions, threeRegions[dataCentre]
	}
	defer func() { s.settle = nil }()
	return s.startWith(cores)
}

func TestRequestsReachServersInTheirHomesOnly(t *testing.T) {
	is := is.New(t)
	s, tools := threeRegionSite(t)
	n := s.startIn("a", 1)
	const requests = 30
	for _, tt := range []struct {
		path, key string
		in        [3]bool
	}{
		{"/free/x", "key-a", [3]bool{true, false, false}}, // the instance's own data centre comes first
		{"/read/x", "key-a", [3]bool{false, true, true}},
		{"/free/x", "key-n", [3]bool{true, false, false}},
		{"/read/x", "key-n", [3]bool{false, false, true}},
	} {
		var before, got [3]int
		for i, b := range tools {
			before[i] = len(b.Executions())
		}
		for range requests {
			is.Equal(s.do(n, call{path: tt.path, key: tt.key}).status, http.StatusOK)
		}
		for i, b := range tools {
			got[i] = len(b.Executions()) - before[i]
			is.Equal(got[i] > 0, tt.in[i])
		}
	}
	a := s.do(n, call{path: "/nowhere/x"})
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(strings.HasPrefix(a.body, "no_home (not-run)"))
	// The homes' servers are evacuated: the others don't help out.
	s.evacuate("c")
	s.eventually("evacuated", n.evacuated(1))
	before := len(tools[0].Executions()) + len(tools[1].Executions())
	a = s.do(n, call{path: "/read/x", key: "key-n"})
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.True(strings.HasPrefix(a.body, "evacuated (not-run)"))
	is.Equal(len(tools[0].Executions())+len(tools[1].Executions()), before)
}

// Guards against the input of a turn with homes being sent to the owner of its program elsewhere.
func TestTurnWithHomesIsNotRecordedByAnOwnerElsewhere(t *testing.T) {
	is := is.New(t)
	s, _ := threeRegionSite(t)
	west := s.startIn("b", 1)
	s.eventually("owner in the west", func() bool { return len(west.owner.OwnedPartitions()) == 4 })
	east := s.startIn("a", 0.1)
	s.eventually("follower uses the feed", east.usesFeedOfEvacuations)
	refused := s.do(east, call{path: "/chat/x", body: "in1", program: "p", budget: 900})
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.True(strings.HasPrefix(refused.body, "no_home (not-run)"))
	is.Equal(len(s.llm.Executions()), 0)
	// The instance that the client connected to may have it.
	is.Equal(s.turn(west, call{path: "/chat/x", body: "in1", program: "p", budget: 900}).status, http.StatusOK)
	is.Equal(len(s.llm.Executions()), 1)
}

func TestTurnWithHomesIsRecordedByAnOwnerThere(t *testing.T) {
	is := is.New(t)
	s, _ := threeRegionSite(t)
	east := s.startIn("a", 1)
	s.eventually("owner in the east", func() bool { return len(east.owner.OwnedPartitions()) == 4 })
	north := s.startIn("c", 0.1)
	s.eventually("follower uses the feed", north.usesFeedOfEvacuations)
	is.Equal(s.turn(north, call{id: "t1", path: "/chat/x", body: "in1", program: "p", budget: 900}).status, http.StatusOK)
	is.Equal(s.turn(east, call{path: "/chat/x", body: "in2", program: "p", previous: "t1", budget: 900}).status, http.StatusOK)
	is.Equal(len(s.llm.Executions()), 2)
	// Calls to the store carry contents too, and do not pass through an instance in another region.
	is.Equal(north.peers(), []string{east.self})
	is.Equal(len(north.relays()), 0)
}
