// Package e2e runs end-to-end tests against deployments of separate processes: berylpondd daemons, and fakes of the
// platform's services.
package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
	"github.com/berylpond/berylpond/internal/document"
	"github.com/berylpond/berylpond/internal/settings"
)

// Timings of test sites. They are shorter than in production to keep the tests fast. The time limits that the tests
// check are the project's targets and are not shortened.
const (
	testLease       = time.Second
	testMargin      = 100 * time.Millisecond
	testHeartbeat   = 200 * time.Millisecond
	testClaimWindow = 3 * time.Second
	startTimeout    = 30 * time.Second
)

var binaryDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "berylpond-e2e")
	if err != nil {
		panic(err)
	}
	binaryDir = dir
	build := exec.Command("go", "build", "-o", dir, "../../cmd/berylpondd", "../../cmd/berylfakes")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is a child process of the test.
type process struct {
	t      testing.TB
	name   string
	cmd    *exec.Cmd
	log    *syncBuffer
	exited chan struct{}
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *syncBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// startProcess runs a binary, which is killed at the end of the test. If the test has failed, the end of its log is
// printed.
func startProcess(t testing.TB, name string, stdout io.Writer, binary string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(filepath.Join(binaryDir, binary), args...),
		log: &syncBuffer{}, exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = stdout, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			lines := strings.Split(p.log.String(), "\n")
			t.Logf("log of %s:\n%s", name, strings.Join(lines[max(0, len(lines)-40):], "\n"))
		}
	})
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop asks for a graceful shutdown and waits for its end.
func (p *process) stop(within time.Duration) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(within):
		p.t.Errorf("%s did not shut down within %s", p.name, within)
	}
}

// fake is a running fake of a platform service or backend server.
type fake struct {
	*process
	addr string
}

func startFake(t testing.TB, role string, args ...string) fake {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p := startProcess(t, role, w, "berylfakes", append([]string{role}, args...)...)
	w.Close()
	var ready struct {
		Address string `json:"address"`
	}
	if err := json.NewDecoder(bufio.NewReader(r)).Decode(&ready); err != nil {
		t.Fatalf("%s did not start: %v\n%s", role, err, p.log)
	}
	return fake{process: p, addr: ready.Address}
}

// setFault activates a fault of the fake.
func (f fake) setFault(mode string, spec map[string]any) {
	f.t.Helper()
	if spec == nil {
		spec = map[string]any{}
	}
	spec["mode"] = mode
	f.call(http.MethodPut, "/fault", spec, nil)
}

func (f fake) clearFault() { f.call(http.MethodDelete, "/fault", nil, nil) }

func (f fake) call(method, path string, in, out any) {
	f.t.Helper()
	var body io.Reader
	if in != nil {
		b, _ := json.Marshal(in)
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+f.addr+path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatalf("%s %s: %v", f.name, path, err)
	}
	defer resp.Body.Close()
	if out != nil {
		if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
			f.t.Fatalf("%s %s: %v", f.name, path, err)
		}
	}
}

// instance is one daemon with its settings and the relay in front of its peer port.
type instance struct {
	*process
	id, dc, ip string
	slot       int
	callers    string
	relay      *relay
	settings   settings.Settings
	// unhealthy is set while the platform's load balancer would route no callers to the instance.
	unhealthy atomic.Bool
}

// dcSpec describes one data centre of a site.
type dcSpec struct {
	name    string
	slots   int
	engines int
}

// site is a running deployment: the fakes of the platform, and daemons and backend servers in each data centre.
type site struct {
	t          testing.TB
	dcs        []dcSpec
	log, list  fake
	engines    map[string][]fake
	services   map[string]fake
	instances  []*instance
	logRelays  map[string]*relay
	listRelays map[string]*relay
	keys       map[string]string
	version    uint64
	doc        documentSpec
	// homeDataCentre, if set, is the only data centre in which workloads create programs.
	homeDataCentre string
}

// documentSpec holds the parts of the team's document that tests vary.
type documentSpec struct {
	accounts []accountSpec
}

type accountSpec struct {
	name  string
	rate  float64
	burst int
}

const testTeam = "kiosk"

// siteOption changes a site before it starts.
type siteOption func(*site)

func withAccounts(a ...accountSpec) siteOption { return func(s *site) { s.doc.accounts = a } }

// startSite starts fakes and daemons, applies the document and waits until every instance is ready.
func startSite(t testing.TB, dcs []dcSpec, opts ...siteOption) *site {
	t.Helper()
	s := &site{
		t: t, dcs: dcs, engines: map[string][]fake{}, services: map[string]fake{}, keys: map[string]string{},
		logRelays: map[string]*relay{}, listRelays: map[string]*relay{},
		doc: documentSpec{accounts: []accountSpec{{"big", 200, 400}, {"small", 50, 100}}},
	}
	for _, o := range opts {
		o(s)
	}
	s.log = startFake(t, "log")
	s.list = startFake(t, "instances")
	for i, dc := range dcs {
		for range dc.engines {
			s.engines[dc.name] = append(s.engines[dc.name], startFake(t, "engine", "--time-scale", "20"))
		}
		s.services[dc.name] = startFake(t, "service")
		s.logRelays[dc.name] = newRelay(t, "127.0.0.1")
		s.logRelays[dc.name].target = s.log.addr
		s.listRelays[dc.name] = newRelay(t, "127.0.0.1")
		s.listRelays[dc.name].target = s.list.addr
		for slot := range dc.slots {
			s.instances = append(s.instances, s.newInstance(i, dc, slot))
		}
	}
	for _, in := range s.instances {
		s.startInstance(in)
	}
	s.apply()
	for _, in := range s.instances {
		s.awaitReady(in)
	}
	s.setKnownKeys()
	s.warmUp()
	return s
}

// warmUp waits until a call of every account succeeds at every instance. This takes a while, because a token holder
// that starts without its predecessor's state treats the tokens as spent.
func (s *site) warmUp() {
	s.t.Helper()
	for _, a := range s.doc.accounts {
		for _, in := range s.instances {
			s.await("a call of "+a.name+" at "+in.id, startTimeout, func() bool {
				return s.caller(a.name).chat(in, "warm", 1, false).complete
			})
		}
	}
}

func (s *site) newInstance(dcIndex int, dc dcSpec, slot int) *instance {
	ip := fmt.Sprintf("127.0.%d.%d", dcIndex+1, slot+1)
	in := &instance{id: fmt.Sprintf("%s-%d", dc.name, slot), dc: dc.name, ip: ip, slot: slot, relay: newRelay(s.t, ip)}
	set := settings.Default()
	set.Instance = settings.Instance{ID: in.id, DataCentre: dc.name, Slot: slot, CellSlots: dc.slots}
	for _, d := range s.dcs {
		set.Instance.DataCentres = append(set.Instance.DataCentres, d.name)
	}
	set.Timing.Lease, set.Timing.ClockMargin = settings.Duration(testLease), settings.Duration(testMargin)
	set.Timing.Heartbeat, set.Timing.ClaimWindow = settings.Duration(testHeartbeat), settings.Duration(testClaimWindow)
	set.Timing.FirstTokenTimeout, set.Timing.TokenTimeout = settings.Duration(3*time.Second),
		settings.Duration(time.Second)
	set.Timing.Shutdown = settings.Duration(5 * time.Second)
	set.Platform.LogURL, set.Platform.InstancesURL = "http://"+s.logRelays[dc.name].addr(), "http://"+s.listRelays[dc.name].addr()
	set.Listen = settings.Listen{Callers: ip + ":0", Peers: ip + ":0", AdvertisePeers: in.relay.addr()}
	set.Faults.PanicOnViolation = true
	set.Log.Verbosity = 1
	in.settings = set
	return in
}

// startInstance starts the daemon, or restarts it as a new incarnation.
func (s *site) startInstance(in *instance) {
	s.t.Helper()
	raw, err := toml.Marshal(in.settings)
	if err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(s.t.TempDir(), in.id+".toml")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		s.t.Fatal(err)
	}
	in.process = startProcess(s.t, in.id, io.Discard, "berylpondd", "run", "--settings", path)
	s.await("serving addresses of "+in.id, startTimeout, func() bool { return s.readAddresses(in) })
	s.list.call(http.MethodPut, "/v1/instances/"+in.id, map[string]string{
		"id": in.id, "kind": "entry", "data_centre": in.dc, "address": in.relay.addr(), "state": "live",
	}, nil)
}

// readAddresses reads the bound addresses from the daemon's log.
func (s *site) readAddresses(in *instance) bool {
	for _, line := range strings.Split(in.log.String(), "\n") {
		var l struct {
			Msg     string `json:"msg"`
			Callers string `json:"callers"`
			Bound   string `json:"bound_peers"`
		}
		if json.Unmarshal([]byte(line), &l) == nil && l.Msg == "Serving" {
			in.callers = l.Callers
			in.relay.mu.Lock()
			in.relay.target = l.Bound
			in.relay.mu.Unlock()
			return true
		}
	}
	return false
}

func (s *site) instance(id string) *instance {
	s.t.Helper()
	for _, in := range s.instances {
		if in.id == id {
			return in
		}
	}
	s.t.Fatalf("no instance %q", id)
	return nil
}

// await polls cond and fails the test if it is not true within the timeout.
func (s *site) await(what string, timeout time.Duration, cond func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return
		}
	}
	s.t.Fatalf("%s: not within %s", what, timeout)
}

// readinessClient has a timeout to tell a process that hangs from one that reports that it is not ready.
var readinessClient = &http.Client{Timeout: 5 * time.Second}

// awaitReady waits until the instance is ready. On a timeout it fails the test with the state of the process and its
// goroutine stacks.
func (s *site) awaitReady(in *instance) {
	s.t.Helper()
	last := "none"
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := readinessClient.Get("http://" + in.callers + "/readyz")
		if err != nil {
			last = err.Error()
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprintf("status %d: %s", resp.StatusCode, body)
	}
	s.t.Fatalf("%s: not ready within %s; last check: %s\n%s", in.id, startTimeout, last, in.dumpStacks())
}

// dumpStacks terminates the process and returns its state and goroutine stacks.
func (p *process) dumpStacks() string {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		stat = []byte(err.Error())
	}
	p.signal(syscall.SIGQUIT)
	select {
	case <-p.exited:
	case <-time.After(5 * time.Second):
		return fmt.Sprintf("process state: %s\nno stacks within 5 s", stat)
	}
	text := p.log.String()
	if at := strings.Index(text, "SIGQUIT"); at >= 0 {
		text = text[at:]
	}
	return fmt.Sprintf("process state: %s\n%s", stat, text)
}

// document renders the team's document. It creates a key for each account that has none.
func (s *site) document() []byte {
	var b strings.Builder
	var names []string
	for _, d := range s.dcs {
		names = append(names, fmt.Sprintf("%q", d.name))
	}
	fmt.Fprintf(&b, "team = %q\ndata_centres = [%s]\n", testTeam, strings.Join(names, ", "))
	for _, a := range s.doc.accounts {
		if s.keys[a.name] == "" {
			key, _, err := document.NewKey()
			if err != nil {
				s.t.Fatal(err)
			}
			s.keys[a.name] = key
		}
		k, err := document.HashKey(s.keys[a.name])
		if err != nil {
			s.t.Fatal(err)
		}
		fmt.Fprintf(&b, "[[account]]\nname = %q\nrate = \"%g/s\"\nburst = %d\nkeys = [{ id = %q, salt = %q, hash = %q }]\n",
			a.name, a.rate, a.burst, k.ID, k.Salt, k.Hash)
	}
	b.WriteString("[[model]]\nname = \"small\"\n")
	for _, d := range s.dcs {
		fmt.Fprintf(&b, "[[model.pool]]\ndata_centre = %q\nbackends = [", d.name)
		for _, e := range s.engines[d.name] {
			fmt.Fprintf(&b, "%q, ", e.addr)
		}
		b.WriteString("]\n")
	}
	b.WriteString("[[service]]\nname = \"effects\"\n")
	for _, d := range s.dcs {
		fmt.Fprintf(&b, "[[service.pool]]\ndata_centre = %q\nbackends = [%q]\n", d.name, s.services[d.name].addr)
	}
	b.WriteString("[[route]]\npath = \"/effects/{name}\"\nmethod = \"POST\"\nservice = \"effects\"\nrepeatable = false\ntimeout = \"2s\"\n")
	return []byte(b.String())
}

func (s *site) adminConn(in *instance) *grpc.ClientConn {
	s.t.Helper()
	conn, err := grpc.NewClient("passthrough:///"+in.relay.target, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	return conn
}

// apply publishes the document, with the version applied last as its base. It retries until it succeeds.
func (s *site) apply() {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	var err error
	for ctx.Err() == nil {
		if s.version, err = s.applyAt(ctx, s.instances[0], s.version, "test"); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Fatalf("apply: %v", err)
}

// applyAt publishes the document at one instance with the given base version. It returns the new version, or base if
// the call fails.
func (s *site) applyAt(ctx context.Context, in *instance, base uint64, author string) (uint64, error) {
	reply, err := configv1.NewAdminClient(s.adminConn(in)).Apply(ctx,
		&configv1.ApplyRequest{Team: testTeam, BaseVersion: base, Document: s.document(), Author: author})
	if err != nil {
		return base, err
	}
	return reply.Version, nil
}

// withdraw withdraws an account's key at one instance.
func (s *site) withdraw(in *instance, account string) {
	s.t.Helper()
	id, ok := document.KeyID(s.keys[account])
	if !ok {
		s.t.Fatal("key has no id")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := configv1.NewAdminClient(s.adminConn(in)).Withdraw(ctx, &configv1.WithdrawRequest{Team: testTeam, KeyId: id}); err != nil {
		s.t.Fatalf("withdraw: %v", err)
	}
}

// partitionDataCentres starts or heals a network partition between two data centres, in both directions.
func (s *site) partitionDataCentres(a, b string, on bool) {
	for _, x := range s.instances {
		for _, y := range s.instances {
			if (x.dc == a && y.dc == b) || (x.dc == b && y.dc == a) {
				x.relay.setPartitioned(y.ip, on)
			}
		}
	}
}

// isolateFromPlatform starts or heals a network partition between a data centre and the platform.
func (s *site) isolateFromPlatform(dc string, on bool) {
	for _, in := range s.instances {
		if in.dc == dc {
			s.logRelays[dc].setPartitioned(in.ip, on)
			s.listRelays[dc].setPartitioned(in.ip, on)
		}
	}
}
