package placement

import "container/list"

const (
	// minKeptParts and maxKeptParts bound the parts that are remembered for one server, keptParts those of all servers of a
	// service together.
	minKeptParts, maxKeptParts = 8, 256
	keptParts                  = 16 << 10
	// MaxPromptParts bounds the parts of a prompt that are considered; the rest of a longer prompt is left out.
	MaxPromptParts = 16
)

// Kept is what a server is expected to keep of the prompts that it was sent: parts in the order of their last use, within
// the memory of the server. It answers conversations whose whole prompt comes with each turn. It is not safe for
// concurrent use.
type Kept struct {
	byID map[string]*list.Element
	// order has the part that was used last at its front.
	order  list.List
	tokens int64
}

// Use records that the server was sent a prompt. capacity is its memory in tokens, zero if unknown, servers the number of
// servers of its service.
func (k *Kept) Use(prompt []Part, capacity int64, servers int) {
	if k.byID == nil {
		k.byID = map[string]*list.Element{}
	}
	// The first part is used last, since the others are of no use without it.
	for i := len(prompt) - 1; i >= 0; i-- {
		k.use(prompt[i])
	}
	limit := min(max(keptParts/max(servers, 1), minKeptParts), maxKeptParts)
	for k.order.Len() > limit || capacity > 0 && k.tokens > capacity && k.order.Len() > 0 {
		k.dropOldest()
	}
}

func (k *Kept) use(p Part) {
	n := p.tokens()
	if e := k.byID[p.ID]; e != nil {
		old := e.Value.(*Part)
		k.tokens += n - old.Tokens
		old.Tokens = n
		k.order.MoveToFront(e)
		return
	}
	k.byID[p.ID] = k.order.PushFront(&Part{ID: p.ID, Tokens: n})
	k.tokens += n
}

func (k *Kept) dropOldest() { k.remove(k.order.Back()) }

func (k *Kept) remove(e *list.Element) {
	p := k.order.Remove(e).(*Part)
	delete(k.byID, p.ID)
	k.tokens -= p.Tokens
}

// Grow adds generated tokens to a part.
func (k *Kept) Grow(id string, tokens int64) {
	if e := k.byID[id]; e != nil {
		p := e.Value.(*Part)
		n := min(max(tokens, 0), maxTokens-p.Tokens)
		p.Tokens += n
		k.tokens += n
	}
}

// Has reports whether the server is expected to keep a part.
func (k *Kept) Has(id string) bool { return k.byID[id] != nil }

// Leading returns how many parts at the start of the prompt the server is expected to keep.
func (k *Kept) Leading(prompt []Part) int {
	for i, p := range prompt {
		if !k.Has(p.ID) {
			return i
		}
	}
	return len(prompt)
}

// Drop removes parts that the server wasn't sent after all.
func (k *Kept) Drop(parts []Part) {
	for _, p := range parts {
		if e := k.byID[p.ID]; e != nil {
			k.remove(e)
		}
	}
}

// Prefix returns how many tokens of the prompt the server is expected to keep. A part is of use only if all before it are
// kept. home tells that the server keeps the first part whether or not this instance has sent it there.
func (k *Kept) Prefix(prompt []Part, home bool) int64 {
	var n int64
	for i, p := range prompt {
		e := k.byID[p.ID]
		if e == nil {
			if i > 0 || !home {
				break
			}
			n += p.tokens()
			continue
		}
		kept := e.Value.(*Part).Tokens
		n += min(kept, p.tokens())
		if kept < p.tokens() {
			break
		}
	}
	return min(n, maxTokens)
}
