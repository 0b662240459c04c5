package gateway

import "github.com/berylpond/berylpond/internal/placement"

// work returns what the request is expected to ask of a backend server.
func (x *exchange) work() placement.Work {
	w := placement.Work{Route: x.route.Name, Session: x.Session, MaxOutput: x.MaxTokens, OutputHint: x.LengthHint}
	for _, p := range x.Prompt {
		w.Prompt = append(w.Prompt, placement.Part{ID: p.ID, Tokens: int64(p.Tokens)})
	}
	return w
}
