package turnlog

import (
	"context"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/platform"
)

const (
	// readBytes is the size of one read at a take-over.
	readBytes = 1 << 20
)

// acquire reads the partition and marks its end as the start of this ownership.
func (p *partition) acquire(ctx context.Context) error {
	start := p.now()
	s := newState(inlineAfter)
	var at int64
	var records, bytes int
	for {
		page, err := p.read(ctx, at)
		var trimmed *platform.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			at = trimmed.First
			continue
		case err != nil:
			return err
		}
		for _, b := range page.Records {
			bytes += len(b)
			if r := p.decode(b, at); r != nil {
				s.apply(r)
			}
			at++
			records++
		}
		if at < page.End {
			continue
		}
		mark := p.stamp(&turnv1.Record{Change: &turnv1.Record_Acquired{Acquired: &turnv1.Acquired{}}})
		end, err := p.append(ctx, at, [][]byte{mark}, p.sequence)
		if errors.Is(err, errNotOwner) {
			continue
		}
		if err != nil {
			return err
		}
		at = end
		break
	}
	s.adopt()
	s.expire(p.now(), expirySlack)
	programs, turns := len(s.programs), len(s.turns)
	p.mu.Lock()
	p.state, p.end, p.owned = s, at, true
	p.mu.Unlock()
	p.metrics.takeovers.Observe(p.now().Sub(start).Seconds())
	klog.InfoS("partition acquired", "partition", p.number, "end", at, "records", records, "bytes", bytes,
		"programs", programs, "turns", turns, "took_ms", p.now().Sub(start).Milliseconds())
	return nil
}
