package resume

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// positionAfter is the position of a client that got the events with these ids.
func positionAfter(ids ...string) Position {
	var p Position
	for _, id := range ids {
		p.Advance(ParseID(id))
	}
	return p
}

// typical is a break of a stream that may be resumed.
func typical() Break {
	return Break{
		At: start.Add(time.Second), LastRelayed: start.Add(900 * time.Millisecond), FirstEvent: 300 * time.Millisecond,
		Patience: 2 * time.Second, RespondBy: start.Add(4 * time.Second), Sends: 1, MaxAttempts: 2,
		Position: positionAfter("1", "2"),
	}
}

// Load pattern: a server is lost with all of its streams, at whatever point each of them is.
func TestBrokenStreamsAreResumedWhileTheClientWaits(t *testing.T) {
	for name, c := range map[string]struct {
		change func(b *Break)
		want   Decision
	}{
		"after some events":                      {func(*Break) {}, Continue},
		"before the first event":                 {func(b *Break) { b.Position = Position{} }, Restart},
		"no attempt left":                        {func(b *Break) { b.Sends = 2 }, AttemptsSpent},
		"the server has ended":                   {func(b *Break) { b.Sends, b.ServerEnded = 2, true }, Continue},
		"only one run is left uncounted":         {func(b *Break) { b.Sends, b.Uncounted, b.ServerEnded = 3, 1, true }, AttemptsSpent},
		"an uncounted run leaves an attempt":     {func(b *Break) { b.Sends, b.Uncounted = 2, 1 }, Continue},
		"a request that crashes servers at once": {func(b *Break) { b.Sends, b.ServerEnded, b.Position = 2, true, Position{} }, AttemptsSpent},
		"the client gives up first":              {func(b *Break) { b.LastRelayed = b.At.Add(-1700 * time.Millisecond) }, TooLate},
		"the client just waits long enough":      {func(b *Break) { b.LastRelayed = b.At.Add(-1699 * time.Millisecond) }, Continue},
		"the deadline comes first":               {func(b *Break) { b.RespondBy = b.At.Add(300 * time.Millisecond) }, TooLate},
		"an event without an id":                 {func(b *Break) { b.Position = positionAfter("1", "") }, Unplaceable},
		"an event without a number":              {func(b *Break) { b.Position = positionAfter("a") }, Unplaceable},
		"ids with a gap":                         {func(b *Break) { b.Position = positionAfter("1", "3") }, Unplaceable},
		"ids that go back":                       {func(b *Break) { b.Position = positionAfter("2", "1") }, Unplaceable},
	} {
		t.Run(name, func(t *testing.T) {
			b := typical()
			c.change(&b)
			is.New(t).Equal(Decide(b), c.want)
		})
	}
}

func TestClientsBearTheLongestOfThreeGaps(t *testing.T) {
	is := is.New(t)
	is.Equal(Patience(200*time.Millisecond, 250*time.Millisecond), 2*time.Second)
	is.Equal(Patience(600*time.Millisecond, 250*time.Millisecond), 2400*time.Millisecond)
	is.Equal(Patience(200*time.Millisecond, 400*time.Millisecond), 3200*time.Millisecond)
	is.Equal(Patience(0, 0), 2*time.Second)
}

func TestEventsOfAResumedRunArePlaced(t *testing.T) {
	is := is.New(t)
	p := positionAfter("7", "8")
	is.Equal(p.LastEventID(), "8")
	for id, want := range map[string]Placement{
		"7": Repeated, "8": Repeated, "9": Next, "10": Gap, "": Gap, "x": Gap, "-1": Gap,
	} {
		is.Equal(p.Place(ParseID(id)), want)
	}
	unplaceable := positionAfter("7", "9")
	is.Equal(unplaceable.LastEventID(), "")
	is.Equal(unplaceable.Place(ParseID("10")), Gap)
}
