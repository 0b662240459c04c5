// Package membership keeps the instance in the group that shares out the partitions of programs, and knows which
// instance holds each. Who may write is decided by the log alone; membership only says where to try first.
package membership

import (
	"context"
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
	member   platform.Member
	self     string
	assigner Assigner
	now      func() time.Time

	// joining is held during a join, so that none follows a leave.
	joining sync.Mutex
	left    bool

	mu         sync.Mutex
	generation int64
	joined     time.Time
	owners     map[int]string
	seen       map[string]time.Time
	ownersRead time.Time
	refresh    chan struct{}
}

// New returns a membership under the peer address self; start is unique for each start of the process.
func New(store *platform.Store, s platform.StoreSettings, topic, self, start string, a Assigner) *Membership {
	return &Membership{
		store: store, self: self, assigner: a, now: time.Now,
		member: platform.Member{Group: group, Name: self + "/" + start, Topic: topic, TTL: max(memberTTL, s.MinMemberTTL)},
		owners: map[int]string{}, seen: map[string]time.Time{}, refresh: make(chan struct{}, 1),
	}
}

// address returns the peer address of a member.
func address(member string) string {
	a, _, _ := strings.Cut(member, "/")
	return a
}

// Run joins the group and follows its changes until the context ends. After Leave it only follows the owners, which the
// requests still under way need.
func (m *Membership) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := joinEvery
		if !m.follow(ctx) {
			pause = retryPause
		}
		m.wait(ctx, pause)
	}
}

func (m *Membership) follow(ctx context.Context) bool {
	m.joining.Lock()
	defer m.joining.Unlock()
	if m.left {
		m.readOwners(ctx)
		return true
	}
	return m.join(ctx)
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

func (m *Membership) join(ctx context.Context) bool {
	for range settleRounds {
		m.mu.Lock()
		known := m.generation
		m.mu.Unlock()
		sent := m.now()
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		a, err := m.store.Join(callCtx, m.member, known)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				klog.V(1).InfoS("join failed", "cause", err.Error(), "since_last_ms", sent.Sub(m.lastJoined()).Milliseconds())
			}
			return false
		}
		m.mu.Lock()
		m.generation, m.joined = a.Generation, sent
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
	for _, r := range rows {
		if r.Member != "" && r.Partition.Topic == m.member.Topic {
			owners[r.Partition.Number] = address(r.Member)
		}
	}
	m.Learn(owners)
}

// Learn takes over a list of owners, read here or told by another instance.
func (m *Membership) Learn(owners map[int]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.owners = owners
	now := m.now()
	for _, a := range owners {
		m.seen[a] = now
	}
	for a, at := range m.seen {
		if now.Sub(at) > rememberFor {
			delete(m.seen, a)
		}
	}
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
	m.assigner.Assign(nil)
	callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := m.store.Leave(callCtx, m.member); err != nil {
		klog.InfoS("group not left; its time to live ends it", "cause", err.Error())
	}
}
