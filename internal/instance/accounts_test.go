package instance

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against an account that gets 404 or another account's history since both number their programs in the same way: while both
// are served, and at the instance that takes the partitions over.
func TestAccountsNumberTheirProgramsInTheSameWay(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	one := s.start()
	turn := func(n *node, key, id, previous string) {
		a := s.turn(n, call{id: id, path: "/chat/x", key: key, body: id, program: "1", previous: previous, budget: 900})
		is.Equal(a.status, 200)
		is.True(!a.broken)
	}
	turn(one, "key-a", "a1", "")
	turn(one, "key-b", "b1", "")
	turn(one, "key-a", "a2", "a1")
	turn(one, "key-b", "b2", "b1")
	one.stop()
	<-one.done
	two := s.start()
	turn(two, "key-a", "a3", "a2")
	turn(two, "key-b", "b3", "b2")
	received := map[string]string{}
	for _, e := range s.llm.Executions() {
		received[e.ID] = e.Body
	}
	is.Equal(received["b3"], "b1llm-1/2.1\nllm-1/2.2\nllm-1/2.3\nb2llm-1/4.1\nllm-1/4.2\nllm-1/4.3\nb3")
	is.Equal(received["a3"], "a1llm-1/1.1\nllm-1/1.2\nllm-1/1.3\na2llm-1/3.1\nllm-1/3.2\nllm-1/3.3\na3")
}
