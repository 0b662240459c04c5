package gateway

import (
	"strings"

	"k8s.io/klog/v2"

	"github.com/berylpond/berylpond/internal/feature"
	"github.com/berylpond/berylpond/internal/fleet"
	"github.com/berylpond/berylpond/internal/placement"
)

// maxPartIDBytes bounds the ids of prompt parts that are remembered; a part with a longer one is unknown.
const maxPartIDBytes = 128

// work returns what the request is expected to ask of a backend server. It is the zero value without placement by cost.
func (x *exchange) work() placement.Work {
	if !x.features.Enabled(feature.Placement) {
		return placement.Work{}
	}
	w := placement.Work{Route: x.route.Name, Session: x.Session, MaxOutput: x.MaxTokens, OutputHint: x.LengthHint}
	for _, p := range x.Prompt[:min(len(x.Prompt), placement.MaxPromptParts)] {
		if len(p.ID) > maxPartIDBytes {
			break
		}
		// The clone keeps the header from being retained along with the part.
		w.Prompt = append(w.Prompt, placement.Part{ID: strings.Clone(p.ID), Tokens: int64(p.Tokens)})
	}
	return w
}

// cacheTokens is the memory for prompts of each server of the service, zero if the configuration does not state it.
func (x *exchange) cacheTokens() int64 {
	if e := x.configuration.Services[x.service].Engine; e != nil {
		return int64(e.KVCacheTokens)
	}
	return 0
}

// eventTokens is the number of tokens in one event of the service's streams; 1 if the configuration does not state it.
func (x *exchange) eventTokens() int64 {
	if e := x.configuration.Services[x.service].Engine; e != nil && e.EventTokens > 0 {
		return int64(e.EventTokens)
	}
	return 1
}

// observePlacement logs and counts the pick of a server.
func (x *exchange) observePlacement(b *fleet.Backend, preferred string) {
	d := b.Decision()
	x.metrics.observePlacement(d)
	if klog.V(1).Enabled() {
		klog.V(1).InfoS("backend server picked", "request", x.ID, "backend", b.ID, "reason", string(d.Reason),
			"read_tokens", d.Read, "kept_tokens", d.Kept, "read_ms", d.Reading.Milliseconds(), "generate_ms", d.Generate.Milliseconds(),
			"expected_ms", d.Expected.Milliseconds(), "requests", d.Requests, "shared_age_ms", d.SharedAge.Milliseconds(), "candidates", d.Candidates,
			"preferred", preferred, "session", x.Session, "data_centre", b.DataCentre)
	}
}
