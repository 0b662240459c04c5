// Package hostile tests that an instance survives clients and backend servers that do what they are not supposed to. The
// tests check only what doesn't depend on the speed of the machine: that the process lives, that its memory and its descriptors stay
// within the limits of its settings, and that it serves an ordinary request afterwards.
package hostile

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/berylpond/berylpond/internal/fakes/metastore"
	"github.com/berylpond/berylpond/internal/fakes/runner"
	"github.com/berylpond/berylpond/test/daemon"
)

const configuration = `{"version":1,"routes":[
	{"name":"chat","host":"h.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":4000,"maxAttempts":2,"service":"llm","retain":true,"retainS":60},
	{"name":"read","host":"h.example","pathPrefix":"/read/","kind":"idempotent","timeoutMs":4000,"service":"tool"},
	{"name":"pay","host":"h.example","pathPrefix":"/pay/","kind":"non_idempotent","timeoutMs":4000,"service":"tool"},
	{"name":"faulty-chat","host":"h.example","pathPrefix":"/faulty-chat/","kind":"streaming","timeoutMs":4000,"service":"faulty","retain":true,"retainS":60},
	{"name":"slow","host":"h.example","pathPrefix":"/slow/","kind":"idempotent","timeoutMs":4000,"service":"slow"},
	{"name":"long","host":"h.example","pathPrefix":"/long/","kind":"idempotent","timeoutMs":4000,"service":"long"},
	{"name":"long-chat","host":"h.example","pathPrefix":"/long-chat/","kind":"streaming","timeoutMs":4000,"service":"long-chat","retain":true,"retainS":60},
	{"name":"faulty-read","host":"h.example","pathPrefix":"/faulty-read/","kind":"idempotent","timeoutMs":4000,"service":"faulty"}],
	"services":[{"name":"llm","engine":{"chunkTokens":10,"slots":8}},{"name":"tool"},{"name":"faulty"},{"name":"slow"},{"name":"long"},{"name":"long-chat"}],
	"tenants":[{"name":"acme","apiKeys":["key-a"],"ratePerS":10000,"burstSize":10000}],
	"limits":{"bodyBytes":100000,"headerBytes":16384,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// binary is the daemon, which the first test builds.
var (
	binary    string
	buildOnce sync.Once
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "berylpond-hostile-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "berylpondd")
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// site is one instance as a process of its own, with a store and backend servers in this process.
type site struct {
	t      *testing.T
	limits daemon.Limits
	store  *metastore.Store
	tool   *runner.Server
	*daemon.Process

	stop chan struct{}
	done sync.WaitGroup

	mu                          sync.Mutex
	peakMemory, peakDescriptors int64
}

func newSite(t *testing.T, l daemon.Limits) *site {
	s := &site{t: t, limits: l, store: metastore.New(4), tool: runner.Start("tool-1", "tool", 0), stop: make(chan struct{})}
	llm := runner.Start("llm-1", "llm", 3)
	srv := httptest.NewServer(s.store)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
		for _, b := range []*runner.Server{s.tool, llm} {
			b.CloseClientConnections()
			b.Close()
		}
	})
	s.store.PutKeyed("keyed.op", "config", []byte(configuration))
	for _, b := range []*runner.Server{s.tool, llm} {
		s.store.PutKeyed("keyed.servers", b.ID, b.Registration("ready"))
	}
	buildOnce.Do(func() { daemon.Build(t, "../..", binary) })
	s.Process = daemon.Start(t, binary, daemon.Address(0), strings.TrimPrefix(srv.URL, "http://"), l)
	s.done.Go(s.watch)
	return s
}

// watch records the peaks of the daemon's memory and descriptors.
func (s *site) watch() {
	for {
		s.mu.Lock()
		s.peakMemory = max(s.peakMemory, s.Memory())
		s.peakDescriptors = max(s.peakDescriptors, int64(s.Descriptors()))
		s.mu.Unlock()
		select {
		case <-s.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// checkSurvived ends the observation of the daemon and checks what must hold after each test.
func (s *site) checkSurvived() {
	s.t.Helper()
	if s.HasEnded() {
		s.t.Fatalf("the process has ended\n%.2000s", lastBytes(s.Log(), 2000))
	}
	ordinary := s.eventuallyServes()
	close(s.stop)
	s.done.Wait()
	s.t.Logf("peaks: %.1f MB, %d descriptors", float64(s.peakMemory)/(1<<20), s.peakDescriptors)
	if limit := int64(s.limits.MemoryMB) << 20; s.peakMemory > limit {
		s.t.Errorf("the process had %d bytes of memory, its limit is %d", s.peakMemory, limit)
	}
	if s.peakDescriptors > int64(s.limits.MaxFiles) {
		s.t.Errorf("the process had %d descriptors, its limit is %d", s.peakDescriptors, s.limits.MaxFiles)
	}
	if !ordinary {
		s.t.Errorf("no ordinary request was served\n%s", lastBytes(s.Log(), 2000))
	}
}

// eventuallyServes reports whether an ordinary request is served, on one of the connections of a client that tries again.
func (s *site) eventuallyServes() bool {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if status, body := s.request("/read/x", nil, 4*time.Second); status == http.StatusOK && len(body) > 0 {
			return true
		}
	}
	return false
}

// request sends a request on a connection of its own. The status is zero without a whole response.
func (s *site) request(path string, header http.Header, timeout time.Duration) (status int, body string) {
	r, err := http.NewRequest(http.MethodPost, s.URL()+path, strings.NewReader("input"))
	if err != nil {
		s.t.Error(err)
		return 0, ""
	}
	r.Host = "h.example"
	r.Header = http.Header{"Api-Key": {"key-a"}, "Request-Id": {nextID()}, "Deadline-Ms": {fmt.Sprint(timeout.Milliseconds())}}
	for name, values := range header {
		r.Header[name] = values
	}
	c := &http.Client{Timeout: timeout + 2*time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := c.Do(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

var ids struct {
	sync.Mutex
	n int
}

func nextID() string {
	ids.Lock()
	defer ids.Unlock()
	ids.n++
	return fmt.Sprintf("%016x", ids.n)
}

// crowd runs a function n times at once and waits until all have returned.
func crowd(n int, f func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}

func lastBytes(s string, n int) string { return s[max(len(s)-n, 0):] }

// listen starts a server that handles raw connections.
func listen(t *testing.T, handle func(net.Conn)) net.Addr {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c)
			}()
		}
	}()
	return l.Addr()
}
