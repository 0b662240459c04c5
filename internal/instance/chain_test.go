package instance

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/turnlog"
)

// programsOfAllPartitions returns a program of each of the store's partitions.
func programsOfAllPartitions(n int) []string {
	programs := make([]string, n)
	for i, missing := 0, n; missing > 0; i++ {
		id := fmt.Sprint("program-", i)
		if p := turnlog.PartitionOf(id, n); programs[p] == "" {
			programs[p] = id
			missing--
		}
	}
	return programs
}

// Guards against a turn that loses the history before it when the owner of its program stops while it runs, after the program's
// retention has passed: nothing in the log says that the program is still in use.
func TestTurnKeepsItsHistoryWhenItsOwnerStopsMeanwhile(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	short := strings.NewReplacer(`"timeoutMs":4000`, `"timeoutMs":12000`, `"retainS":60`, `"retainS":1`).Replace(configuration)
	s.store.PutKeyed("keyed.op", "config", fmt.Appendf(nil, short, 2, 1000, 1000))
	stopped, runs, other := s.start(), s.start(), s.start()
	s.eventually("two instances own partitions", func() bool {
		return len(stopped.owner.OwnedPartitions()) == 2 && len(runs.owner.OwnedPartitions()) == 2
	})
	slow := streamHandler(repeat("data: x\n\n", 5), 1600*time.Millisecond, false)
	var mu sync.Mutex
	received := map[string]string{}
	s.llm.Handler = func(w http.ResponseWriter, r *http.Request, body string) bool {
		mu.Lock()
		received[r.Header.Get("Request-Id")] = body
		mu.Unlock()
		return strings.HasSuffix(body, "in2") && slow(w, r, body)
	}
	programs := programsOfAllPartitions(4)
	turn := func(n *node, program, number, previous string) {
		a := s.turn(n, call{
			id: program + number, path: "/chat/x", body: "in" + number, program: program, previous: previous, budget: 900, deadlineMs: "12000",
		})
		is.Equal(a.status, 200)
		is.True(!a.broken)
	}
	var wg sync.WaitGroup
	for _, p := range programs {
		turn(other, p, "1", "")
		wg.Go(func() { turn(runs, p, "2", p+"1") })
	}
	// The retention and the slack for clocks that differ.
	time.Sleep(6500 * time.Millisecond)
	stopped.stop()
	wg.Wait()
	for _, p := range programs {
		turn(other, p, "3", p+"2")
	}
	for _, p := range programs {
		is.Equal(received[p+"3"], received[p+"2"]+strings.Repeat("x\n", 5)+"in3")
	}
}
