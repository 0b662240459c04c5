package engine

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/verdict"
)

func TestAppendDeltaJoinsToolCallParts(t *testing.T) {
	is := is.New(t)
	parts := []string{
		`{"content":"let me look","tool_calls":[{"index":0,"id":"c1","type":"function","function":{"name":"stock","arguments":"{\"kio"}}]}`,
		`{"content":"","tool_calls":[{"index":0,"function":{"arguments":"sk\":7}"}}]}`,
		`{"content":"","tool_calls":[{"index":1,"id":"c2","type":"function","function":{"name":"payout","arguments":"{}"}}]}`,
	}
	m := Message{Role: "assistant"}
	for _, p := range parts {
		var part Message
		is.NoErr(json.Unmarshal([]byte(p), &part))
		is.True(m.AppendDelta(&part))
	}
	is.Equal(m.Content, "let me look")
	is.Equal(len(m.ToolCalls), 2)
	is.Equal(m.ToolCalls[0].Function, ToolFunction{Name: "stock", Arguments: `{"kiosk":7}`})
	is.Equal(m.ToolCalls[1].ID, "c2")

	rejoined := Message{Role: "assistant"}
	is.True(rejoined.AppendDelta(m.AsDelta())) // a single part with the whole message
	is.Equal(string(rejoined.Marshal()), string(m.Marshal()))

	outOfRange := 5
	is.Equal(m.AppendDelta(&Message{ToolCalls: []ToolCall{{Index: &outOfRange}}}), false)
	is.Equal(m.AppendDelta(&Message{ToolCalls: []ToolCall{{}}}), false)
}

func TestParseChatRejectsInvalidRequests(t *testing.T) {
	for _, body := range []string{
		``, `[]`, `{`, `{"model":"m"}`, `{"messages":[{"role":"user"}]}`, `{"model":"m","messages":[]}`,
		`{"model":"m","messages":[{"content":"x"}]}`, `{"model":"m","messages":["x"]}`,
	} {
		is := is.New(t)
		_, err := ParseChat([]byte(body))
		is.True(err != nil) // refused
		is.Equal(err.Verdict, verdict.NotRun)
		is.Equal(err.Reason, verdict.ReasonMalformed)
	}
}
