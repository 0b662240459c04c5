package instance

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against turns whose ids can't be recorded or sent to other instances: they ran, and were lost with their owner.
func TestIDsThatCannotBeRecordedAreRefused(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	n := s.start()
	is.Equal(s.turn(n, call{id: "t1", path: "/chat/x", program: "p", budget: 900}).status, 200)
	is.Equal(s.turn(n, call{id: "t\xff", path: "/chat/x", program: "p", budget: 900}).status, 400)
	is.Equal(s.turn(n, call{id: "t2", path: "/chat/x", program: "p\xff", budget: 900}).status, 400)
	is.Equal(s.turn(n, call{id: "t3", path: "/chat/x", program: "p", previous: "t1\xff", budget: 900}).status, 400)
	is.Equal(len(s.llm.Executions()), 1)
}
