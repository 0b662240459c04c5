package fleet

import "github.com/berylpond/berylpond/internal/placement"

// Outlook returns what a request with the given criteria can expect now. It takes no permission to send.
func (f *Fleet) Outlook(c Criteria) placement.Outlook {
	f.mu.Lock()
	defer f.mu.Unlock()
	var o placement.Outlook
	now := f.now()
	for _, b := range f.byService[c.Service] {
		if excluded(c.Exclude, b.ID) || !c.allows(b) || !f.mayBeUsed(b, now) {
			continue
		}
		o.Servers++
		o.Places += b.Slots
		o.Free += max(b.Slots-b.inFlight, 0)
	}
	return o
}
