// Package upgrade tests that instances of the build in production and of this one serve side by side.
package upgrade

import (
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/berylpond/berylpond/internal/fakes/metastore"
	"github.com/berylpond/berylpond/internal/fakes/runner"
	"github.com/berylpond/berylpond/test/daemon"
)

const configuration = `{"version":1,"routes":[
	{"name":"chat","host":"h.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":4000,"maxAttempts":2,"service":"llm","retain":true,"retainS":60},
	{"name":"read","host":"h.example","pathPrefix":"/read/","kind":"idempotent","timeoutMs":2000,"service":"tool"},
	{"name":"pay","host":"h.example","pathPrefix":"/pay/","kind":"non_idempotent","timeoutMs":2000,"service":"tool","maxAttempts":2}],
	"services":[{"name":"llm","engine":{"chunkTokens":10,"slots":8}},{"name":"tool"}],
	"tenants":[{"name":"acme","apiKeys":["key-a"],"ratePerS":1000,"burstSize":1000}],
	"limits":{"bodyBytes":100000,"headerBytes":16384,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// builds returns daemons of the build in production and of this one. The test is skipped where the history lacks the first.
func builds(t *testing.T) (production, current string) {
	t.Helper()
	root := run(t, ".", "git", "rev-parse", "--show-toplevel")
	var deploy struct {
		Production string `toml:"production"`
	}
	b, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if err := toml.Unmarshal(b, &deploy); err != nil {
		t.Fatal(err)
	}
	if len(deploy.Production) != 40 {
		t.Fatalf("deploy/system.toml: production must be a full commit id, not %q", deploy.Production)
	}
	if exec.Command("git", "-C", root, "merge-base", "--is-ancestor", deploy.Production, "HEAD").Run() != nil {
		t.Skipf("NOT RUN: commit %s is not in the history of this checkout", deploy.Production)
	}
	dir := t.TempDir()
	source := filepath.Join(dir, "production")
	run(t, root, "git", "clone", "--quiet", "--shared", "--no-checkout", root, source)
	run(t, source, "git", "checkout", "--quiet", deploy.Production)
	production, current = filepath.Join(dir, "berylpondd-production"), filepath.Join(dir, "berylpondd-current")
	daemon.Build(t, source, production)
	daemon.Build(t, root, current)
	return production, current
}

func run(t *testing.T, dir, name string, args ...string) string {
	t.Helper()
	c := exec.Command(name, args...)
	c.Dir = dir
	out, err := c.CombinedOutput()
	if err != nil {
		t.Fatalf("%s %v: %v\n%s", name, args, err, out)
	}
	return strings.TrimSpace(string(out))
}

// site is a store and backend servers in this process, and instances in processes of their own.
type site struct {
	t       *testing.T
	store   *metastore.Store
	url     string
	servers []*runner.Server
	slots   []*slot
}

// slot is the place of an instance, whose address outlives its processes.
type slot struct {
	ip      string
	process *daemon.Process
}

func newSite(t *testing.T, instances int) *site {
	s := &site{t: t, store: metastore.New(4)}
	srv := httptest.NewServer(s.store)
	s.url = strings.TrimPrefix(srv.URL, "http://")
	s.store.PutKeyed("keyed.op", "config", []byte(configuration))
	for i, service := range []string{"llm", "llm", "llm", "llm", "llm", "llm", "tool", "tool"} {
		b := runner.Start(fmt.Sprint(service, "-", i), service, map[string]int{"llm": 3}[service])
		b.EventInterval = 15 * time.Millisecond
		s.servers = append(s.servers, b)
		s.store.PutKeyed("keyed.servers", b.ID, b.Registration("ready"))
	}
	for i := range instances {
		s.slots = append(s.slots, &slot{ip: daemon.Address(i)})
	}
	t.Cleanup(func() {
		for _, l := range s.slots {
			if l.process != nil {
				l.process.Kill()
			}
		}
		srv.CloseClientConnections()
		srv.Close()
		for _, b := range s.servers {
			b.CloseClientConnections()
			b.Close()
		}
	})
	return s
}

// start starts a daemon at a slot and waits until it is ready.
func (s *site) start(l *slot, binary string) {
	s.t.Helper()
	l.process = daemon.Start(s.t, binary, l.ip, s.url, daemon.DefaultLimits)
}

// replace stops the daemon of a slot as planned and starts another.
func (s *site) replace(l *slot, binary string) {
	s.t.Helper()
	l.process.Stop(s.t)
	s.start(l, binary)
}

// kill ends the daemon of a slot without notice and starts another.
func (s *site) kill(l *slot, binary string) {
	s.t.Helper()
	l.process.Kill()
	s.start(l, binary)
}

// executions returns the executed requests by id.
func (s *site) executions() map[string][]runner.Execution {
	out := map[string][]runner.Execution{}
	for _, b := range s.servers {
		for _, e := range b.Executions() {
			out[e.ID] = append(out[e.ID], e)
		}
	}
	return out
}
