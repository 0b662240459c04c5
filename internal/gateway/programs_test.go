package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The estimate must not grow with a congestion, in which every program takes longer than it needs.
func TestProgramTimeIsThatOfQuickPrograms(t *testing.T) {
	is := is.New(t)
	m := newProgramMemory()
	now := time.Unix(1_000_000, 0)
	run := func(name string, took time.Duration) {
		k := programKey{"a", name}
		m.served(k, "chat", true, now, now.Add(took/2))
		m.served(k, "chat", false, now.Add(took/2), now.Add(took))
		now = now.Add(took + 2*programIdle)
	}
	for i := range 20 {
		run(fmt.Sprint("quick", i), time.Second)
	}
	for i := range 10 {
		run(fmt.Sprint("late", i), 3*time.Second)
	}
	run("last", time.Second)
	_, took := m.lookUp(programKey{"a", "other"}, "chat")
	is.True(took >= time.Second && took <= 3*time.Second/2)
	_, took = m.lookUp(programKey{"a", "other"}, "unknown route")
	is.Equal(took, time.Duration(0))
}

func TestProgramsThatWereRefusedAreRemembered(t *testing.T) {
	is := is.New(t)
	m := newProgramMemory()
	now := time.Unix(1_000_000, 0)
	m.refused(programKey{"a", "p"}, now)
	m.refused(programKey{"a", ""}, now)
	m.served(programKey{"a", "q"}, "chat", false, now, now.Add(programIdle/2)) // forgets the programs that have ended
	refused, _ := m.lookUp(programKey{"a", "p"}, "chat")
	is.True(refused)
	refused, _ = m.lookUp(programKey{"b", "p"}, "chat") // of another account
	is.True(!refused)
	for i := range 2 * maxPrograms {
		m.refused(programKey{"a", fmt.Sprint(i)}, now)
	}
	is.Equal(m.programs.Len(), maxPrograms)
}

// The first turn of a program came to another instance, so the time that it took is not known here.
func TestProgramSeenInPartTeachesNothing(t *testing.T) {
	is := is.New(t)
	m := newProgramMemory()
	now := time.Unix(1_000_000, 0)
	m.served(programKey{"a", "p"}, "chat", false, now, now.Add(time.Second))
	m.served(programKey{"a", "q"}, "chat", false, now.Add(time.Minute), now.Add(time.Minute))
	is.Equal(len(m.took), 0)
	is.Equal(m.programs.Len(), 1)
}
