// Package membership keeps the instance in the group that shares out the partitions of programs, and knows which
// instance holds each. Who may write is decided by the log alone; membership only says where to try first.
package membership

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/platform"
)

const (
	// group is the name of the group of instances.
	group = "instances"
	// memberTTL is how long the partitions of an instance that has died wait for another owner.
	memberTTL = 1500 * time.Millisecond
	// joinEvery keeps a member with two joins lost in a row.
	joinEvery = 450 * time.Millisecond
	// joinTimeout bounds a join; the store answers within milliseconds, and within a quarter of a second while slow.
	joinTimeout = 500 * time.Millisecond
	// retryPause is the pause after a failed join.
	retryPause = 150 * time.Millisecond
	// observePause is the pause between two looks of an instance that is not in the group.
	observePause = 300 * time.Millisecond
	// refreshPause is the shortest pause between two reads of the list of owners.
	refreshPause = 60 * time.Millisecond
	// rememberFor is how long an instance that is no longer listed counts as one that may still serve.
	rememberFor = 15 * time.Second
	// settleRounds bounds how often an assignment that took partitions away is answered by another join at once.
	settleRounds = 3
)

// Assigner takes the partitions that the instance was dealt; it reports whether it had to release any.
type Assigner interface {
	Assign(numbers []int) (released bool)
}

// Membership is the instance's place in the group.
type Membership struct {
	store    *platform.Store
	name     platform.Member
	fed      func() bool
	changed  func()
	self     string
	assigner Assigner
	now      func() time.Time

	// joining is held during a join, so that none follows a leave.
	joining sync.Mutex
	left    bool
	role    role

	mu sync.Mutex
	// idleSince is when the group first had no partition for the instance; zero while it has, or has not been asked.
	idleSince  time.Time
	member     bool
	generation int64
	joined     time.Time
	owners     map[int]string
	seen       map[string]time.Time
	// ownersRead is when owners were last asked for, learned when a list came.
	ownersRead time.Time
	learned    time.Time
	refresh    chan struct{}
}

// Options say who the instance is.
type Options struct {
	Store    *platform.Store
	Settings platform.StoreSettings
	Topic    string
	// Self is the instance's peer address, Start unique for each start of the process.
	Self, Start string
	// Cores is the share of a processor core that the instance gets.
	Cores    float64
	Assigner Assigner
	// Fed reports whether another instance tells this one who owns what.
	Fed func() bool
	// Changed is called after each change of the owners.
	Changed func()
}

// New returns a membership that has not joined.
func New(o Options) *Membership {
	return &Membership{
		store: o.Store, self: o.Self, assigner: o.Assigner, fed: o.Fed, changed: o.Changed, now: time.Now,
		role:   role{partitions: o.Settings.Partitions, cores: o.Cores},
		name:   platform.Member{Group: group, Name: o.Self + "/" + o.Start, Topic: o.Topic, TTL: max(memberTTL, o.Settings.MinMemberTTL)},
		owners: map[int]string{}, seen: map[string]time.Time{}, refresh: make(chan struct{}, 1),
	}
}

// address returns the peer address of a member.
func address(member string) string {
	a, _, _ := strings.Cut(member, "/")
	return a
}

// Run keeps the instance's place in the group until the context ends. After Leave it only follows the owners, which the
// requests still under way need.
func (m *Membership) Run(ctx context.Context) {
	for ctx.Err() == nil {
		m.wait(ctx, m.follow(ctx))
	}
}

// follow joins the group where the instance should be in it, and returns the pause until the next look.
func (m *Membership) follow(ctx context.Context) time.Duration {
	m.joining.Lock()
	defer m.joining.Unlock()
	m.decide(ctx)
	switch {
	case !m.Member():
		if !m.fed() {
			m.readOwners(ctx)
		}
		return observePause
	case m.join(ctx):
		return joinEvery
	default:
		return retryPause
	}
}

// wait lets a pause pass and reads the owners when asked to.
func (m *Membership) wait(ctx context.Context, pause time.Duration) {
	t := time.NewTimer(pause)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			return
		case <-m.refresh:
			m.readOwners(ctx)
		}
	}
}

// join keeps the instance in the group; it reports whether the store answered.
func (m *Membership) join(ctx context.Context) bool {
	for range settleRounds {
		m.mu.Lock()
		known := m.generation
		m.mu.Unlock()
		sent := m.now()
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		a, err := m.store.Join(callCtx, m.name, known)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				klog.V(1).InfoS("join failed", "cause", err.Error(), "since_last_ms", sent.Sub(m.lastJoined()).Milliseconds())
			}
			return false
		}
		m.mu.Lock()
		m.generation, m.joined = a.Generation, sent
		switch {
		case len(a.Partitions) > 0:
			m.idleSince = time.Time{}
		case m.idleSince.IsZero():
			m.idleSince = sent
		}
		m.mu.Unlock()
		numbers := make([]int, 0, len(a.Partitions))
		for _, p := range a.Partitions {
			numbers = append(numbers, p.Number)
		}
		if a.Generation != known {
			sort.Ints(numbers)
			klog.InfoS("group changed", "generation", a.Generation, "partitions", numbers)
		}
		released := m.assigner.Assign(numbers)
		if a.Generation != known {
			m.readOwners(ctx)
		}
		if !released {
			return true
		}
	}
	return true
}

func (m *Membership) lastJoined() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined
}

func (m *Membership) readOwners(ctx context.Context) {
	m.mu.Lock()
	if m.now().Sub(m.ownersRead) < refreshPause {
		m.mu.Unlock()
		return
	}
	m.ownersRead = m.now()
	m.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	rows, err := m.store.Owners(callCtx, group)
	if err != nil {
		klog.V(1).InfoS("owners not read", "cause", err.Error())
		return
	}
	owners := map[int]string{}
	predecessor := ""
	for _, r := range rows {
		if r.Member == "" || r.Partition.Topic != m.name.Topic {
			continue
		}
		owners[r.Partition.Number] = address(r.Member)
		if address(r.Member) == m.self && r.Member != m.name.Name {
			predecessor = r.Member
		}
	}
	m.Learn(owners)
	if predecessor != "" {
		m.endPredecessor(ctx, predecessor)
	}
}

// endPredecessor takes the process that had this address before out of the group. It has ended, as its port is ours, and
// its partitions need not wait for its time to live.
func (m *Membership) endPredecessor(ctx context.Context, name string) {
	callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	old := m.name
	old.Name = name
	err := m.store.Leave(callCtx, old)
	klog.InfoS("predecessor taken out of the group", "member", name, "done", err == nil)
}

// Learn takes over a list of owners, read here or told by another instance.
func (m *Membership) Learn(owners map[int]string) {
	if m.learn(owners) {
		m.changed()
	}
}

// learn reports whether anything changed.
func (m *Membership) learn(owners map[int]string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	same := maps.Equal(m.owners, owners)
	m.owners = owners
	now := m.now()
	m.learned = now
	for _, a := range owners {
		m.seen[a] = now
	}
	for a, at := range m.seen {
		if now.Sub(at) > rememberFor {
			delete(m.seen, a)
		}
	}
	return !same
}

// Refresh asks for a new list of owners soon.
func (m *Membership) Refresh() {
	select {
	case m.refresh <- struct{}{}:
	default:
	}
}

// OwnerOf returns the peer address of the instance that holds a partition; empty if none is known.
func (m *Membership) OwnerOf(partition int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owners[partition]
}

// Owners returns the list of owners.
func (m *Membership) Owners() map[int]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[int]string, len(m.owners))
	for p, a := range m.owners {
		out[p] = a
	}
	return out
}

// Known lists the other instances that were seen lately, in order.
func (m *Membership) Known() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for a := range m.seen {
		if a != m.self {
			out = append(out, a)
		}
	}
	sort.Strings(out)
	return out
}

// Saw counts an instance as known.
func (m *Membership) Saw(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seen[address] = m.now()
}

// Self returns the instance's own peer address.
func (m *Membership) Self() string { return m.self }

// Leave gives the partitions up, so that others get them at once.
func (m *Membership) Leave(ctx context.Context) {
	m.joining.Lock()
	defer m.joining.Unlock()
	m.left = true
	m.leave(ctx)
}

// leave gives the place in the group up.
func (m *Membership) leave(ctx context.Context) {
	m.mu.Lock()
	was := m.member
	m.member = false
	m.mu.Unlock()
	if !was {
		return
	}
	m.assigner.Assign(nil)
	callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := m.store.Leave(callCtx, m.name); err != nil {
		klog.InfoS("group not left; its time to live ends it", "cause", err.Error())
	}
}
