package config

import (
	"slices"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
)

// unseenKey names a withdrawal (team and id) or a drain (id only).
type unseenKey struct{ team, id string }

// unseen holds what other instances told of and what the log has not shown yet. If the instance that took it dies before
// the log can be reached, another one appends it.
type unseen map[unseenKey]*unseenRecord

type unseenRecord struct {
	record *configv1.Record
	// waited is set once a check has met the record: it is appended at the next.
	waited bool
}

// add notes what a merge brought.
func (u unseen) add(d *configv1.Delta) {
	for _, w := range d.Withdrawals {
		r := &configv1.Record{Kind: &configv1.Record_Withdrawal{Withdrawal: w}}
		u[unseenKey{team: w.Team, id: w.KeyId}] = &unseenRecord{record: r}
	}
	for _, b := range d.Drains {
		r := &configv1.Record{Kind: &configv1.Record_Drain{Drain: b}}
		u[unseenKey{id: b.Backend}] = &unseenRecord{record: r}
	}
}

// seen forgets what a record of the log shows.
func (u unseen) seen(r *configv1.Record) {
	for _, w := range append(slices.Clone(r.GetCopy().GetWithdrawals()), r.GetWithdrawal()) {
		delete(u, unseenKey{team: w.GetTeam(), id: w.GetKeyId()})
	}
	key := unseenKey{id: r.GetDrain().GetBackend()}
	if mine, ok := u[key]; ok && mine.record.GetDrain().GetVersion() <= r.GetDrain().GetVersion() {
		delete(u, key)
	}
}

// due returns what was there at the last check already.
func (u unseen) due() []*configv1.Record {
	var out []*configv1.Record
	for _, r := range u {
		if r.waited {
			out = append(out, r.record)
		}
		r.waited = true
	}
	return out
}

// mergePeer takes what another instance holds. It reports false if a splice did not fit.
func (c *Controller) mergePeer(d *configv1.Delta) bool {
	complete := true
	c.update(func(s *State) {
		complete = s.Merge(d)
		c.unseen.add(s.fresh)
	})
	return complete
}
