package turnlog

import (
	"context"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/platform"
)

const (
	// readBytes is the maximum size of one read during a takeover.
	readBytes = 1 << 20
)

// acquire replays the partition and appends a record that starts this ownership.
func (p *partition) acquire(ctx context.Context) error {
	start := p.now()
	s := p.newState()
	var fragments assembler
	var offset int64
	var records, bytes int
	for {
		page, err := p.read(ctx, offset)
		var trimmed *platform.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			offset = trimmed.First
			continue
		case err != nil:
			return err
		}
		for _, b := range page.Records {
			bytes += len(b)
			if r := p.decode(b, offset); r != nil {
				if whole := fragments.add(r); whole != nil {
					s.apply(whole)
				}
			}
			offset++
			records++
		}
		if offset < page.End {
			continue
		}
		acquired := &turnv1.Record{Change: &turnv1.Record_Acquired{Acquired: &turnv1.Acquired{}}}
		end, err := p.append(ctx, offset, []*turnv1.Record{acquired})
		if errors.Is(err, errNotOwner) {
			continue
		}
		if err != nil {
			return err
		}
		offset = end
		break
	}
	s.recoverCharges()
	s.expire(p.now(), expirySlack)
	programs, turns := len(s.programs), len(s.turns)
	p.mu.Lock()
	p.state, p.end, p.owned = s, offset, true
	p.countKept(s.bytes)
	p.mu.Unlock()
	p.metrics.takeovers.Observe(p.now().Sub(start).Seconds())
	klog.InfoS("partition acquired", "partition", p.number, "end", offset, "records", records, "bytes", bytes,
		"programs", programs, "turns", turns, "took_ms", p.now().Sub(start).Milliseconds())
	return nil
}
