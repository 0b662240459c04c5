package upgrade

import (
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/berylpond/berylpond/internal/fakes/runner"
)

// deadlyRequest is a request that crashes each server that begins to run it.
type deadlyRequest struct {
	*site
	body string
	runs atomic.Int32
	sent int
}

func (s *site) makeDeadly(body string) *deadlyRequest {
	d := &deadlyRequest{site: s, body: body}
	for _, b := range s.servers {
		if b.Events > 0 {
			b.Handler = d.handler(b)
		}
	}
	return d
}

func (d *deadlyRequest) handler(b *runner.Server) func(http.ResponseWriter, *http.Request, string) bool {
	return func(w http.ResponseWriter, r *http.Request, body string) bool {
		if body != d.body {
			return false
		}
		d.runs.Add(1)
		b.Crash()
		return true
	}
}

func (d *deadlyRequest) crashes() int32 { return d.runs.Load() }

// send sends a copy to the next instance and returns the status, or zero.
func (d *deadlyRequest) send() int {
	d.sent++
	r, err := http.NewRequest(http.MethodPost, "http://"+d.slots[d.sent%len(d.slots)].ip+":18080/chat/x", strings.NewReader(d.body))
	if err != nil {
		panic(err)
	}
	r.Host = "h.example"
	r.Header.Set("Request-Id", "deadly-"+strings.Repeat("x", d.sent))
	r.Header.Set("Program-Id", "deadly")
	r.Header.Set("Api-Key", "key-a")
	r.Header.Set("Deadline-Ms", "3000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// restart restarts the servers that have crashed.
func (d *deadlyRequest) restart() {
	for _, b := range d.servers {
		// Restart fails for servers that are up, since their address is in use.
		if b.Restart() == nil {
			d.store.PutKeyed("keyed.servers", b.ID, b.Registration("ready"))
		}
	}
}
