package program

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	programv1 "github.com/berylpond/berylpond/api/program/v1"
)

// countingRecorder accepts every event and counts the bytes that it would send.
type countingRecorder struct{ events, bytes int }

func (r *countingRecorder) Record(_ context.Context, _ int, _ uint64, ev *programv1.Event) error {
	r.events++
	r.bytes += proto.Size(ev)
	return nil
}

func (r *countingRecorder) RecordOnMajority(ctx context.Context, shard int, term uint64, ev *programv1.Event) error {
	return r.Record(ctx, shard, term, ev)
}

// oneShard is a cell with one shard, which is always held.
type oneShard struct{}

func (oneShard) HeldTerm(int) (uint64, bool) { return 1, true }
func (oneShard) ShardCount() int             { return 1 }

func benchController(b *testing.B, rec Recorder) *Controller {
	b.Helper()
	c := NewController("giza", oneShard{}, rec)
	c.SetReady(0, 1)
	return c
}

// benchTurn runs one turn with the given number of bytes of text, half of them in the request, and returns the new
// head.
func benchTurn(b *testing.B, c *Controller, id, head string, text int) string {
	b.Helper()
	ctx := context.Background()
	t, _, err := c.Begin(ctx, TurnSpec{Program: id, Team: "t", Account: "a", Head: head, Digest: "d", MaxPromptTokens: 1, MaxTokens: 1})
	if err != nil {
		b.Fatal(err)
	}
	request, err := json.Marshal([]map[string]string{{"role": "user", "content": strings.Repeat("x", text/2)}})
	if err != nil {
		b.Fatal(err)
	}
	head, err = t.Commit(ctx, EngineResponse{Request: request, Message: strings.Repeat("y", text/2), FinishReason: "stop", PromptTokens: 1, CompletionTokens: 1})
	if err != nil {
		b.Fatal(err)
	}
	return head
}

func benchProgram(b *testing.B, c *Controller, turns, text int) (id, head string) {
	b.Helper()
	id = NewID("giza")
	p, err := c.Create(context.Background(), CreateSpec{
		ID: id, Team: "t", Account: "a", BudgetTokens: 1 << 40, BudgetCalls: 1 << 40, Deadline: time.Now().Add(time.Hour),
	})
	if err != nil {
		b.Fatal(err)
	}
	head = p.Head
	for range turns {
		head = benchTurn(b, c, id, head, text)
	}
	return id, head
}

// BenchmarkTurn measures Begin and Commit of one turn on a program that already has some, and the size of its events.
func BenchmarkTurn(b *testing.B) {
	for _, turns := range []int{1, 10, 100} {
		for _, text := range []int{400, 4000} {
			b.Run(fmt.Sprintf("turns=%d/text=%d", turns, text), func(b *testing.B) {
				rec := &countingRecorder{}
				c := benchController(b, rec)
				id, head := benchProgram(b, c, turns, text)
				rec.events, rec.bytes = 0, 0
				b.ResetTimer()
				for i := range b.N {
					if i%turns == turns-1 {
						b.StopTimer()
						id, head = benchProgram(b, c, turns, text)
						b.StartTimer()
					}
					events, bytes := rec.events, rec.bytes
					head = benchTurn(b, c, id, head, text)
					if i == 0 {
						b.ReportMetric(float64(rec.events-events), "events/turn")
						b.ReportMetric(float64(rec.bytes-bytes), "event-B/turn")
					}
				}
			})
		}
	}
}

// BenchmarkProgramMemory reports the heap size of a program with its history.
func BenchmarkProgramMemory(b *testing.B) {
	for _, turns := range []int{0, 10, 100} {
		for _, text := range []int{400, 4000} {
			b.Run(fmt.Sprintf("turns=%d/text=%d", turns, text), func(b *testing.B) {
				for range b.N {
					const programs = 100
					c := benchController(b, &countingRecorder{})
					var before, after runtime.MemStats
					runtime.GC()
					runtime.ReadMemStats(&before)
					for range programs {
						benchProgram(b, c, turns, text)
					}
					runtime.GC()
					runtime.ReadMemStats(&after)
					b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/programs, "held-B/program")
					runtime.KeepAlive(c)
				}
			})
		}
	}
}

// BenchmarkApply measures decoding and applying the two events of a turn, as a reader of the log does.
func BenchmarkApply(b *testing.B) {
	for _, turns := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("turns=", turns), func(b *testing.B) {
			c := benchController(b, &countingRecorder{})
			id, _ := benchProgram(b, c, turns, 4000)
			p, _ := c.lookup(id)
			events := p.SnapshotEvents(time.Time{})
			var raw [][]byte
			for _, ev := range events {
				data, err := proto.Marshal(ev)
				if err != nil {
					b.Fatal(err)
				}
				raw = append(raw, data)
			}
			b.ResetTimer()
			for range b.N {
				s := NewStore()
				for _, data := range raw {
					ev := &programv1.Event{}
					if err := proto.Unmarshal(data, ev); err != nil {
						b.Fatal(err)
					}
					if s.Apply(ev) != Accepted {
						b.Fatal("event was not accepted")
					}
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*turns), "ns/turn")
		})
	}
}
