package journal

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/berylpond/berylpond/internal/platformclient"
	"github.com/berylpond/berylpond/internal/verdict"
)

// appendFault is the fault that memLog injects into one append.
type appendFault int

const (
	appendOK appendFault = iota
	// appendOutage refuses the append; it has no effect.
	appendOutage
	// appendLost takes effect, but the response is lost.
	appendLost
	// appendNoEffect has no effect, since the request is lost; the caller sees the same error as for appendLost.
	appendNoEffect
	// appendTwice stores the records twice.
	appendTwice
	// appendLate takes effect only after two further appends, and the response is lost.
	appendLate
	appendFaults
)

const (
	memLatency   = time.Millisecond
	memPoll      = time.Millisecond
	lateAppends  = 2
	memRetryTime = 5 * time.Millisecond
)

type lateAppend struct {
	due     int
	records [][]byte
}

// memLog is an in-memory stream that injects the faults of a plan and works without faults after the plan. It retains
// expired records in history for the checks of the tests.
type memLog struct {
	plan      []appendFault
	readFails []bool
	// retain is the number of newest records that don't expire; 0 means that none expire.
	retain int

	mu      sync.Mutex
	history [][]byte
	first   int64
	appends int
	reads   int
	late    []lateAppend
}

func (l *memLog) Append(ctx context.Context, _ string, records [][]byte) (int64, error) {
	time.Sleep(memLatency)
	l.mu.Lock()
	defer l.mu.Unlock()
	f := appendOK
	if l.appends < len(l.plan) {
		f = l.plan[l.appends]
	}
	l.appends++
	lost := verdict.Fail(http.StatusGatewayTimeout, verdict.ReasonPlatformUnavailable, "lost")
	if ctx.Err() != nil {
		return 0, lost
	}
	l.storeLate()
	switch f {
	case appendOutage:
		return 0, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonPlatformUnavailable, memRetryTime, "outage")
	case appendLost:
		l.store(records)
		return 0, lost
	case appendNoEffect:
		return 0, lost
	case appendTwice:
		first := l.store(records)
		l.store(records)
		return first, nil
	case appendLate:
		l.late = append(l.late, lateAppend{due: l.appends + lateAppends, records: records})
		return 0, lost
	}
	return l.store(records), nil
}

// storeLate stores the late appends that are due. l.mu must be held.
func (l *memLog) storeLate() {
	for len(l.late) > 0 && l.late[0].due <= l.appends {
		l.store(l.late[0].records)
		l.late = l.late[1:]
	}
}

// store appends records and expires old ones. l.mu must be held.
func (l *memLog) store(records [][]byte) int64 {
	first := int64(len(l.history))
	l.history = append(l.history, records...)
	if l.retain > 0 {
		l.first = max(l.first, int64(len(l.history)-l.retain))
	}
	return first
}

func (l *memLog) Read(ctx context.Context, _ string, from int64, limit int, wait time.Duration) (platformclient.Page,
	error) {
	deadline := time.Now().Add(wait)
	for {
		time.Sleep(memPoll)
		page, err := l.page(from, limit)
		if err != nil || len(page.Records) > 0 || !time.Now().Before(deadline) || ctx.Err() != nil {
			return page, err
		}
	}
}

func (l *memLog) page(from int64, limit int) (platformclient.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.reads <= len(l.readFails) && l.readFails[l.reads-1] {
		return platformclient.Page{}, verdict.Fail(http.StatusBadGateway, verdict.ReasonPlatformUnavailable, "read lost")
	}
	page := platformclient.Page{First: l.first, End: int64(len(l.history))}
	for o := max(from, l.first); o < page.End && len(page.Records) < limit; o++ {
		page.Records = append(page.Records, platformclient.Record{Offset: o, Data: l.history[o]})
	}
	return page, nil
}

func (l *memLog) end() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.history))
}
