package turnlog

import (
	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

// advanceShare is the divisor of the part of a program's remaining budget that is granted ahead. A program whose owner is lost keeps
// the rest, and one turn.
const advanceShare = 2

// advance returns how far the grant of a program without stored history reaches beyond what is charged.
//
// Load pattern: the store is away for seconds, in which an instance can record nothing, while programs of many short turns are in
// progress. Their turns begin under the grant that was recorded before.
//
// After the loss of an owner its successor counts the grant as spent but for one turn, whether it was used or not. So a grant
// of all that is left would end every program early whose owner is lost.
func advance(budget, charged, most int64) int64 { return max(most, (budget-charged)/advanceShare) }

// unused returns the records that give back what programs were granted ahead and did not use. The owner must admit no turn after
// that. Turns in progress stay charged with their maximum until they end at the next owner.
//
// Load pattern: instances are added, drained and replaced one after the other, so that a program's partition is released again and
// again. The records are final: from the second takeover on the whole of an older grant would count as spent.
func (s *state) unused() []*turnv1.Record {
	var out []*turnv1.Record
	for k, p := range s.programs {
		charged := p.charged()
		if charged >= p.recordedCharge && len(p.reserved) == 0 && (p.forgiven == 0 || charged >= p.granted) {
			continue
		}
		reserved := make(map[string]int64, len(p.reserved))
		for turn, r := range p.reserved {
			reserved[turn] = r.tokens
		}
		out = append(out, &turnv1.Record{Change: &turnv1.Record_Granted{Granted: &turnv1.Granted{
			Program: k.id, Account: k.account, Granted: p.granted, Charged: charged, Forgiven: p.forgiven, Final: true, Reserved: reserved,
			KeepMs: p.keep.Milliseconds(), AtUnixMs: p.usedUntil().UnixMilli(),
		}}})
	}
	return out
}
