package daemon

import (
	"context"
	"time"

	"github.com/berylpond/berylpond/internal/cell"
	"github.com/berylpond/berylpond/internal/config"
	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/platform"
	"github.com/berylpond/berylpond/internal/quota"
)

// parts shows the cell's leases in the forms that the other packages ask for.
type parts struct {
	cell *cell.Controller
	n    int
}

// Parts returns the number of parts.
func (p *parts) Parts() int { return p.n }

// Holds reports the term under which this instance holds the part.
func (p *parts) Holds(part int) (uint64, bool) {
	g, ok := p.cell.Holds(part)
	return g.Term, ok
}

// Lease reports the lease by which this instance holds the part.
func (p *parts) Lease(part int) (quota.Lease, bool) {
	g, ok := p.cell.Holds(part)
	return quota.Lease{Term: g.Term, Previous: g.Previous}, ok
}

// Holder returns the instance that is believed to hold the part.
func (p *parts) Holder(part int) (member.Instance, bool) { return p.cell.Holder(part) }

// configLog adapts the platform's client to package config.
type configLog struct{ c *platform.Client }

// Append implements config.Log.
func (l configLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	return l.c.Append(ctx, stream, records)
}

// Read implements config.Log.
func (l configLog) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (config.Page, error) {
	page, err := l.c.Read(ctx, stream, from, max, wait)
	if err != nil {
		return config.Page{}, err
	}
	out := config.Page{First: page.First, End: page.End, Records: make([]config.Record, len(page.Records))}
	for i, r := range page.Records {
		out.Records[i] = config.Record{Offset: r.Offset, Data: r.Data}
	}
	return out, nil
}

// cellLog adapts the platform's client to package cell.
type cellLog struct{ c *platform.Client }

// Append implements cell.Log.
func (l cellLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	return l.c.Append(ctx, stream, records)
}

// Read implements cell.Log.
func (l cellLog) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (first, end int64, recs []cell.Record, err error) {
	page, err := l.c.Read(ctx, stream, from, max, wait)
	if err != nil {
		return 0, 0, nil, err
	}
	for _, r := range page.Records {
		recs = append(recs, cell.Record{Offset: r.Offset, Data: r.Data})
	}
	return page.First, page.End, recs, nil
}
