package fleet

import (
	"time"

	"github.com/berylpond/berylpond/internal/placement"
)

// Outlook returns what a request with the given criteria can expect now. It takes no permission to send.
func (f *Fleet) Outlook(c Criteria) placement.Outlook {
	f.mu.Lock()
	defer f.mu.Unlock()
	var o placement.Outlook
	now := f.now()
	var service time.Duration
	if p := f.placements[c.Service]; p != nil {
		service = p.costs.Service()
	}
	for _, b := range f.byService[c.Service] {
		if excluded(c.Exclude, b.ID) || !c.allows(b) || !f.mayBeUsed(b, now) {
			continue
		}
		wait := placement.Wait(f.loadAt(b, now), service)
		if o.Servers == 0 || wait < o.Wait {
			o.Wait = wait
		}
		o.Servers++
		o.Places += b.Slots
		o.Free += max(b.Slots-int(f.requestsAt(b, now)+0.5), 0)
	}
	o.Service = service
	return o
}
