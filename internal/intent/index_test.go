package intent

import (
	"testing"

	"github.com/matryer/is"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
	"github.com/berylpond/berylpond/internal/journal"
)

func TestIndex(t *testing.T) {
	is := is.New(t)
	var seen []string
	x := NewIndex(func(id string) { seen = append(seen, id) })
	apply := func(kind, key, payload string) {
		x.Apply(journal.Position{}, &journalv1.Record{Kind: kind, Key: key, Payload: []byte(payload)})
	}
	is.Equal(x.Lookup("a").MayHaveRun, false)
	apply(KindIntent, "a", "")
	is.Equal(x.Lookup("a").MayHaveRun, true)
	is.Equal(len(x.Lookup("a").Outcome), 0)
	apply(KindOutcome, "a", "done")
	apply(KindIntent, "a", "") // a repeated intent does not delete the outcome
	is.Equal(string(x.Lookup("a").Outcome), "done")
	apply(KindIntent, "b", "")
	apply(KindWithdrawn, "b", "")
	is.Equal(x.Lookup("b").MayHaveRun, false)
	apply("of another kind", "c", "")
	is.Equal(x.Lookup("c").MayHaveRun, false)
	is.Equal(seen, []string{"a", "a", "b"})
}
