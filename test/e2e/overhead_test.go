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

// BenchmarkOverhead measures the latency that berylpond adds to a call on top of the engine's, and the CPU time of the
// daemons per call. A program's calls are sent to each instance in turn; those that enter at an instance that does not
// hold the program's shard pass through two instances.
//
// Run: go test ./test/e2e -run '^$' -bench Overhead -benchtime 300x
func BenchmarkOverhead(b *testing.B) {
	s := startSite(b, []dcSpec{{"giza", 3, 1}},
		withAccounts(accountSpec{"big", 10_000, 20_000}, accountSpec{"small", 10_000, 20_000}))
	// A token holder that starts without its predecessor's state waits until loans that may be outstanding expire.
	time.Sleep(5 * time.Second)
	engine := &instance{callers: s.engines["giza"][0].addr}
	direct := medianLatency(b, func() callResult { return (&caller{s: s}).chat(engine, "direct", 12, true) })
	c := s.caller("big")
	single := medianLatency(b, func() callResult { return c.chat(s.instances[0], "single", 12, true) })
	before := s.cpuSeconds()
	inProgram := map[string]time.Duration{}
	for _, in := range s.instances {
		inProgram[in.id] = medianLatency(b, s.programTurns(b, in))
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
	b.ReportMetric((s.cpuSeconds()-before)*1e6/float64(calls), "daemon-cpu-us/call")
}

// turnsPerProgram limits the measured history: with a longer one the benchmark would measure its transfer.
const turnsPerProgram = 10

// programTurns returns a function that makes the next call of a program through the instance.
func (s *site) programTurns(b *testing.B, in *instance) func() callResult {
	c := s.caller("big")
	var p programRef
	n := 0
	return func() callResult {
		if n%turnsPerProgram == 0 {
			var res callResult
			if p, res = c.createProgram(s.instances[0], map[string]int{"tokens": 100_000, "calls": 100}); p.id == "" {
				b.Fatalf("create: %d %s", res.status, res.body)
			}
		}
		n++
		return c.turn(in, &p, "turn", true)
	}
}

// medianLatency returns the median latency of b.N calls.
func medianLatency(b *testing.B, call func() callResult) time.Duration {
	b.Helper()
	times := make([]time.Duration, 0, b.N)
	for range b.N {
		start := time.Now()
		if res := call(); res.text == "" {
			b.Fatalf("call failed: %d %s %v", res.status, res.body, res.err)
		}
		times = append(times, time.Since(start))
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[len(times)/2]
}

// cpuSeconds returns the total CPU time of all daemons, in seconds.
func (s *site) cpuSeconds() float64 {
	s.t.Helper()
	sum := 0.0
	for _, in := range s.instances {
		sum += s.metric(in, "process_cpu_seconds_total")
	}
	return sum
}

// metric returns the sum over all series of one metric of a daemon.
func (s *site) metric(in *instance, name string) float64 {
	return s.sumSeries(in, func(series string) bool { return series == name || strings.HasPrefix(series, name+"{") })
}

// seriesValue returns the value of one series of a daemon.
func (s *site) seriesValue(in *instance, name string) float64 {
	return s.sumSeries(in, func(series string) bool { return series == name })
}

func (s *site) sumSeries(in *instance, match func(series string) bool) float64 {
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

// phaseMean returns the mean duration of a phase over all daemons, in seconds.
func (s *site) phaseMean(phase string) float64 {
	s.t.Helper()
	var sum, count float64
	for _, in := range s.instances {
		sum += s.seriesValue(in, "berylpond_phase_seconds_sum{phase=\""+phase+"\"}")
		count += s.seriesValue(in, "berylpond_phase_seconds_count{phase=\""+phase+"\"}")
	}
	return sum / max(count, 1)
}
