package journal

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/berylpond/berylpond/internal/platform"
	"github.com/berylpond/berylpond/internal/verdict"
)

// appendFault is what memLog does with one append.
type appendFault int

const (
	appendOK appendFault = iota
	// appendOutage refuses without effect.
	appendOutage
	// appendLost takes effect and loses the answer.
	appendLost
	// appendNoEffect loses the request.
	appendNoEffect
	// appendTwice takes effect twice.
	appendTwice
	// appendLate takes effect after two further appends and loses the answer.
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

// memLog is a stream in memory with faults from a plan. After the plan it works. It keeps history past expiry for the
// checks of the test.
type memLog struct {
	plan      []appendFault
	readFails []bool
	// keep is the number of records that do not expire; 0 is all.
	keep int

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
	lost := verdict.Fail(http.StatusGatewayTimeout, verdict.ReasonPlatformAway, "lost")
	if ctx.Err() != nil {
		return 0, lost
	}
	l.landLate()
	switch f {
	case appendOutage:
		return 0, verdict.Refuse(http.StatusServiceUnavailable, verdict.ReasonPlatformAway, memRetryTime, "outage")
	case appendLost:
		l.land(records)
		return 0, lost
	case appendNoEffect:
		return 0, lost
	case appendTwice:
		first := l.land(records)
		l.land(records)
		return first, nil
	case appendLate:
		l.late = append(l.late, lateAppend{due: l.appends + lateAppends, records: records})
		return 0, lost
	}
	return l.land(records), nil
}

// landLate takes what is due; l.mu is held.
func (l *memLog) landLate() {
	for len(l.late) > 0 && l.late[0].due <= l.appends {
		l.land(l.late[0].records)
		l.late = l.late[1:]
	}
}

// land appends; l.mu is held.
func (l *memLog) land(records [][]byte) int64 {
	first := int64(len(l.history))
	l.history = append(l.history, records...)
	if l.keep > 0 {
		l.first = max(l.first, int64(len(l.history)-l.keep))
	}
	return first
}

func (l *memLog) Read(ctx context.Context, _ string, from int64, limit int, wait time.Duration) (platform.Page, error) {
	deadline := time.Now().Add(wait)
	for {
		time.Sleep(memPoll)
		page, err := l.page(from, limit)
		if err != nil || len(page.Records) > 0 || !time.Now().Before(deadline) || ctx.Err() != nil {
			return page, err
		}
	}
}

func (l *memLog) page(from int64, limit int) (platform.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.reads <= len(l.readFails) && l.readFails[l.reads-1] {
		return platform.Page{}, verdict.Fail(http.StatusBadGateway, verdict.ReasonPlatformAway, "read lost")
	}
	page := platform.Page{First: l.first, End: int64(len(l.history))}
	for o := max(from, l.first); o < page.End && len(page.Records) < limit; o++ {
		page.Records = append(page.Records, platform.Record{Offset: o, Data: l.history[o]})
	}
	return page, nil
}

func (l *memLog) end() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(len(l.history))
}
