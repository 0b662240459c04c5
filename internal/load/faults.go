package load

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/fakes/fault"
	"github.com/berylpond/berylpond/internal/load/site"
)

// FaultKind is a kind of injected fault.
type FaultKind string

// Kinds of injected faults.
const (
	// FaultKill kills a daemon with SIGKILL and restarts it when the fault ends.
	FaultKill FaultKind = "kill"
	// FaultStop shuts a daemon down gracefully and restarts it when the fault ends.
	FaultStop FaultKind = "stop"
	// FaultFreeze suspends a daemon with SIGSTOP and resumes it when the fault ends.
	FaultFreeze FaultKind = "freeze"
	// FaultLogOutage makes the log service unavailable.
	FaultLogOutage FaultKind = "log-outage"
	// FaultEngineHang makes an engine accept requests without processing them.
	FaultEngineHang FaultKind = "engine-hang"
	// FaultEngineSilent makes an engine stop sending on open connections without closing them.
	FaultEngineSilent FaultKind = "engine-silent"
	// FaultEngineCrash makes an engine lose its in-memory state.
	FaultEngineCrash FaultKind = "engine-crash"
	// FaultEngineTruncate ends an engine's streams early.
	FaultEngineTruncate FaultKind = "engine-truncate"
	// FaultMismatched makes an engine respond with the response to another request.
	FaultMismatched FaultKind = "engine-crossed"
	// FaultLoseResponse makes a service execute a call and drop the response.
	FaultLoseResponse FaultKind = "service-lose-answer"
)

// Fault is one injected fault.
type Fault struct {
	Kind FaultKind
	// Target is the index of the daemon, engine or service.
	Target int
	// StartOffset is the offset from the start of the run.
	StartOffset time.Duration
	// Duration is the time after which the fault is removed.
	Duration time.Duration
}

// FaultKinds returns all kinds of faults.
func FaultKinds() []FaultKind {
	return []FaultKind{
		FaultKill, FaultStop, FaultFreeze, FaultLogOutage, FaultEngineHang, FaultEngineSilent, FaultEngineCrash, FaultEngineTruncate, FaultMismatched, FaultLoseResponse,
	}
}

// ParseFault parses KIND:TARGET@AT+DURATION, for example "kill:2@5s+10s".
func ParseFault(text string) (Fault, error) {
	kind, rest, _ := strings.Cut(text, ":")
	target, rest, _ := strings.Cut(rest, "@")
	at, length, ok := strings.Cut(rest, "+")
	f := Fault{Kind: FaultKind(kind)}
	var errTarget, errAt, errLength error
	f.Target, errTarget = strconv.Atoi(target)
	f.StartOffset, errAt = time.ParseDuration(at)
	f.Duration, errLength = time.ParseDuration(length)
	if !ok || errTarget != nil || errAt != nil || errLength != nil {
		return f, errors.Newf("fault %q: expected KIND:TARGET@AT+DURATION", text)
	}
	for _, k := range FaultKinds() {
		if k == f.Kind {
			return f, nil
		}
	}
	return f, errors.Newf("fault %q: unknown kind, must be one of %v", text, FaultKinds())
}

// injectAll injects each fault at its offset and returns when all have been removed.
func injectAll(ctx context.Context, s *site.Site, faults []Fault) {
	var running sync.WaitGroup
	for _, f := range faults {
		running.Go(func() {
			if !sleep(ctx, f.StartOffset) {
				return
			}
			if err := Inject(ctx, s, f); err != nil {
				klog.ErrorS(err, "Failed to inject a fault", "kind", f.Kind, "target", f.Target)
			}
		})
	}
	running.Wait()
}

// Inject injects one fault, waits for its duration and removes it.
func Inject(ctx context.Context, s *site.Site, f Fault) error {
	switch f.Kind {
	case FaultKill, FaultStop, FaultFreeze:
		return injectInstance(ctx, s, f, s.Instances[f.Target%len(s.Instances)])
	case FaultLogOutage:
		return injectFake(ctx, s.Log, f, fault.Outage)
	case FaultLoseResponse:
		return injectFake(ctx, s.Services[f.Target%len(s.Services)], f, fault.LoseResponse)
	}
	modes := map[FaultKind]fault.Mode{
		FaultEngineHang: fault.Hang, FaultEngineSilent: fault.Silent, FaultEngineCrash: fault.Crash,
		FaultEngineTruncate: fault.Truncate,
		FaultMismatched:     fault.Mismatched,
	}
	return injectFake(ctx, s.Engines[f.Target%len(s.Engines)], f, modes[f.Kind])
}

func injectFake(ctx context.Context, fake *site.Fake, f Fault, mode fault.Mode) error {
	if err := fake.SetFault(ctx, fault.Spec{Mode: mode, DelayMS: f.Duration.Milliseconds(), AfterChunks: 3}); err != nil {
		return err
	}
	sleep(ctx, f.Duration)
	return fake.ClearFault(context.WithoutCancel(ctx))
}

// stopTimeout bounds a graceful shutdown.
const stopTimeout = 40 * time.Second

func injectInstance(ctx context.Context, s *site.Site, f Fault, in *site.Instance) error {
	p := in.Process()
	switch f.Kind {
	case FaultFreeze:
		p.Signal(syscall.SIGSTOP)
		sleep(ctx, f.Duration)
		p.Signal(syscall.SIGCONT)
		return nil
	case FaultKill:
		p.Kill()
	case FaultStop:
		if !p.Stop(stopTimeout) {
			return errors.Newf("%s did not shut down within %s", in.ID, stopTimeout)
		}
	}
	sleep(ctx, f.Duration)
	restart := context.WithoutCancel(ctx)
	if err := s.StartInstance(restart, in); err != nil {
		return err
	}
	return in.AwaitReady(restart)
}
