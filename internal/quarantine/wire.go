package quarantine

import (
	"time"

	"google.golang.org/protobuf/proto"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

func millisecondsSince(t, now time.Time) int64 { return now.Sub(t).Milliseconds() }

func encode(f Fingerprint, r *record, now time.Time) *turnv1.CrashSuspect {
	m := &turnv1.CrashSuspect{Fingerprint: f[:], Stored: r.stored}
	if r.prefix != (Fingerprint{}) {
		m.Prefix = r.prefix[:]
	}
	if r.quarantined(now) {
		m.QuarantineMs = r.until.Sub(now).Milliseconds()
	}
	if !r.completed.IsZero() {
		m.CompletedMsAgo = proto.Int64(millisecondsSince(r.completed, now))
	}
	for s, c := range r.crashes {
		m.Crashes = append(m.Crashes, &turnv1.ServerCrash{
			Id: s.ID, Incarnation: s.Incarnation, MsAgo: millisecondsSince(c.at, now), SentMsAgo: millisecondsSince(c.sent, now),
		})
	}
	return m
}

// decode returns false if the message has no valid fingerprint.
func decode(m *turnv1.CrashSuspect, now time.Time) (Fingerprint, record, bool) {
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	var f Fingerprint
	if copy(f[:], m.Fingerprint) != len(f) {
		return f, record{}, false
	}
	r := record{crashes: map[Server]crash{}, stored: m.Stored}
	copy(r.prefix[:], m.Prefix)
	if m.QuarantineMs > 0 {
		r.until = ago(-m.QuarantineMs)
	}
	if m.CompletedMsAgo != nil {
		r.completed = ago(*m.CompletedMsAgo)
	}
	for _, c := range m.Crashes {
		r.crashes[Server{ID: c.Id, Incarnation: c.Incarnation}] = crash{sent: ago(c.SentMsAgo), at: ago(c.MsAgo)}
	}
	return f, r, true
}
