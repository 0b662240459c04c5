package config

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/berylpond/berylpond/api/config/v1"
	"github.com/berylpond/berylpond/internal/document"
	"github.com/berylpond/berylpond/internal/member"
)

// largeDocument returns a document with 400 accounts of two keys each.
func largeDocument(t testing.TB) []byte {
	var b bytes.Buffer
	b.WriteString("team = \"t\"\ndata_centres = [\"a\"]\n")
	hash := "sha256:" + strings.Repeat("0123456789abcdef", 4)
	for i := range 400 {
		fmt.Fprintf(&b, "[[account]]\nname = \"account-%03d\"\nrate = \"20/s\"\nburst = 40\nkeys = [\n", i)
		for k := range 2 {
			fmt.Fprintf(&b, "  { id = \"%08x%08x\", salt = \"00112233445566778899aabbccddeeff\", hash = %q },\n", i, k, hash)
		}
		b.WriteString("]\n")
	}
	if _, err := document.Parse(b.Bytes()); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// editDocument returns the document with one account's rate changed.
func editDocument(doc []byte, i int) []byte {
	name := fmt.Sprintf("\"account-%03d\"\nrate = ", i%400)
	at := bytes.Index(doc, []byte(name)) + len(name)
	end := at + bytes.IndexByte(doc[at:], '\n')
	return slices.Concat(doc[:at], fmt.Appendf(nil, "\"%d/s\"", 21+i), doc[end:])
}

// propagate sends queued changes by push, one hop per round, until all push queues are empty, and then reconciles in
// rounds until all controllers hold the version. It returns the numbers of rounds and the number of controllers that
// the pushes reached. No background loops run.
func propagate(t testing.TB, cs []*Controller, version uint64) (pushRounds, reconcileRounds, reached int) {
	ctx := context.Background()
	for pushing := true; pushing; {
		pushing = false
		var queue []func()
		for _, c := range cs {
			select {
			case d := <-c.pushes:
				for _, addr := range c.sample(c.neighbours(), c.cfg.Fanout) {
					queue = append(queue, func() { c.push(ctx, addr, d) })
				}
			default:
			}
		}
		for _, f := range queue {
			f()
			pushing = true
		}
		if pushing {
			pushRounds++
		}
	}
	holders := func() int {
		n := 0
		for _, c := range cs {
			if _, v := c.DocumentText("t"); v == version {
				n++
			}
		}
		return n
	}
	reached = holders()
	for holders() < len(cs) {
		reconcileRounds++
		for _, c := range cs {
			_ = c.reconcile(ctx, c.sample(c.neighbours(), 1)[0])
		}
		if reconcileRounds > 100 {
			t.Fatal("the change did not reach all controllers")
		}
	}
	for _, c := range cs { // Discard pushes queued by reconciliation, so that the next measurement starts clean.
		for len(c.pushes) > 0 {
			<-c.pushes
		}
	}
	return pushRounds, reconcileRounds, reached
}

// newSeededControllers returns n controllers that hold doc as version 1.
func newSeededControllers(t testing.TB, n int, doc []byte) (*network, []*Controller) {
	net, cs := newControllers(n, newFakeLog(), Config{})
	rng := rand.New(rand.NewPCG(1, 2))
	for _, c := range cs {
		c.random = rng.IntN
		c.update(func(s *State) {
			s.SetFirstOffset(0)
			s.Apply(0, editRecord("t", 0, "first", string(doc)))
		})
		<-c.pushes
	}
	return net, cs
}

func applyEdit(c *Controller, offset uint64, base, doc []byte) {
	r := editRecord("t", offset, fmt.Sprint("edit-", offset), "")
	r.GetEdit().Document, r.GetEdit().Splice = nil, makeSplice(base, doc)
	c.update(func(s *State) { s.Apply(offset, r) })
}

func TestChangeReachesAllInstances(t *testing.T) {
	is := is.New(t)
	doc := exampleDocument(t)
	doc = bytes.Replace(doc, []byte(nile), []byte("t"), 1)
	_, cs := newSeededControllers(t, 60, doc)
	applyEdit(cs[0], 1, doc, append(doc, '\n'))
	_, reconciles, reached := propagate(t, cs, 2)
	is.True(reached > len(cs)/2) // pushes alone reach more than half
	is.True(reconciles <= 12)
}

func TestNeighbourGraphIsConnected(t *testing.T) {
	is := is.New(t)
	var all []member.Instance
	for i := range 300 {
		all = append(all, member.Instance{ID: fmt.Sprint("i", i), PeerAddr: fmt.Sprint("i", i)})
	}
	steps := map[string]int{"i0": 0}
	for queue := []string{"i0"}; len(queue) > 0; queue = queue[1:] {
		out := neighbours(queue[0], all)
		is.True(len(out) <= 9) // log2(300), rounded up
		for _, n := range out {
			if _, ok := steps[n]; !ok {
				steps[n] = steps[queue[0]] + 1
				queue = append(queue, n)
			}
		}
	}
	is.Equal(len(steps), len(all))
}

func BenchmarkPropagation(b *testing.B) {
	for _, n := range []int{11, 100, 300} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			doc := largeDocument(b)
			net, cs := newSeededControllers(b, n, doc)
			var pushes, reconciles, reached, changes int
			var sent, calls int64
			for b.Loop() {
				changes++
				next := editDocument(doc, changes)
				net.bytes.Store(0)
				net.calls.Store(0)
				applyEdit(cs[0], uint64(changes), doc, next)
				p, r, got := propagate(b, cs, uint64(changes)+1)
				pushes, reconciles, reached = pushes+p, reconciles+r, reached+got
				sent, calls = sent+net.bytes.Load(), calls+net.calls.Load()
				doc = next
			}
			per := float64(changes)
			b.ReportMetric(float64(pushes)/per, "push-rounds/change")
			b.ReportMetric(float64(reconciles)/per, "reconcile-rounds/change")
			b.ReportMetric(100*float64(reached)/per/float64(n), "%reached-by-push")
			b.ReportMetric(float64(sent)/per/float64(n), "bytes/instance/change")
			b.ReportMetric(float64(calls)/per/float64(n), "calls/instance/change")
		})
	}
}

// BenchmarkPropagationFullFleet simulates the propagation of one change by push and reconciliation in a fleet of full
// size. It tracks only which instances hold the change, not their states.
func BenchmarkPropagationFullFleet(b *testing.B) {
	const n = 2800
	rng := rand.New(rand.NewPCG(1, 2))
	var all []member.Instance
	index := map[string]int{}
	for i := range n {
		id := fmt.Sprint("instance-", i)
		all = append(all, member.Instance{ID: id, PeerAddr: id})
		index[id] = i
	}
	ringOrder(all)
	peers := make([][]string, n)
	for _, in := range all {
		peers[index[in.ID]] = neighbours(in.ID, all)
	}
	var runs, pushRounds, pushed, reconcileRounds, worst int
	for b.Loop() {
		runs++
		holds := make([]bool, n)
		start := rng.IntN(n)
		holds[start] = true
		got := 1
		for frontier := []int{start}; len(frontier) > 0; pushRounds++ {
			var next []int
			for _, i := range frontier {
				for _, k := range rng.Perm(len(peers[i]))[:DefaultFanout] {
					if j := index[peers[i][k]]; !holds[j] {
						holds[j] = true
						next = append(next, j)
					}
				}
			}
			got += len(next)
			frontier = next
		}
		pushed += got
		r := 0
		for ; got < n; r++ {
			for i := range n {
				j := index[peers[i][rng.IntN(len(peers[i]))]]
				if holds[i] != holds[j] {
					holds[i], holds[j] = true, true
					got++
				}
			}
		}
		reconcileRounds += r
		worst = max(worst, r)
	}
	b.ReportMetric(float64(pushRounds)/float64(runs), "push-rounds")
	b.ReportMetric(100*float64(pushed)/float64(runs)/n, "%reached-by-push")
	b.ReportMetric(float64(reconcileRounds)/float64(runs), "reconcile-rounds")
	b.ReportMetric(float64(worst), "reconcile-rounds-max")
}

func BenchmarkIdleReconcile(b *testing.B) {
	net, cs := newSeededControllers(b, 2, largeDocument(b))
	ctx := context.Background()
	runs := 0
	for b.Loop() {
		runs++
		if err := cs[0].reconcile(ctx, cs[1].table.Self().PeerAddr); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(net.bytes.Load())/float64(runs), "bytes/reconcile")
}

func BenchmarkApplyChange(b *testing.B) {
	doc := largeDocument(b)
	_, cs := newSeededControllers(b, 1, doc)
	offset := uint64(0)
	for b.Loop() {
		offset++
		next := editDocument(doc, int(offset))
		applyEdit(cs[0], offset, doc, next)
		<-cs[0].pushes
		doc = next
	}
	b.ReportMetric(float64(len(doc)), "document-bytes")
	r := editRecord("t", 1, "edit", "")
	r.GetEdit().Splice = makeSplice(doc, editDocument(doc, 5))
	b.ReportMetric(float64(proto.Size(r)), "edit-bytes")
}

func BenchmarkMemoryOfDocument(b *testing.B) {
	doc := largeDocument(b)
	const copies = 50
	var retained []*Controller
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	var each float64
	for b.Loop() {
		retained = nil
		before := heap()
		for range copies {
			c := New(Config{}, member.NewTable(member.Instance{ID: "x"}), nil, nil)
			c.update(func(s *State) {
				s.SetFirstOffset(0)
				s.Apply(0, &configv1.Record{Kind: &configv1.Record_Edit{Edit: &configv1.Edit{Team: "t", Document: bytes.Clone(doc)}}})
			})
			retained = append(retained, c)
		}
		each = float64(heap()-before) / copies
	}
	runtime.KeepAlive(retained)
	b.ReportMetric(each, "heap-bytes/document")
}

func BenchmarkAuthenticate(b *testing.B) {
	key, hashed, err := document.NewKey()
	if err != nil {
		b.Fatal(err)
	}
	doc := fmt.Appendf(largeDocument(b), "[[account]]\nname=\"new\"\nrate=1\nkeys=[{id=%q,salt=%q,hash=%q}]\n", hashed.ID, hashed.Salt, hashed.Hash)
	_, cs := newSeededControllers(b, 1, doc)
	for b.Loop() {
		if _, refusal := cs[0].Snapshot().Authenticate(key); refusal != nil {
			b.Fatal(refusal)
		}
	}
}
