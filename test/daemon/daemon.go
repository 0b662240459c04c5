// Package daemon runs the daemon of the platform's instances as a process of its own, for tests that stop or strain it.
package daemon

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/berylpond/berylpond/platform"
)

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
memoryMb = %[3]d
maxFds = %[4]d
[ruleParams]
graceS = %[5]v
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

// Limits are the figures of the settings that tests vary.
type Limits struct {
	MemoryMB, MaxFiles int
	Grace              time.Duration
}

// DefaultLimits leave a daemon more than any test needs.
var DefaultLimits = Limits{MemoryMB: 512, MaxFiles: 8200, Grace: 8 * time.Second}

// Address returns the address of the n-th daemon of a test. The process id keeps test runs on one machine apart.
func Address(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 128+pid>>8&63, pid&255, n+1)
}

// Build builds the daemon of a source tree.
func Build(t *testing.T, source, binary string) {
	t.Helper()
	c := exec.Command("go", "build", "-o", binary, "./cmd/berylpondd")
	c.Dir = source
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("building the daemon: %v\n%s", err, out)
	}
}

// Process is a running daemon.
type Process struct {
	IP     string
	cmd    *exec.Cmd
	exited chan error
	log    string
}

// Start starts a daemon at an address and waits until it is ready. It ends with the test at the latest.
func Start(t *testing.T, binary, ip, store string, l Limits) *Process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(path, fmt.Appendf(nil, settings, ip, store, l.MemoryMB, l.MaxFiles, l.Grace.Seconds()), 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	p := &Process{IP: ip, cmd: exec.Command(binary, "platform"), exited: make(chan error, 1), log: log.Name()}
	p.cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+path)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.cmd.Wait(); close(p.exited) }()
	t.Cleanup(p.Kill)
	for deadline := time.Now().Add(15 * time.Second); !p.isReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s at %s is not ready\n%s", filepath.Base(binary), ip, p.Log())
		}
	}
	return p
}

func (p *Process) isReady() bool {
	resp, err := http.Get("http://" + p.IP + ":18081" + platform.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// URL is the address for clients.
func (p *Process) URL() string { return "http://" + p.ClientAddress() }

// ClientAddress is the host and port for clients.
func (p *Process) ClientAddress() string { return p.IP + ":18080" }

// Log returns what the daemon has written.
func (p *Process) Log() string {
	b, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// Stop tells the daemon to stop and returns once it has ended.
func (p *Process) Stop(t *testing.T) {
	t.Helper()
	p.Terminate(t)
	if err := <-p.exited; err != nil {
		t.Errorf("the daemon at %s ended with %v", p.IP, err)
	}
}

// Terminate tells the daemon to stop.
func (p *Process) Terminate(t *testing.T) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}

// Kill ends the daemon without notice, if it runs.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// HasEnded reports whether the daemon has ended by itself.
func (p *Process) HasEnded() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Memory returns the anonymous memory of the process in bytes, zero if it has ended.
func (p *Process) Memory() int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), "RssAnon:")
	kb, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	n, err := strconv.ParseInt(kb, 10, 64)
	if err != nil {
		return 0
	}
	return n << 10
}

// Descriptors returns the number of open descriptors of the process, zero if it has ended.
func (p *Process) Descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}
