package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"
)

const (
	// largeInstanceCores is the number of cores from which an instance counts as large and joins the group when it starts.
	// Smaller instances leave ownership to larger ones and join only if the group has few owners.
	largeInstanceCores = 0.5
	// minOwnersLarge and minOwnersSmall are numbers of owners, as fractions of the number of partitions, below which a
	// large or a small instance joins a running group. Above them the group stays unchanged even if it has fewer owners
	// than partitions, because each change moves partitions.
	minOwnersLarge = 0.5
	minOwnersSmall = 0.25
	// smallInstanceDelay is how long a small instance waits for larger ones to join.
	smallInstanceDelay = 1200 * time.Millisecond
	// joinJitter is the interval over which the joins of several instances are spread, so that only a few join.
	joinJitter = 3 * time.Second
	// maxOwnersAge is the age up to which a list of owners may show that the group lacks members. While the store is
	// unavailable the state of the group is unknown, and an instance that joined would move partitions once the store is
	// available again.
	maxOwnersAge = time.Second
	// A member without a partition leaves the group after minIdleTimeout plus up to idleJitter, so that the group
	// has hardly more members than partitions.
	minIdleTimeout = 5 * time.Second
	idleJitter     = 5 * time.Second
)

// role decides whether the instance should be a member of the group. Only owners read the store, and the other instances
// get its contents from them, so that the number of calls to the store does not grow with the number of instances.
type role struct {
	partitions int
	cores      float64
	// started is the time of the first poll, joinAt the time at which to join unless the group has enough owners by then.
	started time.Time
	joinAt  time.Time
	// idleTimeout is how long this instance stays in the group without a partition.
	idleTimeout time.Duration
}

// IsMember reports whether the instance is a member of the group.
func (m *Membership) IsMember() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.member
}

// updateRole joins or leaves the group when that is due.
func (m *Membership) updateRole(ctx context.Context) {
	if m.left {
		return
	}
	now := m.now()
	first := m.role.started.IsZero()
	if first {
		m.role.started, m.role.idleTimeout = now, minIdleTimeout+time.Duration(rand.Int64N(int64(idleJitter)))
		m.readOwners(ctx)
	}
	if m.IsMember() {
		if m.isIdle(now) {
			klog.InfoS("leaving the group: no partition is assigned", "idle_ms", m.role.idleTimeout.Milliseconds())
			m.leave(ctx)
		}
		return
	}
	owners := m.ownerCount()
	if !m.role.isNeeded(owners, first) || !first && !m.ownersFresh(now) {
		m.role.joinAt = time.Time{}
		return
	}
	if m.role.joinAt.IsZero() {
		m.role.joinAt = now.Add(m.role.joinDelay(first, owners))
	}
	if now.Before(m.role.joinAt) {
		return
	}
	klog.InfoS("joining the group", "owners", owners, "partitions", m.role.partitions, "cores", m.role.cores)
	m.mu.Lock()
	m.member, m.idleSince = true, time.Time{}
	m.mu.Unlock()
}

// isNeeded reports whether a group with the given number of owners needs this instance.
func (r *role) isNeeded(owners int, first bool) bool {
	needed := float64(r.partitions)
	switch {
	case r.cores < largeInstanceCores:
		needed *= minOwnersSmall
	case !first:
		needed *= minOwnersLarge
	}
	return float64(owners) < max(needed, 1)
}

// joinDelay returns how long the instance waits for others to join first.
func (r *role) joinDelay(first bool, owners int) time.Duration {
	switch {
	case r.cores >= largeInstanceCores && (first || owners == 0):
		return 0
	case r.cores >= largeInstanceCores:
		return time.Duration(rand.Int64N(int64(joinJitter)))
	default:
		return smallInstanceDelay + time.Duration(rand.Int64N(int64(joinJitter)))
	}
}

// ownersFresh reports whether the list of owners is recent enough to decide on a join.
func (m *Membership) ownersFresh(now time.Time) bool {
	if m.usesFeed() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.ownersSetAt) <= maxOwnersAge
}

func (m *Membership) isIdle(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.idleSince.IsZero() && now.Sub(m.idleSince) > m.role.idleTimeout
}

// ownerCount returns the number of instances that own partitions.
func (m *Membership) ownerCount() int { return len(m.OwnerAddresses()) }

// OwnerAddresses returns the peer addresses of the owners, which are the instances that read the store. It includes the
// local instance only if that owns a partition.
func (m *Membership) OwnerAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	seen := map[string]bool{}
	for _, a := range m.owners {
		if !seen[a] {
			seen[a] = true
			out = append(out, a)
		}
	}
	return out
}
