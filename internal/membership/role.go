package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"
)

const (
	// fullCores is the share of a core from which an instance joins the group when it starts. Smaller ones leave the work
	// of owners to larger ones and step in only if few do.
	fullCores = 0.5
	// fewOwners and fewestOwners are the parts of the partitions that must have an owner each, or a large or a small
	// instance joins the group. Between them and one owner for each partition the group stays as it is, since each change
	// moves partitions.
	fewOwners    = 0.5
	fewestOwners = 0.25
	// stepInAfter is how long a small instance waits for larger ones.
	stepInAfter = 1200 * time.Millisecond
	// replenishWithin spreads the instances that could fill a place in the group, so that few do.
	replenishWithin = 3 * time.Second
	// ownersFresh is the age up to which a list of owners says that the group lacks members. While the store is away the
	// group can't be judged, and whoever joined then would move partitions when it is back.
	ownersFresh = time.Second
	// idleAfter and idleSpread say how long a member without a partition stays, so that the group has hardly more members
	// than partitions.
	idleAfter  = 5 * time.Second
	idleSpread = 5 * time.Second
)

// role decides whether the instance should be in the group. Owners read the store; the others ask them, so the calls to
// the store do not grow with the fleet.
type role struct {
	partitions int
	cores      float64
	// started is the first look, waiting the time at which to join unless the group has filled up by then.
	started time.Time
	waiting time.Time
	// idle is how long this instance stays without a partition.
	idle time.Duration
}

// Member reports whether the instance is in the group.
func (m *Membership) Member() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.member
}

// decide joins or leaves the group where that is due.
func (m *Membership) decide(ctx context.Context) {
	if m.left {
		return
	}
	now := m.now()
	first := m.role.started.IsZero()
	if first {
		m.role.started, m.role.idle = now, idleAfter+time.Duration(rand.Int64N(int64(idleSpread)))
		m.readOwners(ctx)
	}
	if m.Member() {
		if m.isIdle(now) {
			klog.InfoS("group left: no partition is needed here", "idle_ms", m.role.idle.Milliseconds())
			m.leave(ctx)
		}
		return
	}
	owners := m.ownerCount()
	if !m.role.lacks(owners, first) || !first && !m.ownersKnown(now) {
		m.role.waiting = time.Time{}
		return
	}
	if m.role.waiting.IsZero() {
		m.role.waiting = now.Add(m.role.delay(first, owners))
	}
	if now.Before(m.role.waiting) {
		return
	}
	klog.InfoS("group joined", "owners", owners, "partitions", m.role.partitions, "cores", m.role.cores)
	m.mu.Lock()
	m.member, m.idleSince = true, time.Time{}
	m.mu.Unlock()
}

// lacks reports whether a group with so many owners needs this instance.
func (r *role) lacks(owners int, first bool) bool {
	needed := float64(r.partitions)
	switch {
	case r.cores < fullCores:
		needed *= fewestOwners
	case !first:
		needed *= fewOwners
	}
	return float64(owners) < max(needed, 1)
}

// delay is how long the instance waits for others to fill the group.
func (r *role) delay(first bool, owners int) time.Duration {
	switch {
	case r.cores >= fullCores && (first || owners == 0):
		return 0
	case r.cores >= fullCores:
		return time.Duration(rand.Int64N(int64(replenishWithin)))
	default:
		return stepInAfter + time.Duration(rand.Int64N(int64(replenishWithin)))
	}
}

// ownersKnown reports whether the list of owners is fresh.
func (m *Membership) ownersKnown(now time.Time) bool {
	if m.fed() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.learned) <= ownersFresh
}

func (m *Membership) isIdle(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.idleSince.IsZero() && now.Sub(m.idleSince) > m.role.idle
}

// ownerCount is the number of instances that hold partitions.
func (m *Membership) ownerCount() int { return len(m.Readers()) }

// Readers lists the instances that hold partitions and read the store, this one left out unless it is one.
func (m *Membership) Readers() []string {
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
