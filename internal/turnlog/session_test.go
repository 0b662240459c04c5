package turnlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

func TestProgramRemembersTheServerOfEachSession(t *testing.T) {
	is := is.New(t)
	s := newState(time.Hour)
	now := time.Now()
	p := programKey{id: "p"}
	s.remember(programKey{id: "unknown"}, "a", "s-1")
	is.Equal(s.backendOf(programKey{id: "unknown"}, "a"), "")
	s.admit(&turnv1.BeginRequest{Program: "p", Turn: "t1", Budget: -1, Most: 10, KeepMs: 1000}, now)
	is.Equal(s.backendOf(p, "a"), "")
	s.remember(p, "a", "s-1")
	s.remember(p, "b", "s-2")
	s.remember(p, "b", "")
	is.Equal(s.backendOf(p, "a"), "s-1")
	is.Equal(s.backendOf(p, "b"), "s-2")
	// A sub-agent's prompt begins like that of the program's last turn.
	is.Equal(s.backendOf(p, "child"), "s-2")
	is.Equal(s.backendOf(p, ""), "")
	for i := range 10 * maxSessions {
		s.remember(p, fmt.Sprint(i), "s-3")
	}
	is.Equal(len(s.programs[p].sessions), maxSessions)
	is.Equal(s.backendOf(p, "a"), "s-1")
	s.expire(now.Add(time.Hour), 0)
	is.Equal(s.backendOf(p, "a"), "")
}
