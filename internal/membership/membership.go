// Package membership maintains the instance's membership in the group to which the store assigns the partitions of
// programs, and tracks the owner of each partition. The owners are routing hints only: the log alone decides which
// instance may write.
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
	// group is the name of the group in the store.
	group = "instances"
	// memberTTL is how long the partitions of a failed instance stay unavailable before the group reassigns them.
	memberTTL = 1500 * time.Millisecond
	// joinInterval is short enough that a member survives the loss of two joins in a row.
	joinInterval = 450 * time.Millisecond
	// joinTimeout bounds a join, a leave or a read of the owners. The store responds within milliseconds, or within a
	// quarter of a second while it is slow.
	joinTimeout = 500 * time.Millisecond
	// joinRetryDelay is the delay after a failed join.
	joinRetryDelay = 150 * time.Millisecond
	// pollInterval is the interval at which an instance outside the group checks whether it should join.
	pollInterval = 300 * time.Millisecond
	// minOwnersInterval is the minimum interval between two reads of the list of owners.
	minOwnersInterval = 60 * time.Millisecond
	// seenTTL is how long an instance that is no longer listed is assumed to serve requests.
	seenTTL = 15 * time.Second
	// maxImmediateJoins bounds the joins made in immediate succession while each assignment releases partitions.
	maxImmediateJoins = 3
)

// Assigner acquires and releases partitions.
type Assigner interface {
	// Assign sets the partitions assigned to the instance. It reports whether it had to release any.
	Assign(numbers []int) (released bool)
}

// Membership is the instance's membership in the group, and its list of partition owners.
type Membership struct {
	store    *platform.Store
	name     platform.Member
	usesFeed func() bool
	onChange func()
	self     string
	assigner Assigner
	now      func() time.Time

	// joining is held during a join, so that no join follows a leave.
	joining sync.Mutex
	left    bool
	role    role

	mu sync.Mutex
	// idleSince is when the group first assigned no partition to the instance. It is zero while partitions are assigned,
	// and before the first join.
	idleSince  time.Time
	member     bool
	generation int64
	lastJoinAt time.Time
	owners     map[int]string
	seen       map[string]time.Time
	// ownersReadAt is when the list of owners was last requested, ownersSetAt when it was last received.
	ownersReadAt time.Time
	ownersSetAt  time.Time
	refresh      chan struct{}
}

// Options configures a Membership.
type Options struct {
	Store    *platform.Store
	Settings platform.StoreSettings
	Topic    string
	// Self is the instance's peer address. StartID is unique for each start of the process.
	Self, StartID string
	// Cores is the number of processor cores of the instance, which may be a fraction.
	Cores    float64
	Assigner Assigner
	// UsesFeed reports whether another instance sends the list of owners to this one.
	UsesFeed func() bool
	// OnChange is called after each change of the list of owners.
	OnChange func()
}

// New returns a Membership that has not joined the group.
func New(o Options) *Membership {
	return &Membership{
		store: o.Store, self: o.Self, assigner: o.Assigner, usesFeed: o.UsesFeed, onChange: o.OnChange, now: time.Now,
		role:   role{partitions: o.Settings.Partitions, cores: o.Cores},
		name:   platform.Member{Group: group, Name: o.Self + "/" + o.StartID, Topic: o.Topic, TTL: max(memberTTL, o.Settings.MinMemberTTL)},
		owners: map[int]string{}, seen: map[string]time.Time{}, refresh: make(chan struct{}, 1),
	}
}

// address returns the peer address of a member.
func address(member string) string {
	a, _, _ := strings.Cut(member, "/")
	return a
}

// Run maintains the membership until the context ends. After Leave it only updates the list of owners, which requests
// in flight still need.
func (m *Membership) Run(ctx context.Context) {
	for ctx.Err() == nil {
		m.wait(ctx, m.poll(ctx))
	}
}

// poll joins, renews or leaves the group as needed, and returns the delay until the next poll.
func (m *Membership) poll(ctx context.Context) time.Duration {
	m.joining.Lock()
	defer m.joining.Unlock()
	m.updateRole(ctx)
	switch {
	case !m.IsMember():
		if !m.usesFeed() {
			m.readOwners(ctx)
		}
		return pollInterval
	case m.join(ctx):
		return joinInterval
	default:
		return joinRetryDelay
	}
}

// wait waits for the delay and reads the list of owners whenever RequestOwners is called.
func (m *Membership) wait(ctx context.Context, delay time.Duration) {
	t := time.NewTimer(delay)
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

// join joins the group or renews the membership. It reports whether the store responded.
func (m *Membership) join(ctx context.Context) bool {
	for range maxImmediateJoins {
		m.mu.Lock()
		known := m.generation
		m.mu.Unlock()
		sent := m.now()
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		a, err := m.store.Join(callCtx, m.name, known)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				klog.V(1).InfoS("failed to join the group", "cause", err.Error(),
					"since_last_ms", sent.Sub(m.lastJoin()).Milliseconds())
			}
			return false
		}
		m.mu.Lock()
		m.generation, m.lastJoinAt = a.Generation, sent
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

func (m *Membership) lastJoin() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastJoinAt
}

func (m *Membership) readOwners(ctx context.Context) {
	m.mu.Lock()
	if m.now().Sub(m.ownersReadAt) < minOwnersInterval {
		m.mu.Unlock()
		return
	}
	m.ownersReadAt = m.now()
	m.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	rows, err := m.store.Owners(callCtx, group)
	if err != nil {
		klog.V(1).InfoS("failed to read the partition owners", "cause", err.Error())
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
	m.SetOwners(owners)
	if predecessor != "" {
		m.removePredecessor(ctx, predecessor)
	}
}

// removePredecessor removes the previous process with the same address from the group. That process has ended, because
// this one listens on its port, so its partitions can be reassigned before its TTL expires.
func (m *Membership) removePredecessor(ctx context.Context, name string) {
	callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	old := m.name
	old.Name = name
	err := m.store.Leave(callCtx, old)
	klog.InfoS("tried to remove the predecessor from the group", "member", name, "done", err == nil)
}

// SetOwners replaces the list of owners with one that was read from the store or received from another instance.
func (m *Membership) SetOwners(owners map[int]string) {
	if m.setOwners(owners) {
		m.onChange()
	}
}

// setOwners replaces the list of owners and reports whether it changed.
func (m *Membership) setOwners(owners map[int]string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	same := maps.Equal(m.owners, owners)
	m.owners = owners
	now := m.now()
	m.ownersSetAt = now
	for _, a := range owners {
		m.seen[a] = now
	}
	for a, at := range m.seen {
		if now.Sub(at) > seenTTL {
			delete(m.seen, a)
		}
	}
	return !same
}

// RequestOwners requests a read of the list of owners without waiting for it.
func (m *Membership) RequestOwners() {
	select {
	case m.refresh <- struct{}{}:
	default:
	}
}

// OwnerOf returns the peer address of the partition's owner, or the empty string if none is known.
func (m *Membership) OwnerOf(partition int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owners[partition]
}

// OwnersByPartition returns the peer addresses of the owners by partition.
func (m *Membership) OwnersByPartition() map[int]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[int]string, len(m.owners))
	for p, a := range m.owners {
		out[p] = a
	}
	return out
}

// RecentPeers returns the peer addresses of the other instances that were seen recently, in order.
func (m *Membership) RecentPeers() []string {
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

// MarkSeen records that an instance was seen now.
func (m *Membership) MarkSeen(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seen[address] = m.now()
}

// Self returns the peer address of the local instance.
func (m *Membership) Self() string { return m.self }

// Leave releases the partitions, so that the group reassigns them at once, and prevents further joins.
func (m *Membership) Leave(ctx context.Context) {
	m.joining.Lock()
	defer m.joining.Unlock()
	m.left = true
	m.leave(ctx)
}

// leave leaves the group if the instance is a member.
func (m *Membership) leave(ctx context.Context) {
	m.mu.Lock()
	wasMember := m.member
	m.member = false
	m.mu.Unlock()
	if !wasMember {
		return
	}
	m.assigner.Assign(nil)
	callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	if err := m.store.Leave(callCtx, m.name); err != nil {
		klog.InfoS("failed to leave the group; the membership ends when its TTL expires", "cause", err.Error())
	}
}
