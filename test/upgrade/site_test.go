// Package upgrade tests that instances of the build in production and of this one serve side by side.
package upgrade

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/berylpond/berylpond/internal/fakes/metastore"
	"github.com/berylpond/berylpond/internal/fakes/runner"
	"github.com/berylpond/berylpond/platform"
)

const configuration = `{"version":1,"routes":[
	{"name":"chat","host":"h.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":4000,"maxAttempts":2,"service":"llm","retain":true,"retainS":60},
	{"name":"read","host":"h.example","pathPrefix":"/read/","kind":"idempotent","timeoutMs":2000,"service":"tool"},
	{"name":"pay","host":"h.example","pathPrefix":"/pay/","kind":"non_idempotent","timeoutMs":2000,"service":"tool","maxAttempts":2}],
	"services":[{"name":"llm","engine":{"chunkTokens":10,"slots":8}},{"name":"tool"}],
	"tenants":[{"name":"acme","apiKeys":["key-a"],"ratePerS":1000,"burstSize":1000}],
	"limits":{"bodyBytes":100000,"headerBytes":16384,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

const settings = `node = "%[1]s"
zone = "a"
ip = "%[1]s"
portRange = [18082,18090]
seedAddrs = []
beatMs = 1200
[zones]
a = "r"
[listen]
front = "%[1]s:18080"
ready = "%[1]s:18081"
[limits]
cpuShare = 1.0
cpuCores = 1
memoryMb = 512
maxFds = 8200
[ruleParams]
graceS = 8
drainMs = 2000
quotaWindowS = 5
[platform]
addr = "%[2]s"
form = "log"
parts = 4
recordBytes = 262144
callBytes = 2097152
ttlMinMs = 1000
retainS = 300
`

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
	run(t, source, "go", "build", "-o", production, "./cmd/berylpondd")
	run(t, root, "go", "build", "-o", current, "./cmd/berylpondd")
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
	ip     string
	cmd    *exec.Cmd
	exited chan error
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
	pid := os.Getpid()
	for i := range instances {
		// The process id keeps test runs on one machine apart.
		s.slots = append(s.slots, &slot{ip: fmt.Sprintf("127.%d.%d.%d", 128+pid>>8&63, pid&255, i+1)})
	}
	t.Cleanup(func() {
		for _, l := range s.slots {
			if l.cmd != nil {
				_ = l.cmd.Process.Kill()
				<-l.exited
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
	path := filepath.Join(s.t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, fmt.Appendf(nil, settings, l.ip, s.url), 0o600); err != nil {
		s.t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(s.t.TempDir(), "log"))
	if err != nil {
		s.t.Fatal(err)
	}
	l.cmd = exec.Command(binary, "platform")
	l.cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+path)
	l.cmd.Stdout, l.cmd.Stderr = log, log
	if err := l.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	l.exited = make(chan error, 1)
	go func(c *exec.Cmd, exited chan error) { exited <- c.Wait() }(l.cmd, l.exited)
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + l.ip + ":18081" + platform.ReadyPath)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			b, _ := os.ReadFile(log.Name())
			s.t.Fatalf("%s at %s is not ready\n%s", filepath.Base(binary), l.ip, b)
		}
	}
}

// replace stops the daemon of a slot as planned and starts another.
func (s *site) replace(l *slot, binary string) {
	s.t.Helper()
	if err := l.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		s.t.Fatal(err)
	}
	if err := <-l.exited; err != nil {
		s.t.Errorf("the daemon at %s ended with %v", l.ip, err)
	}
	s.start(l, binary)
}

// kill ends the daemon of a slot without notice and starts another.
func (s *site) kill(l *slot, binary string) {
	s.t.Helper()
	_ = l.cmd.Process.Kill()
	<-l.exited
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
