package daemon

import (
	"context"
	"time"

	"github.com/berylpond/berylpond/internal/cell"
	"github.com/berylpond/berylpond/internal/config"
	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/platformclient"
	"github.com/berylpond/berylpond/internal/quota"
)

// shards adapts the cell's leases to the interfaces of the other packages.
type shards struct {
	cell *cell.Controller
	n    int
}

// ShardCount returns the number of shards.
func (p *shards) ShardCount() int { return p.n }

// HeldTerm returns the term of the lease if this instance holds the shard.
func (p *shards) HeldTerm(shard int) (uint64, bool) {
	g, ok := p.cell.HeldGrant(shard)
	return g.Term, ok
}

// Lease returns the lease if this instance holds the shard.
func (p *shards) Lease(shard int) (quota.Lease, bool) {
	g, ok := p.cell.HeldGrant(shard)
	return quota.Lease{Term: g.Term, PreviousTerm: g.PreviousTerm}, ok
}

// Holder returns the instance that holds the shard, as far as this instance knows.
func (p *shards) Holder(shard int) (member.Instance, bool) { return p.cell.LikelyHolder(shard) }

// configLog adapts the platform's client to package config.
type configLog struct{ c *platformclient.Client }

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
type cellLog struct{ c *platformclient.Client }

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
