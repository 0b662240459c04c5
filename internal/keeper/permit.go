package keeper

import (
	"sync"
	"sync/atomic"
	"time"

	keeperv1 "github.com/berylpond/berylpond/api/keeper/v1"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// Permit allows one call to one engine. Done must be called once the call has ended; later calls of Done do nothing.
type Permit struct {
	// Engine is the address of the engine.
	Engine string
	// CachedTokens estimates the part of the prefix that the engine holds.
	CachedTokens int

	holder permitHolder
	once   sync.Once
	// progressed is when progress was last passed on, in Unix nanoseconds.
	progressed atomic.Int64
}

// progressInterval is the shortest pause between two signs of progress that are passed on.
const progressInterval = 250 * time.Millisecond

// doneTimeout bounds the wait for the keeper to end a permit's stream.
const doneTimeout = 2 * time.Second

// permitHolder is where the permit was granted.
type permitHolder interface {
	progress()
	done(o framework.Outcome)
}

// Progress says that the engine has sent something. The first call marks the first token. It is cheap enough to be
// called for every chunk.
func (p *Permit) Progress() {
	now, last := time.Now().UnixNano(), p.progressed.Load()
	if now-last < int64(progressInterval) || !p.progressed.CompareAndSwap(last, now) {
		return
	}
	p.holder.progress()
}

// Done frees the permit.
func (p *Permit) Done(o Outcome) {
	p.once.Do(func() { p.holder.done(o) })
}

// localHolder is a permit of a runner in this process.
type localHolder struct {
	runner *runner
	id     string
}

func (h localHolder) progress()                { h.runner.progress(h.id) }
func (h localHolder) done(o framework.Outcome) { h.runner.done(h.id, o) }

// remoteHolder is a permit that stays open with its stream.
type remoteHolder struct {
	mu     sync.Mutex // serialises sends
	stream keeperv1.Keeper_AdmitClient
	cancel func()
}

func (h *remoteHolder) progress() {
	h.mu.Lock()
	defer h.mu.Unlock()
	// A send that fails means a lost stream, which has freed the permit already.
	_ = h.stream.Send(&keeperv1.AdmitRequest{Kind: &keeperv1.AdmitRequest_Progress{Progress: &keeperv1.Progress{}}})
}

func (h *remoteHolder) done(o framework.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	err := h.stream.Send(&keeperv1.AdmitRequest{Kind: &keeperv1.AdmitRequest_Done{Done: doneToWire(o)}})
	if err != nil {
		h.cancel()
		return
	}
	_ = h.stream.CloseSend()
	// The keeper ends the stream when it has read Done; waiting for it must not delay the caller.
	timer := time.AfterFunc(doneTimeout, h.cancel)
	go func() {
		defer h.cancel()
		defer timer.Stop()
		_, _ = h.stream.Recv()
	}()
}
