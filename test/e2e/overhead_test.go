package e2e

import (
	"bufio"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"
)

// BenchmarkOverhead measures what berylpond adds to a call, beside the engine's own time, and the processor time that
// the daemons spend on it. A program's calls enter at an instance that does not hold the program's part, so that each
// passes through two instances.
//
// Run: go test ./test/e2e -run '^$' -bench Overhead -benchtime 300x
func BenchmarkOverhead(b *testing.B) {
	s := startSite(b, []dcSpec{{"giza", 3, 1}}, withAccounts(accountDoc{"big", 10_000, 20_000}, accountDoc{"small", 10_000, 20_000}))
	// A holder of tokens that starts without its predecessor's state waits for loans that may be out.
	time.Sleep(5 * time.Second)
	engine := &instance{callers: s.engines["giza"][0].addr}
	direct := measure(b, func() answer { return (&caller{s: s}).chat(engine, "direct", 12, true) })
	c := s.caller("big")
	single := measure(b, func() answer { return c.chat(s.instances[0], "single", 12, true) })
	before := s.processorTime()
	inProgram := map[string]time.Duration{}
	for _, in := range s.instances {
		inProgram[in.id] = measure(b, s.turns(b, in))
	}
	for _, phase := range []string{"begin", "queue", "first_token", "engine", "commit"} {
		b.ReportMetric(s.phaseMean(phase)*1e6, phase+"-mean-us")
	}
	calls := b.N * len(s.instances)
	b.ReportMetric(float64(direct.Microseconds()), "direct-p50-us")
	b.ReportMetric(float64((single - direct).Microseconds()), "single-added-p50-us")
	var all []time.Duration
	for _, d := range inProgram {
		all = append(all, d)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	b.ReportMetric(float64((all[len(all)-1] - direct).Microseconds()), "program-added-p50-us")
	b.ReportMetric((s.processorTime()-before)*1e6/float64(calls), "daemon-cpu-us/call")
}

// turnsOfProgram is the length of the measured programs; a longer history would measure its transport.
const turnsOfProgram = 10

// turns returns a function that makes the next call of a program through the instance.
func (s *site) turns(b *testing.B, in *instance) func() answer {
	c := s.caller("big")
	var p programRef
	n := 0
	return func() answer {
		if n%turnsOfProgram == 0 {
			var a answer
			if p, a = c.create(s.instances[0], map[string]int{"tokens": 100_000, "calls": 100}); p.id == "" {
				b.Fatalf("create: %d %s", a.status, a.body)
			}
		}
		n++
		return c.turn(in, &p, "turn", true)
	}
}

// measure returns the median time of b.N calls.
func measure(b *testing.B, call func() answer) time.Duration {
	b.Helper()
	times := make([]time.Duration, 0, b.N)
	for range b.N {
		begun := time.Now()
		if a := call(); a.text == "" {
			b.Fatalf("call failed: %d %s %v", a.status, a.body, a.err)
		}
		times = append(times, time.Since(begun))
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[len(times)/2]
}

// processorTime returns the processor time of all daemons, in seconds.
func (s *site) processorTime() float64 {
	s.t.Helper()
	sum := 0.0
	for _, in := range s.instances {
		sum += s.metric(in, "process_cpu_seconds_total")
	}
	return sum
}

// metric returns the sum of all series of one metric of a daemon.
func (s *site) metric(in *instance, name string) float64 {
	return s.sum(in, func(series string) bool { return series == name || strings.HasPrefix(series, name+"{") })
}

// series returns one series of a daemon.
func (s *site) series(in *instance, name string) float64 {
	return s.sum(in, func(series string) bool { return series == name })
}

func (s *site) sum(in *instance, match func(series string) bool) float64 {
	s.t.Helper()
	resp, err := http.Get("http://" + in.callers + "/metrics")
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	sum := 0.0
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		series, value, ok := strings.Cut(sc.Text(), " ")
		if ok && match(series) {
			v, err := strconv.ParseFloat(value, 64)
			if err == nil {
				sum += v
			}
		}
	}
	return sum
}

// phaseMean returns the mean time of a phase over all daemons, in seconds.
func (s *site) phaseMean(phase string) float64 {
	s.t.Helper()
	var sum, count float64
	for _, in := range s.instances {
		sum += s.series(in, "berylpond_phase_seconds_sum{phase=\""+phase+"\"}")
		count += s.series(in, "berylpond_phase_seconds_count{phase=\""+phase+"\"}")
	}
	return sum / max(count, 1)
}
