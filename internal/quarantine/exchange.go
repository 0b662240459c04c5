package quarantine

import (
	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

// Report adds the news for the holder to a request to it, or everything if it has not answered before.
func (q *Quarantine) Report(holder string, r *turnv1.TakeRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	if holder == q.holder {
		r.SuspectsRevision = q.holderRevision
		if q.holderRevision == 0 {
			// The holder's build does not know of suspects; the next holder gets everything.
			clear(q.unreported)
			return
		}
		for f := range q.unreported {
			if known := q.register.records[f]; known != nil {
				r.Suspects = append(r.Suspects, encode(f, known, now))
			}
		}
		clear(q.unreported)
		return
	}
	for f, known := range q.register.records {
		r.Suspects = append(r.Suspects, encode(f, known, now))
	}
	clear(q.unreported)
}

// ReportFailed makes the next request repeat what one that failed has reported.
func (q *Quarantine) ReportFailed(r *turnv1.TakeRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, m := range r.Suspects {
		var f Fingerprint
		copy(f[:], m.Fingerprint)
		q.unreported[f] = true
	}
}

// Learn records the holder's response.
func (q *Quarantine) Learn(resp *turnv1.TakeResponse) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.holder, q.holderRevision = resp.Holder, resp.SuspectsRevision
	if resp.SuspectsRevision != 0 {
		q.lastAnswer = now
	}
	q.mergeAll(resp.Suspects, "holder", now)
}

// Exchange is the holder's part: it records what an instance reports and adds what that instance lacks to the response.
func (q *Quarantine) Exchange(r *turnv1.TakeRequest, resp *turnv1.TakeResponse) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.lastServed = now
	q.mergeAll(r.Suspects, r.Instance, now)
	resp.SuspectsRevision = q.register.revision
	if r.SuspectsRevision == q.register.revision {
		return
	}
	for f, known := range q.register.records {
		if known.shared {
			resp.Suspects = append(resp.Suspects, encode(f, known, now))
		}
	}
}
