package instance

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/peer"
)

// Guards against turns that run although their history can't be sent to the owner that has to record them.
func TestTurnWithAHistoryOverAMessageIsRefusedBeforeItRuns(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.llm.Events, s.llm.EventInterval = 1, 0
	s.store.PutKeyed("keyed.op", "config", []byte(strings.Replace(fmt.Sprintf(configuration, 2, 1000, 1000), `"bodyBytes":100000`, `"bodyBytes":4194304`, 1)))
	one, two := s.start(), s.start()
	s.eventually("two owners", func() bool { return s.owners() == 2 })
	input, previous := strings.Repeat("i", 3<<20), ""
	status, last := http.StatusOK, 0
	for i := 0; status == http.StatusOK && i*len(input) < peer.MaxMessageBytes; i++ {
		a := s.turn(one, call{id: fmt.Sprint("t", i), path: "/chat/x", body: input, program: "p", previous: previous})
		if status = a.status; status == http.StatusOK {
			previous, last = fmt.Sprint("t", i), i
		}
	}
	is.Equal(status, http.StatusRequestEntityTooLarge)
	is.True((last+1)*len(input) > peer.MaxMessageBytes/2)
	ran := len(s.llm.Executions())
	for i, n := range []*node{one, two} {
		a := s.do(n, call{id: fmt.Sprint("other", i), path: "/chat/x", body: input, program: "q", previous: previous})
		is.Equal(a.status, http.StatusRequestEntityTooLarge)
	}
	is.Equal(len(s.llm.Executions()), ran)
}
