// Package site starts a whole site for berylload: daemons, fake platform services and fake backend servers as separate
// processes on loopback addresses.
package site

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// startTimeout is the timeout of the start of one process and of each wait until the site is ready.
	startTimeout = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Process is a child process.
type Process struct {
	Name string

	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

// start runs a binary and writes its standard error to a log file in dir. out, if set, receives its standard output.
func start(dir, name string, out io.Writer, binary string, args ...string) (*Process, error) {
	path := filepath.Join(dir, name+".log")
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	p := &Process{Name: name, log: path, cmd: exec.Command(binary, args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, f
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "%s", name)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop sends SIGTERM for a graceful shutdown. It reports whether the process exited in time.
func (p *Process) Stop(within time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return true
	case <-time.After(within):
		return false
	}
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Build compiles the binaries of a site from the module in the working directory into dir.
func Build(ctx context.Context, dir string) error {
	const module = "github.com/berylpond/berylpond/cmd/"
	c := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator), module+daemonBinary, module+fakesBinary)
	c.Stderr = os.Stderr
	return errors.Wrap(c.Run(), "go build")
}

const (
	daemonBinary = "berylpondd"
	fakesBinary  = "berylfakes"
)

// readyLine is the line that a fake prints when it is listening.
type readyLine struct {
	Address string `json:"address"`
}

// startFake starts a fake and waits until it is listening.
func startFake(bin, dir, name, role string, args ...string) (*Fake, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer r.Close()
	p, err := start(dir, name, w, filepath.Join(bin, fakesBinary), append([]string{role}, args...)...)
	w.Close()
	if err != nil {
		return nil, err
	}
	var ready readyLine
	if err := json.NewDecoder(r).Decode(&ready); err != nil {
		p.Kill()
		return nil, errors.Wrapf(err, "%s did not start", name)
	}
	return &Fake{Process: p, Address: ready.Address}, nil
}
