package claim

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const window = 10 * time.Minute

var epoch = time.UnixMilli(1_700_000_000_000)

func newReadyVoter(now time.Time) *Voter {
	v := NewVoter(now, window, 0)
	v.EndAbstention(now)
	return v
}

func TestVoter(t *testing.T) {
	is := is.New(t)
	v := NewVoter(epoch, window, time.Second)
	one, two := Executor{Slot: 1, Incarnation: 1, Attempt: 1}, Executor{Slot: 1, Incarnation: 1, Attempt: 2}
	is.Equal(v.Vote(epoch, "a", epoch, one).Result, Abstaining)
	is.True(!v.EndAbstention(epoch)) // the log was read before the minimum abstention ended
	is.True(v.EndAbstention(epoch.Add(time.Second)))
	is.Equal(v.Vote(epoch, "a", epoch, one).Result, Granted)
	is.Equal(v.Vote(epoch, "a", epoch, one).Result, Granted) // a duplicate message
	is.Equal(v.Vote(epoch, "a", epoch, two), Response{Result: Taken, Executor: one})
	v.Withdraw(epoch, "a", epoch, one)
	is.Equal(v.Vote(epoch, "a", epoch, one).Result, Taken) // a vote request that arrives after its withdrawal
	is.Equal(v.Vote(epoch, "a", epoch, two).Result, Granted)
	v.Withdraw(epoch, "a", epoch, one) // a delayed withdrawal of attempt 1
	is.Equal(v.Vote(epoch, "a", epoch, one).Result, Taken)
	is.True(v.RecordOutcome(epoch, "a", epoch, two, []byte("ref")))
	is.Equal(string(v.Vote(epoch, "a", epoch, one).Outcome), "ref")
	v.Withdraw(epoch, "a", epoch, two)
	is.Equal(v.Vote(epoch, "a", epoch, one).Result, Settled)
	is.True(!v.RecordOutcome(epoch, "a", epoch, one, nil)) // two executors settled one id
	is.Equal(v.Vote(epoch.Add(window), "old", epoch, one).Result, Unknown)
}

func TestSweepKeepsClaimsThatAreNotDurable(t *testing.T) {
	is := is.New(t)
	v := newReadyVoter(epoch)
	ex := Executor{Slot: 1, Incarnation: 1, Attempt: 1}
	v.Vote(epoch, "kept", epoch, ex)
	v.Vote(epoch, "dropped", epoch, ex)
	v.MarkDurable("dropped", ex)
	v.Sweep(epoch.Add(window - time.Second))
	is.Equal(v.Len(), 2)
	v.Sweep(epoch.Add(window + window/sweepsPerWindow))
	is.Equal(v.Len(), 1)
	is.Equal(v.Vote(epoch.Add(2*window), "dropped", epoch, ex).Result, Unknown) // never granted again
}

func TestVoterWithFullTableAbstains(t *testing.T) {
	is := is.New(t)
	v := newReadyVoter(epoch)
	v.limit = 1
	is.Equal(v.Vote(epoch, "a", epoch, Executor{Attempt: 1}).Result, Granted)
	is.Equal(v.Vote(epoch, "b", epoch, Executor{Attempt: 2}).Result, Abstaining)
	v.Withdraw(epoch, "c", epoch, Executor{Attempt: 3})
	is.Equal(v.Len(), 1)
}

func TestExportAndImport(t *testing.T) {
	is := is.New(t)
	old := newReadyVoter(epoch)
	ex, other := Executor{Slot: 1, Incarnation: 1, Attempt: 1}, Executor{Slot: 2, Incarnation: 1, Attempt: 1}
	old.Vote(epoch, "a", epoch, ex)
	table, ok := old.Export(epoch)
	is.True(ok)
	is.Equal(old.Vote(epoch, "b", epoch, ex).Result, Abstaining) // the voter has stopped
	successor := NewVoter(epoch, window, time.Second)
	successor.Import(epoch, table)
	is.Equal(successor.Vote(epoch, "a", epoch, other).Result, Taken)
	is.Equal(successor.Vote(epoch, "b", epoch, other).Result, Granted)
	_, ok = NewVoter(epoch, window, 0).Export(epoch)
	is.True(!ok) // the table of an abstaining voter is incomplete
}

func TestTally(t *testing.T) {
	other, third := Executor{Slot: 2, Attempt: 9}, Executor{Slot: 3, Attempt: 9}
	granted, taken := Response{Result: Granted}, Response{Result: Taken, Executor: other}
	tests := []struct {
		name      string
		voters    int
		responses []Response
		want      Decision
	}{
		{"majority", 3, []Response{granted, granted}, Won},
		{"no response", 3, []Response{granted}, NoMajority},
		{"other may have won", 3, []Response{granted, taken}, Duplicate},
		{"other can't have won", 5, []Response{granted, granted, taken, {Result: Taken, Executor: third}}, NoMajority},
		{"settled", 3, []Response{{Result: Settled}, granted}, Duplicate},
		{"too old", 3, []Response{{Result: Unknown}, granted}, Expired},
		{"even cell", 2, []Response{granted}, NoMajority},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			tally := NewTally(tc.voters)
			for _, r := range tc.responses {
				tally.Add(r)
			}
			got, _ := tally.Decide()
			is.New(t).Equal(got, tc.want)
		})
	}
}

// attempt is one executor's attempt in the simulated cell.
type attempt struct {
	ex      Executor
	id      string
	issued  time.Time
	tally   *Tally
	counted map[int]bool
	done    bool
}

// message is a request to a voter, or a voter's response to an attempt.
type message struct {
	a        *attempt
	voter    int
	withdraw bool
	response *Response
}

// reader is the log reader of one slot.
type reader struct {
	witness *LogWitness
	next    int
}

// cluster simulates the voters and attempts of a cell with loss, duplication and reordering of messages, and restarts.
type cluster struct {
	t        *rapid.T
	rnd      *rand.Rand
	now      time.Time
	voters   []*Voter
	attempts []*attempt
	messages []message
	witness  bool
	log      []message
	readers  []*reader
	winners  map[string]Executor
	won      int
}

func (c *cluster) send(m message) {
	for range 1 + c.rnd.IntN(5)/4 {
		if c.rnd.IntN(10) > 0 {
			c.messages = append(c.messages, m)
		}
	}
}

func (c *cluster) size() int {
	if c.witness {
		return len(c.voters) + 1
	}
	return len(c.voters)
}

func (c *cluster) begin() {
	a := &attempt{
		ex: Executor{Slot: c.rnd.IntN(len(c.voters)), Incarnation: 1, Attempt: uint64(len(c.attempts) + 1)},
		id: fmt.Sprint(c.now.Unix()/1000*10 + int64(c.rnd.IntN(3))), issued: c.now.Truncate(1000 * time.Second),
		tally: NewTally(c.size()), counted: map[int]bool{},
	}
	c.attempts = append(c.attempts, a)
	for v := range c.voters {
		c.send(message{a: a, voter: v})
	}
	if _, known := c.readers[a.ex.Slot].witness.Lookup(c.now, a.id, a.issued); c.witness && !known {
		c.send(message{a: a, voter: len(c.voters)})
	}
}

// read applies the next records at one slot, which evaluates its own votes.
func (c *cluster) read(slot int) {
	r := c.readers[slot]
	for ; r.next < len(c.log) && c.rnd.IntN(4) > 0; r.next++ {
		m := c.log[r.next]
		if m.withdraw {
			r.witness.Withdraw(m.a.id, m.a.ex)
			continue
		}
		response := r.witness.Vote(c.now, m.a.id, m.a.issued, m.a.ex)
		if m.a.ex.Slot == slot {
			c.deliver(message{a: m.a, voter: m.voter, response: &response})
		}
	}
	r.witness.Sweep(c.now)
}

// finish ends an attempt that has not won and withdraws it at every voter.
func (c *cluster) finish(a *attempt) {
	a.done = true
	for v := range c.voters {
		c.send(message{a: a, voter: v, withdraw: true})
	}
	if c.witness {
		c.send(message{a: a, voter: len(c.voters), withdraw: true})
	}
}

func (c *cluster) deliver(m message) {
	a := m.a
	switch {
	case m.response != nil:
		if a.done || a.counted[m.voter] {
			return
		}
		a.counted[m.voter] = true
		a.tally.Add(*m.response)
		if a.tally.Won() {
			c.win(a)
		}
	case m.voter == len(c.voters):
		c.log = append(c.log, m)
	case m.withdraw:
		c.voters[m.voter].Withdraw(c.now, a.id, a.issued, a.ex)
	default:
		response := c.voters[m.voter].Vote(c.now, a.id, a.issued, a.ex)
		c.send(message{a: a, voter: m.voter, response: &response})
	}
}

func (c *cluster) win(a *attempt) {
	a.done = true
	c.won++
	if w, ok := c.winners[a.id]; ok {
		c.t.Fatalf("id %s has two executors: %+v and %+v", a.id, w, a.ex)
	}
	c.winners[a.id] = a.ex
}

// restart replaces a voter by a new incarnation, with or without the table of its predecessor.
func (c *cluster) restart(v int) {
	successor := NewVoter(c.now, window, 0)
	if table, ok := c.voters[v].Export(c.now); ok && c.rnd.IntN(2) == 0 {
		successor.Import(c.now, table)
	}
	c.voters[v] = successor
	for _, a := range c.attempts {
		a.done = a.done || a.ex.Slot == v // the restart ends the attempts of this slot
	}
	c.readers[v] = &reader{witness: NewLogWitness(c.now, window)}
}

func (c *cluster) step() {
	c.now = c.now.Add(time.Duration(c.rnd.IntN(3000)) * time.Millisecond)
	if c.rnd.IntN(2) == 0 {
		c.begin()
	}
	if c.rnd.IntN(400) == 0 {
		c.restart(c.rnd.IntN(len(c.voters)))
	}
	if len(c.attempts) > 0 && c.rnd.IntN(2) == 0 {
		if a := c.attempts[max(0, len(c.attempts)-1-c.rnd.IntN(8))]; !a.done {
			c.finish(a)
		}
	}
	if c.witness {
		c.read(c.rnd.IntN(len(c.voters)))
	}
	for range 1 + c.rnd.IntN(12) {
		if len(c.messages) == 0 {
			return
		}
		k := c.rnd.IntN(len(c.messages))
		m := c.messages[k]
		c.messages[k] = c.messages[len(c.messages)-1]
		c.messages = c.messages[:len(c.messages)-1]
		c.deliver(m)
	}
}

func TestAtMostOneExecutor(t *testing.T) {
	won := 0
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{t: t, now: epoch, rnd: rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))), winners: map[string]Executor{}}
		for range rapid.SampledFrom([]int{2, 3, 4, 5, 7}).Draw(t, "voters") {
			c.voters = append(c.voters, newReadyVoter(c.now))
			c.readers = append(c.readers, &reader{witness: NewLogWitness(c.now, window)})
		}
		c.witness = len(c.voters)%2 == 0
		for range 1000 {
			c.step()
		}
		won += c.won
	})
	t.Logf("%d claims won", won)
	is.New(t).True(won > 100) // otherwise the check was not exercised
}
