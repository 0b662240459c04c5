// Package failpoint lets tests inject faults at named points of the code. All points are disabled by default; while no
// point is enabled, a hit costs one atomic load.
package failpoint

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// ErrInjected is returned by Hit at a point whose action is "error".
var ErrInjected = errors.New("injected fault")

// Action is what happens when an enabled point is hit.
type Action struct {
	// Kind is one of "kill" (the process kills itself with SIGKILL), "freeze" (the process stops itself with SIGSTOP),
	// "sleep" (Hit sleeps for Delay) and "error" (Hit returns ErrInjected).
	Kind string
	// Delay applies to "sleep".
	Delay time.Duration
	// After is the number of hits before the first one that triggers the action.
	After int64
	// Times is the number of hits that trigger the action; 0 means one.
	Times int64
}

type point struct {
	action Action
	hits   int64
}

var (
	enabled atomic.Bool
	mu      sync.Mutex
	points  = map[string]*point{}
)

// Enable enables the named point.
func Enable(name string, a Action) {
	mu.Lock()
	defer mu.Unlock()
	if a.Times == 0 {
		a.Times = 1
	}
	points[name] = &point{action: a}
	enabled.Store(true)
}

// Disable disables the named point.
func Disable(name string) {
	mu.Lock()
	defer mu.Unlock()
	delete(points, name)
	enabled.Store(len(points) > 0)
}

// Parse reads a comma-separated list of name=kind[:delay][@after][*times], for example
// "journal.append.after=kill@3,dispatch.before=sleep:2s*5", and enables each point.
func Parse(spec string) error {
	for _, item := range strings.Split(spec, ",") {
		if item = strings.TrimSpace(item); item == "" {
			continue
		}
		if err := parseItem(item); err != nil {
			return err
		}
	}
	return nil
}

func parseItem(item string) error {
	name, rest, ok := strings.Cut(item, "=")
	if !ok {
		return errors.Newf("failpoint %q: want name=kind[:delay][@after][*times]", item)
	}
	var a Action
	var err error
	if head, n, ok := strings.Cut(rest, "*"); ok {
		rest = head
		if a.Times, err = strconv.ParseInt(n, 10, 64); err != nil {
			return errors.Wrapf(err, "failpoint %q: times", item)
		}
	}
	if head, n, ok := strings.Cut(rest, "@"); ok {
		rest = head
		if a.After, err = strconv.ParseInt(n, 10, 64); err != nil {
			return errors.Wrapf(err, "failpoint %q: after", item)
		}
	}
	if head, d, ok := strings.Cut(rest, ":"); ok {
		rest = head
		if a.Delay, err = time.ParseDuration(d); err != nil {
			return errors.Wrapf(err, "failpoint %q: delay", item)
		}
	}
	switch a.Kind = rest; a.Kind {
	case "kill", "freeze", "sleep", "error":
	default:
		return errors.Newf("failpoint %q: unknown kind %q", item, a.Kind)
	}
	Enable(name, a)
	return nil
}

// Hit runs the action of the named point if it is enabled.
func Hit(name string) error {
	if !enabled.Load() {
		return nil
	}
	a, ok := nextAction(name)
	if !ok {
		return nil
	}
	klog.InfoS("Failpoint acts", "name", name, "kind", a.Kind)
	switch a.Kind {
	case "kill":
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	case "freeze":
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
	case "sleep":
		time.Sleep(a.Delay)
	case "error":
		return ErrInjected
	}
	return nil
}

func nextAction(name string) (Action, bool) {
	mu.Lock()
	defer mu.Unlock()
	p := points[name]
	if p == nil {
		return Action{}, false
	}
	p.hits++
	if p.hits <= p.action.After || p.hits > p.action.After+p.action.Times {
		return Action{}, false
	}
	return p.action, true
}
