// Package site starts a small deployment of the daemon for the scripts of the review: the daemons as processes of their own,
// with the store, the runners and the clients as stand-ins in the calling process.
package site

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/berylpond/berylpond/internal/fakes/metastore"
)

// Configuration is the operator's document: a route for turns and one for plain reads.
const Configuration = `{"version":1,"routes":[
	{"name":"chat","host":"h.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":5000,"goalMs":250,"gapTargetMs":400,"priority":1,"maxAttempts":2,"service":"llm","retain":true,"retainS":60,"affinity":true},
	{"name":"read","host":"h.example","pathPrefix":"/read/","kind":"idempotent","timeoutMs":1200,"goalMs":150,"priority":2,"service":"tool"}],
	"services":[{"name":"llm","maxConns":360,"engine":{"chunkTokens":10,"slots":64,"kvCapacity":1251740,"pinMs":4000}},{"name":"tool","maxConns":96}],
	"tenants":[{"name":"acme","apiKeys":["key-a"],"ratePerS":5000,"burstSize":5000}],
	"limits":{"bodyBytes":4194304,"headerBytes":16384,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// Key is the key of the only tenant.
const Key = "key-a"

// The figures are those of the settings in DEPLOY.md.
const settings = `node = "%[1]s"
role = "instance"
class = "front"
serves = ["front","control"]
ip = "%[1]s"
zone = "a"
region = "r"
portRange = [18082,18097]
seedAddrs = []
bootstrap = true
discovery = "platform"
entry = "vip"
beatMs = 1200
invariants = ["base","drain","config","cost","recover","agent","stream","engine","tenants","quota","platform"]
[zones]
a = "r"
[listen]
front = "%[1]s:18080"
ready = "%[1]s:18081"
control = "%[1]s:18079"
[limits]
cpuShare = 0.8
cpuCores = 1
memoryMb = 164
maxFds = 8200
linkMbps = 1000.0
diskMb = 0
[faultBudget]
machines = 1
zones = 1
regions = 0
[ruleParams]
contactMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
quotaWindowS = 5
quotaExcess = 0.1
quotaSlack = 20
recoverS = 12
passMs = 120
[platform]
addr = "%[2]s"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 12
appendMs = 2.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
retainS = 300
partMb = 200
ttlMinMs = 1000
`

// Site is a running deployment.
type Site struct {
	Store   *metastore.Store
	Runners []*Runner
	// IPs are the addresses of the machines.
	IPs []string

	dir     string
	address string
	start   time.Time

	mu     sync.Mutex
	record *os.File
	procs  map[string]*process
	stop   []func()
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// New starts the stand-ins. wrap, if not nil, wraps the store's handler.
func New(recordPath string, machines int, wrap func(http.Handler) http.Handler) (*Site, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "berylpond-review-")
	if err != nil {
		return nil, err
	}
	s := &Site{Store: metastore.New(parts), dir: dir, start: time.Now(), record: record, procs: map[string]*process{}}
	s.stop = append(s.stop, func() { os.RemoveAll(dir) })
	// The process id keeps runs on one machine apart.
	prefix := fmt.Sprintf("127.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255)
	for i := range machines {
		s.IPs = append(s.IPs, fmt.Sprintf("%s.%d", prefix, i+1))
	}
	h := (&groups{groups: map[string]*group{}}).wrap(pages(s.Store))
	if wrap != nil {
		h = wrap(h)
	}
	if s.address, err = s.serve(h); err != nil {
		return nil, err
	}
	s.Store.PutKeyed("keyed.op", "config", []byte(Configuration))
	for i := range 9 {
		if err := s.addRunner(fmt.Sprint("llm-", i), "llm", 64); err != nil {
			return nil, err
		}
	}
	for i := range 3 {
		if err := s.addRunner(fmt.Sprint("tool-", i), "tool", 6); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Site) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	s.stop = append(s.stop, func() { srv.Close() })
	return l.Addr().String(), nil
}

func (s *Site) addRunner(id, service string, slots int) error {
	r := newRunner(id, service)
	address, err := s.serve(r)
	if err != nil {
		return err
	}
	b, err := json.Marshal(map[string]any{
		"service": service, "addr": address, "zone": "a", "version": "1", "slots": slots, "state": "ready", "coldLeftMs": 0, "seq": 1,
		"born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	s.Runners = append(s.Runners, r)
	s.Store.PutKeyed("keyed.servers", id, b)
	return nil
}

// Logf writes a line to the record.
func (s *Site) Logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// Start starts the daemon of a machine, as the deploy file does.
func (s *Site) Start(ip string) error {
	path := filepath.Join(s.dir, ip+".toml")
	if err := os.WriteFile(path, fmt.Appendf(nil, settings, ip, s.address), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.dir, ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command("target/berylpondd", "platform", "--metrics-port", "9190")
	c.Env = append(os.Environ(), "BERYLPOND_SETTINGS="+path)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	p := &process{cmd: c, done: make(chan struct{})}
	go func() {
		_ = c.Wait()
		close(p.done)
	}()
	s.mu.Lock()
	s.procs[ip] = p
	s.mu.Unlock()
	s.Logf("machine %s starts, process %d", ip, c.Process.Pid)
	return nil
}

// StartAll starts all machines and waits until they are ready.
func (s *Site) StartAll() error {
	for _, ip := range s.IPs {
		if err := s.Start(ip); err != nil {
			return err
		}
	}
	for _, ip := range s.IPs {
		if !s.AwaitReady(ip, 15*time.Second) {
			return fmt.Errorf("machine %s is not ready", ip)
		}
	}
	return nil
}

// Kill ends the daemon of a machine without notice.
func (s *Site) Kill(ip string) {
	s.mu.Lock()
	p := s.procs[ip]
	delete(s.procs, ip)
	s.mu.Unlock()
	if p == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
	s.Logf("machine %s is killed", ip)
}

// Pid returns the process id of the daemon of a machine.
func (s *Site) Pid(ip string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.procs[ip]; p != nil {
		return p.cmd.Process.Pid
	}
	return 0
}

// AwaitReady waits until a machine reports that it is ready.
func (s *Site) AwaitReady(ip string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + ip + ":18081/api/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				s.Logf("machine %s is ready", ip)
				return true
			}
		}
	}
	return false
}

// Close ends all processes. The variable KEEP_LOGS names a folder to which the daemons' logs are copied.
func (s *Site) Close() {
	for _, ip := range s.IPs {
		s.Kill(ip)
	}
	if to := os.Getenv("KEEP_LOGS"); to != "" {
		_ = os.CopyFS(to, os.DirFS(s.dir))
	}
	for i := len(s.stop) - 1; i >= 0; i-- {
		s.stop[i]()
	}
	s.record.Close()
}

// Client is a client with one kept connection to one machine.
type Client struct {
	ip   string
	http *http.Client
}

// NewClient returns a client of a machine.
func NewClient(ip string) *Client {
	return &Client{ip: ip, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}}
}

// Answer is what a client got.
type Answer struct {
	// Status is zero if there was no status line.
	Status int
	Body   []byte
	// Whole is set if the answer came to its end.
	Whole   bool
	Stamped bool
	Err     error
}

// Send sends a request and reads its answer to the end.
func (c *Client) Send(method, path string, header map[string]string, body io.Reader, deadline time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.ip+":18080"+path, body)
	if err != nil {
		return Answer{Err: err}
	}
	r.Host = "h.example"
	r.Header.Set("Api-Key", Key)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return Answer{
		Status: resp.StatusCode, Body: b, Whole: err == nil, Err: err, Stamped: resp.Header.Get("Response-Stamp") != "",
	}
}

// Close closes the connection.
func (c *Client) Close() { c.http.CloseIdleConnections() }
