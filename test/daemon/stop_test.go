package daemon_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
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
	{"name":"read","host":"h.example","pathPrefix":"/read/","kind":"idempotent","timeoutMs":3000,"service":"tool"},
	{"name":"pay","host":"h.example","pathPrefix":"/pay/","kind":"non_idempotent","timeoutMs":3000,"service":"tool"}],
	"services":[{"name":"tool"}],
	"tenants":[{"name":"acme","apiKeys":["key-a"],"ratePerS":1000,"burstSize":1000}],
	"limits":{"bodyBytes":100000,"headerBytes":16384,"headerTimeoutMs":9000,"idleTimeoutMs":15000}}`

// lateRequest is a request of which a part is sent before the stop signal and the rest after it.
type lateRequest struct {
	path string
	// head says that the head is not complete before the signal; otherwise the body is not.
	head  bool
	after time.Duration
	id    string

	conn net.Conn
	rest string
	// status is that of the response; zero if the connection ended without a whole one.
	status int
}

func (l *lateRequest) begin(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nApi-Key: key-a\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\n", l.path, l.id)
	first, rest := head, "Content-Length: 5\r\n\r\ninput"
	if !l.head {
		first, rest = head+"Content-Length: 5\r\n\r\nin", "put"
	}
	l.conn, l.rest = conn, rest
	_, err = conn.Write([]byte(first))
	return err
}

func (l *lateRequest) finish() {
	defer l.conn.Close()
	if _, err := l.conn.Write([]byte(l.rest)); err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(l.conn), nil)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	l.status = resp.StatusCode
}

// Guards against requests that arrive late in a planned stop, are passed on, and are cut off without an answer as the process ends.
func TestLateRequestsOfAPlannedStopAreAnsweredOrNotRun(t *testing.T) {
	const (
		grace = 5 * time.Second
		// work is how long the server takes for a request.
		work = 2400 * time.Millisecond
	)
	store := metastore.New(4)
	srv := httptest.NewServer(store)
	defer srv.Close()
	tool := runner.Start("tool-1", "tool", 0)
	defer tool.Close()
	tool.EventInterval = work
	store.PutKeyed("keyed.op", "config", []byte(configuration))
	store.PutKeyed("keyed.servers", tool.ID, tool.Registration("ready"))
	binary := filepath.Join(t.TempDir(), "berylpondd")
	daemon.Build(t, "../..", binary)
	limits := daemon.DefaultLimits
	limits.Grace = grace
	p := daemon.Start(t, binary, daemon.Address(0), strings.TrimPrefix(srv.URL, "http://"), limits)

	var requests []*lateRequest
	for after := time.Duration(0); after < grace; after += 250 * time.Millisecond {
		for _, path := range []string{"/read/x", "/pay/x"} {
			for _, head := range []bool{true, false} {
				l := &lateRequest{path: path, head: head, after: after, id: fmt.Sprint("r", len(requests))}
				if err := l.begin(p.ClientAddress()); err != nil {
					t.Fatal(err)
				}
				requests = append(requests, l)
			}
		}
	}
	time.Sleep(200 * time.Millisecond) // what was sent has been read
	p.Terminate(t)
	var wg sync.WaitGroup
	for _, l := range requests {
		wg.Go(func() {
			time.Sleep(l.after)
			l.finish()
		})
	}
	wg.Wait()
	ran := map[string]bool{}
	for _, e := range tool.Executions() {
		ran[e.ID] = true
	}
	served := 0
	for _, l := range requests {
		switch {
		case l.status == http.StatusOK:
			served++
		case ran[l.id] && l.status == 0:
			t.Errorf("%s, rest sent %s after the signal (head %v): passed on and cut off without an answer", l.path, l.after, l.head)
		case ran[l.id] && l.status == http.StatusServiceUnavailable:
			t.Errorf("%s, rest sent %s after the signal (head %v): ran and was refused", l.path, l.after, l.head)
		}
		t.Logf("%s after %s (head %v): status %d, ran %v", l.path, l.after, l.head, l.status, ran[l.id])
	}
	if served == 0 {
		t.Error("no request was served during the stop")
	}
}
