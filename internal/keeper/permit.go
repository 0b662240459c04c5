package keeper

import (
	"sync"
	"sync/atomic"
	"time"

	keeperv1 "github.com/berylpond/berylpond/api/keeper/v1"
	"github.com/berylpond/berylpond/internal/scheduler/framework"
)

// Permit allows one call to one engine. Done must be called when the call has ended; repeated calls of Done have no
// effect.
type Permit struct {
	// Engine is the address of the engine.
	Engine string
	// CachedTokens estimates how many tokens of the prefix the engine has cached.
	CachedTokens int

	source permitSource
	once   sync.Once
	// lastProgress is when progress was last forwarded, in Unix nanoseconds.
	lastProgress atomic.Int64
}

// progressInterval is the minimum time between two progress messages of a permit.
const progressInterval = 250 * time.Millisecond

// doneTimeout bounds the wait for the keeper to close a permit's stream.
const doneTimeout = 2 * time.Second

// permitSource is the scheduler that granted a permit, local or remote.
type permitSource interface {
	progress()
	done(o framework.Outcome)
}

// RecordProgress records that the engine has sent data. The first call marks the first token. Calls are rate-limited,
// so it may be called for every chunk.
func (p *Permit) RecordProgress() {
	now, last := time.Now().UnixNano(), p.lastProgress.Load()
	if now-last < int64(progressInterval) || !p.lastProgress.CompareAndSwap(last, now) {
		return
	}
	p.source.progress()
}

// Done releases the permit.
func (p *Permit) Done(o Outcome) {
	p.once.Do(func() { p.source.done(o) })
}

// localPermit is a permit granted by a runner in this process.
type localPermit struct {
	runner *runner
	id     string
}

func (p localPermit) progress()                { p.runner.progress(p.id) }
func (p localPermit) done(o framework.Outcome) { p.runner.done(p.id, o) }

// remotePermit is a permit granted by another instance. The permit is held as long as its stream is open.
type remotePermit struct {
	mu     sync.Mutex // serialises sends
	stream keeperv1.Keeper_AdmitClient
	cancel func()
}

func (p *remotePermit) progress() {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A send fails only when the stream is broken, and then the keeper has already released the permit.
	_ = p.stream.Send(&keeperv1.AdmitRequest{Kind: &keeperv1.AdmitRequest_Progress{Progress: &keeperv1.Progress{}}})
}

func (p *remotePermit) done(o framework.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.stream.Send(&keeperv1.AdmitRequest{Kind: &keeperv1.AdmitRequest_Done{Done: doneToWire(o)}})
	if err != nil {
		p.cancel()
		return
	}
	_ = p.stream.CloseSend()
	// The keeper closes the stream after reading Done; wait in the background so as not to delay the caller.
	timer := time.AfterFunc(doneTimeout, p.cancel)
	go func() {
		defer p.cancel()
		defer timer.Stop()
		_, _ = p.stream.Recv()
	}()
}
