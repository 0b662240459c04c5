package loadshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
	"github.com/berylpond/berylpond/internal/backendlimit"
)

var start = time.Unix(1000, 0)

func load(id string, requests float64) Load {
	return Load{Server: backendlimit.Server{ID: id, Incarnation: 1}, Requests: requests}
}

func TestReportReplacesTheLastOneOfItsInstance(t *testing.T) {
	is := is.New(t)
	s := NewSums()
	s.Report("a", []Load{load("s", 5)}, start)
	s.Report("a", []Load{load("s", 2)}, start)
	s.Report("b", []Load{load("s", 3), load("r", 1)}, start)
	round, revision := s.Round(start)
	is.Equal(len(round), 2)
	is.Equal(round[0].Server.ID, "s")
	is.Equal(round[0].Requests, 5.0)
	_, again := s.Round(start.Add(roundInterval / 2))
	is.Equal(again, revision)
}

func TestReportOfALostInstanceIsDropped(t *testing.T) {
	is := is.New(t)
	s := NewSums()
	s.Report("a", []Load{load("s", 5)}, start)
	s.Round(start)
	s.Round(start.Add(2 * reportTTL))
	round, _ := s.Round(start.Add(10 * reportTTL))
	is.Equal(len(round), 0)
	is.Equal(s.Instances(), 0)
}

func TestEvidenceAddsUpAndFades(t *testing.T) {
	is := is.New(t)
	s := NewSums()
	for i := range 20 {
		l := load("s", 1)
		l.Completed, l.Failed, l.Compared, l.Slowness = 1, 1, 1, 2
		s.Report(fmt.Sprint(i), []Load{l}, start)
	}
	round, _ := s.Round(start)
	is.True(round[0].Failed <= 20 && round[0].Slowness == 2)
	s.Round(start.Add(evidenceHalfLife))
	s.Report("0", []Load{load("s", 1)}, start.Add(10*evidenceHalfLife))
	round, _ = s.Round(start.Add(10 * evidenceHalfLife))
	is.Equal(len(round), 1)
	is.True(round[0].Failed < 0.1)
}

func TestServersLeftOutCompareAsIfTheyWereListed(t *testing.T) {
	is := is.New(t)
	most := Most([]Load{load("a", 9), load("b", 7), load("c", 4), load("d", 1)}, 2)
	is.Equal(most, []Load{load("a", 5), load("b", 3)})
}

func TestBudgetOfBytesBoundsWhatAHolderSends(t *testing.T) {
	is := is.New(t)
	for _, instances := range []int{1, 30, 87, 300, 2800, 100_000} {
		n, interval := Budget(4000, instances)
		is.True(interval >= minSendInterval && interval <= maxSendInterval)
		if instances <= 2800 {
			bytes := float64(n*bytesPerServer*instances) / interval.Seconds()
			is.True(bytes <= bytesPerSecond)
		}
	}
}

func TestAbsurdReportsAreBounded(t *testing.T) {
	is := is.New(t)
	f := &fakeFleet{}
	holder := NewExchange(f, func() time.Time { return start }, NewMetrics(prometheus.NewRegistry()))
	r := &turnv1.TakeRequest{Instance: "a"}
	for i := range 3 * maxReportedServers {
		r.Loads = append(r.Loads, &turnv1.BackendLoad{
			Id: fmt.Sprint(i), MeanRequests: float32(math.Inf(1)), Completed: math.MaxInt32, Failed: math.MinInt32,
			Slowness: math.NaN(), WorkUs: math.MaxInt64, ReadingUs: math.MinInt64,
		})
	}
	r.Loads[0] = nil
	resp := &turnv1.TakeResponse{}
	holder.Serve(r, resp)
	is.True(len(resp.Loads) <= maxSent)
	for _, l := range decode(resp.Loads) {
		is.True(l.Requests <= maxRequests && l.Left <= maxWork && l.Reading >= 0)
		is.True(l.Slowness == 0 || l.Slowness >= minSlowness && l.Slowness <= maxSlowness)
		is.True(l.Completed <= maxCount && l.Failed >= 0)
	}
	is.True(len(holder.sums.servers) <= maxReportedServers)
}

func TestServersThatTheHolderDoesNotKnowAreLeftOut(t *testing.T) {
	is := is.New(t)
	f := &fakeFleet{unknown: "garbage"}
	holder := NewExchange(f, func() time.Time { return start }, NewMetrics(prometheus.NewRegistry()))
	resp := &turnv1.TakeResponse{}
	holder.Serve(&turnv1.TakeRequest{Instance: "a", Loads: encode([]Load{load("garbage", 3), load("s", 2)})}, resp)
	is.Equal(len(resp.Loads), 1)
	is.Equal(resp.Loads[0].Id, "s")
}

func TestWhatWasSeenIsReportedAgainAfterALostReport(t *testing.T) {
	is := is.New(t)
	now := start
	f := &fakeFleet{report: []Load{load("s", 2)}}
	x := NewExchange(f, func() time.Time { return now }, NewMetrics(prometheus.NewRegistry()))
	r := &turnv1.TakeRequest{}
	x.Report("h", r)
	is.Equal(len(r.Loads), 1)
	x.ReportFailed(r)
	is.Equal(f.restored, f.report)
	// The next request carries it at once.
	r = &turnv1.TakeRequest{}
	x.Report("h", r)
	is.Equal(len(r.Loads), 1)
	f.restored = nil
	r = &turnv1.TakeRequest{}
	x.Report("h", r)
	is.Equal(r.LoadsRevision, int64(noReport))
	x.ReportFailed(r)
	is.Equal(len(f.restored), 0)
}

func TestWhatWasSeenWhileTheHolderIsOutOfReachIsDropped(t *testing.T) {
	is := is.New(t)
	f := &fakeFleet{report: []Load{load("s", 2)}}
	x := NewExchange(f, func() time.Time { return start }, NewMetrics(prometheus.NewRegistry()))
	lose := func() {
		f.restored = nil
		r := &turnv1.TakeRequest{}
		x.Report("h", r)
		x.ReportFailed(r)
	}
	lose()
	is.Equal(len(f.restored), 1)
	lose()
	is.Equal(len(f.restored), 0)
	x.Learn(&turnv1.TakeResponse{})
	lose()
	is.Equal(len(f.restored), 1)
}

func TestHolderWithoutLoadsTeachesNothing(t *testing.T) {
	is := is.New(t)
	f := &fakeFleet{}
	x := NewExchange(f, func() time.Time { return start }, NewMetrics(prometheus.NewRegistry()))
	x.Report("h", &turnv1.TakeRequest{})
	x.Learn(&turnv1.TakeResponse{})
	is.Equal(f.learned, 0)
	x.Learn(&turnv1.TakeResponse{LoadsRevision: 7})
	x.Learn(&turnv1.TakeResponse{LoadsRevision: 7})
	is.Equal(f.learned, 1)
}

// An instance of an older build, or without the part, asks for tokens up to a hundred times a second.
func TestInstanceThatReportsNoLoadsGetsSumsNoMoreOftenThanOthers(t *testing.T) {
	is := is.New(t)
	now := start
	holder := NewExchange(&fakeFleet{}, func() time.Time { return now }, NewMetrics(prometheus.NewRegistry()))
	sums := 0
	for range 100 {
		holder.Serve(&turnv1.TakeRequest{Instance: "new", Loads: encode([]Load{load("s", 2)})}, &turnv1.TakeResponse{})
		resp := &turnv1.TakeResponse{}
		holder.Serve(&turnv1.TakeRequest{Instance: "old"}, resp)
		if len(resp.Loads) > 0 {
			sums++
		}
		now = now.Add(10 * time.Millisecond)
	}
	is.True(sums > 0)
	is.True(sums <= int(time.Second/(minSendInterval-reportInterval/2))+1)
}

func TestInstanceLeavesItsOwnPartOutOfTheSums(t *testing.T) {
	is := is.New(t)
	others := without([]Load{load("a", 5), load("b", 1)}, []Load{load("a", 2), load("b", 3)})
	is.Equal(others, []Load{load("a", 3), load("b", 0)})
}

type fakeFleet struct {
	report, restored []Load
	learned          int
	unknown          string
}

func (f *fakeFleet) ReportLoads() []Load               { return f.report }
func (f *fakeFleet) RestoreLoads(l []Load)             { f.restored = l }
func (f *fakeFleet) LearnLoads([]Load, time.Time)      { f.learned++ }
func (f *fakeFleet) InService(id string, _ int64) bool { return id != f.unknown }

// BenchmarkServe is the holder's work for one report of 8 servers and a response with the sums of 74.
func BenchmarkServe(b *testing.B) {
	for _, instances := range []int{30, 87, 300, 2800} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			now := start
			holder := NewExchange(&fakeFleet{}, func() time.Time { return now }, NewMetrics(prometheus.NewRegistry()))
			request := func(i int) *turnv1.TakeRequest {
				r := &turnv1.TakeRequest{Instance: fmt.Sprint("10.0.0.", i)}
				for j := range 8 {
					l := load(fmt.Sprintf("i-%010d", (i*8+j)%(74*max(instances/87, 1))), 1)
					l.Server.Incarnation, l.Left = 1_700_000_000_000, 200*time.Millisecond
					l.Completed, l.Compared, l.Slowness = 3, 3, 1.1
					r.Loads = append(r.Loads, encode([]Load{l})...)
				}
				return r
			}
			bytes, n := 0, 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(300 * time.Millisecond / time.Duration(instances))
				resp := &turnv1.TakeResponse{}
				r := request(i % instances)
				r.LoadsRevision = 1
				holder.Serve(r, resp)
				out, _ := proto.Marshal(resp)
				in, _ := proto.Marshal(r)
				bytes, n = bytes+len(out)+len(in), n+1
			}
			b.ReportMetric(float64(bytes)/float64(n), "bytes/exchange")
		})
	}
}
