package config

import (
	"slices"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
)

// unconfirmedKey identifies a withdrawal (team and key ID) or a drain (backend address as id, no team).
type unconfirmedKey struct{ team, id string }

// unconfirmedRecords holds withdrawals and drains that were received from other instances and not yet read from the
// log. They are appended from here in case the instance that accepted them crashed before it could reach the log.
type unconfirmedRecords map[unconfirmedKey]*unconfirmedRecord

type unconfirmedRecord struct {
	record *configv1.Record
	// checked is set at the first refresh check after the record was added. The record is appended at the next check
	// unless it was read from the log by then.
	checked bool
}

// add adds the withdrawals and drains that were new in a merge.
func (u unconfirmedRecords) add(d *configv1.Delta) {
	for _, w := range d.Withdrawals {
		r := &configv1.Record{Kind: &configv1.Record_Withdrawal{Withdrawal: w}}
		u[unconfirmedKey{team: w.Team, id: w.KeyId}] = &unconfirmedRecord{record: r}
	}
	for _, b := range d.Drains {
		r := &configv1.Record{Kind: &configv1.Record_Drain{Drain: b}}
		u[unconfirmedKey{id: b.Backend}] = &unconfirmedRecord{record: r}
	}
}

// confirm removes the entries that a record of the log covers.
func (u unconfirmedRecords) confirm(r *configv1.Record) {
	for _, w := range append(slices.Clone(r.GetCopy().GetWithdrawals()), r.GetWithdrawal()) {
		delete(u, unconfirmedKey{team: w.GetTeam(), id: w.GetKeyId()})
	}
	key := unconfirmedKey{id: r.GetDrain().GetBackend()}
	if mine, ok := u[key]; ok && mine.record.GetDrain().GetVersion() <= r.GetDrain().GetVersion() {
		delete(u, key)
	}
}

// due returns the records that were already there at the previous check.
func (u unconfirmedRecords) due() []*configv1.Record {
	var out []*configv1.Record
	for _, r := range u {
		if r.checked {
			out = append(out, r.record)
		}
		r.checked = true
	}
	return out
}

// mergePeer merges a delta from another instance. It returns false if the base of a splice is not available.
func (c *Controller) mergePeer(d *configv1.Delta) bool {
	complete := true
	c.update(func(s *State) {
		complete = s.Merge(d)
		c.unconfirmed.add(s.added)
	})
	return complete
}
