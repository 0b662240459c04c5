package upgrade

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

var seed = flag.Uint64("upgrade.seed", 1, "seed of the order in which instances are replaced and of the clients' choices")

// attempt is one request of a client and what came of it.
type attempt struct {
	id, path string
	status   int
	// broken is set if there was no complete response.
	broken bool
	// input is what the backend server is to receive.
	input string
}

// clients sends requests of several kinds at random instances until it is stopped.
type clients struct {
	*site
	stop chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	attempts []attempt
	ids      int
}

func (s *site) startClients() *clients {
	c := &clients{site: s, stop: make(chan struct{})}
	for i := range 4 {
		rng := rand.New(rand.NewPCG(*seed, uint64(i)))
		c.wg.Go(func() { c.repeat(rng, func() { c.program(rng) }) })
		c.wg.Go(func() { c.repeat(rng, func() { c.send(rng, "/pay/x", "", "amount", "amount") }) })
		c.wg.Go(func() { c.repeat(rng, func() { c.send(rng, "/read/x", "", "", "") }) })
	}
	return c
}

func (c *clients) repeat(rng *rand.Rand, f func()) {
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(rng.IntN(20)) * time.Millisecond):
			f()
		}
	}
}

// end stops the clients and returns all attempts.
func (c *clients) end() []attempt {
	close(c.stop)
	c.wg.Wait()
	return c.attempts
}

// send sends one request and returns its attempt and the response's body.
func (c *clients) send(rng *rand.Rand, path, previous, body, input string) (attempt, string) {
	c.mu.Lock()
	c.ids++
	a := attempt{id: fmt.Sprint("r", c.ids), path: path, input: input}
	c.mu.Unlock()
	text := ""
	r, err := http.NewRequest(http.MethodPost, "http://"+c.slots[rng.IntN(len(c.slots))].ip+":18080"+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = "h.example"
	for name, value := range map[string]string{"Request-Id": a.id, "Api-Key": "key-a", "Deadline-Ms": "3000", "Previous-Turn": previous} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	if path == "/chat/x" {
		r.Header.Set("Program-Id", "p-"+a.id)
	}
	if resp, err := http.DefaultClient.Do(r); err != nil {
		a.broken = true
	} else {
		b, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		a.status, a.broken, text = resp.StatusCode, err != nil, string(b)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	return a, text
}

// program sends a chain of turns. A turn that fails is sent again.
func (c *clients) program(rng *rand.Rand) {
	history, previous := "", ""
	for turn := range 4 {
		input := fmt.Sprint("turn ", turn, "\n")
		for try := 0; ; try++ {
			a, text := c.send(rng, "/chat/x", previous, input, history+input)
			if a.status == http.StatusOK && !a.broken {
				history, previous = history+input+eventData(text), a.id
				break
			}
			if try == 10 || a.status == http.StatusNotFound {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// eventData returns the data of the events of a stream, each followed by a line feed.
func eventData(stream string) string {
	var out strings.Builder
	for line := range strings.Lines(stream) {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			out.WriteString(data)
		}
	}
	return out.String()
}

// check checks the attempts against what the backend servers executed. planned means that every instance ended as planned, so
// that nothing that ran may be cut off.
func (c *clients) check(attempts []attempt, planned bool) {
	c.t.Helper()
	executions := c.executions()
	served, failed := 0, 0
	for _, a := range attempts {
		ran := executions[a.id]
		if a.status == http.StatusOK && !a.broken {
			served++
		} else {
			failed++
		}
		switch {
		case a.path != "/read/x" && len(ran) > 1:
			c.t.Errorf("%s %s ran %d times", a.path, a.id, len(ran))
		case a.status == http.StatusNotFound:
			c.t.Errorf("%s %s was answered 404", a.path, a.id)
		case (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) && len(ran) > 0:
			c.t.Errorf("%s %s was refused and has run", a.path, a.id)
		case a.status == http.StatusOK && !a.broken && len(ran) == 0:
			c.t.Errorf("%s %s was served and has not run", a.path, a.id)
		case planned && a.broken && len(ran) > 0:
			c.t.Errorf("%s %s was cut off", a.path, a.id)
		}
		for _, e := range ran {
			if e.Body != a.input {
				c.t.Errorf("%s %s: the server received %q, not %q", a.path, a.id, e.Body, a.input)
			}
		}
	}
	c.t.Logf("seed %d: %d attempts served, %d not", *seed, served, failed)
	if served < 9*failed {
		c.t.Errorf("%d attempts were served, %d were not", served, failed)
	}
}

// An operator replaces the instances of the build in production one after the other, goes back with half of them midway, and
// goes on.
func TestInstancesOfTwoBuildsServeSideBySide(t *testing.T) {
	production, current := builds(t)
	s := newSite(t, 4)
	for _, l := range s.slots {
		s.start(l, production)
	}
	c := s.startClients()
	order := rand.New(rand.NewPCG(*seed, 99)).Perm(len(s.slots))
	for _, i := range order[:3] {
		s.replace(s.slots[i], current)
	}
	for _, i := range order[:2] {
		s.replace(s.slots[i], production)
	}
	for _, i := range order {
		s.replace(s.slots[i], current)
	}
	c.check(c.end(), true)
}

// The same with instances that are killed, while a request crashes servers. No instance sends it on once it has crashed three
// and all instances are of this build.
func TestRequestThatCrashesServersDuringAnUpgrade(t *testing.T) {
	is := is.New(t)
	production, current := builds(t)
	s := newSite(t, 3)
	deadly := s.makeDeadly("deadly")
	for _, l := range s.slots {
		s.start(l, production)
	}
	c := s.startClients()
	rng := rand.New(rand.NewPCG(*seed, 99))
	order := rng.Perm(len(s.slots))
	for _, i := range order {
		s.kill(s.slots[i], current)
		before := deadly.crashes()
		for try := 0; deadly.crashes() < before+2 && try < 10; try++ {
			deadly.send()
			time.Sleep(100 * time.Millisecond)
		}
		deadly.restart()
	}
	for try := 0; try < 4; try++ { // the crashes that a holder of the former build was not told of
		deadly.send()
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	deadly.restart()
	before := deadly.crashes()
	for range 12 {
		is.Equal(deadly.send(), http.StatusServiceUnavailable)
	}
	is.Equal(deadly.crashes(), before)
	c.check(c.end(), false)
}
