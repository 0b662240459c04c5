package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/backendlimit"
	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/ratelimit"
)

// newSendingExchange returns a request that may be sent, and the fleet with one server of the service "s".
func newSendingExchange(now *time.Time, limit fleet.ColdLimit, cold fleet.ColdReport) (*exchange, *fleet.Fleet) {
	f := fleet.New("a", time.Second)
	f.SetColdLimit(func(string) fleet.ColdLimit { return limit })
	f.MarkLoaded()
	f.Upsert(fleet.Entry{ID: "x", Service: "s", DataCentre: "a", Slots: 4, Cold: cold})
	g := &Gateway{fleet: f, now: func() time.Time { return *now }, viewUsable: func() bool { return true }}
	return &exchange{Gateway: g}, f
}

var (
	permitAll = fleet.Criteria{Service: "s", Permit: func(backendlimit.Server, backendlimit.Limit) bool { return true }}
	limited   = fleet.ColdLimit{Limited: true, RequestsPerSecond: 20, Burst: 2, Period: time.Minute, Instances: 1}
)

func TestColdServerGetsNoRequestLongAfterItsToken(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	x, f := newSendingExchange(&now, limited, fleet.ColdReport{Known: true, Left: time.Minute})
	b, given := f.Acquire(permitAll), now
	now = now.Add(ratelimit.ColdSendDelay)
	is.NoErr(x.maySend(b, given))
	now = now.Add(time.Millisecond)
	is.True(x.maySend(b, given) != nil)
}

func TestServerThatTurnsColdGetsNoRequestWithoutAToken(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	x, f := newSendingExchange(&now, limited, fleet.ColdReport{Known: true})
	b := f.Acquire(permitAll)
	is.NoErr(x.maySend(b, now))
	f.Upsert(fleet.Entry{ID: "x", Service: "s", DataCentre: "a", Slots: 4, Cold: fleet.ColdReport{Known: true, Left: time.Minute}})
	is.True(x.maySend(b, now) != nil)
}

func TestServersOfServicesWithoutAColdRateAreSentLateRequests(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	x, f := newSendingExchange(&now, fleet.ColdLimit{}, fleet.ColdReport{Known: true, Left: time.Minute})
	b, given := f.Acquire(permitAll), now
	now = now.Add(time.Second)
	is.NoErr(x.maySend(b, given))
}
