package load

import (
	"testing"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/engine"
	fakeengine "github.com/berylpond/berylpond/internal/fakes/engine"
	"github.com/berylpond/berylpond/internal/load/report"
	"github.com/berylpond/berylpond/internal/load/workload"
)

// TestCheckResponse checks that mismatched and truncated responses, an unchanged head and a lost turn are detected.
func TestCheckResponse(t *testing.T) {
	const output = 20
	message := fakeengine.Message{Role: "user", Content: "question"}
	right := fakeengine.ResponseText([]fakeengine.Message{message}, output)
	tokens := workload.MessageTokens(message.Content)
	for name, c := range map[string]struct {
		text, head string
		prompt     int
		want       []report.ViolationKind
	}{
		"right":      {right, "h1", tokens, nil},
		"cut":        {right[:len(right)-4], "h1", tokens, []report.ViolationKind{report.ViolationResponse}},
		"mismatched": {fakeengine.ResponseText([]fakeengine.Message{{Role: "user", Content: "other"}}, output), "h1", tokens, []report.ViolationKind{report.ViolationResponse}},
		"same head":  {right, "h0", tokens, []report.ViolationKind{report.ViolationOrder}},
		"other size": {right, "h1", tokens + 9, []report.ViolationKind{report.ViolationHistory}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rec := report.NewRecorder(nil)
			x := newExecution(newClient(Target{}, rec, 0), &workload.Program{Name: "p", Turns: []workload.Turn{{OutputTokens: output}}})
			x.messages, x.tokens, x.head = []fakeengine.Message{message}, tokens, "h0"
			x.checkResponse(&response{text: c.text, head: c.head, usage: engine.Usage{PromptTokens: int64(c.prompt)}}, 0)
			var kinds []report.ViolationKind
			for _, v := range rec.Violations() {
				kinds = append(kinds, v.Kind)
			}
			is.Equal(kinds, c.want)
		})
	}
}
