package platformclient

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/berylpond/berylpond/internal/fakes/fault"
	"github.com/berylpond/berylpond/internal/fakes/instances"
	"github.com/berylpond/berylpond/internal/fakes/logsvc"
	"github.com/berylpond/berylpond/internal/fakes/rawserver"
	"github.com/berylpond/berylpond/internal/verdict"
)

const shortTimeout = 150 * time.Millisecond

func newLog(t *testing.T, opts ...logsvc.Option) (*logsvc.Server, *Client) {
	s := logsvc.New(opts...)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, New(server.URL, WithTimeout(shortTimeout))
}

func TestAppendAndRead(t *testing.T) {
	is := is.New(t)
	_, c := newLog(t)
	first, err := c.Append(t.Context(), "a/b c", [][]byte{[]byte("x"), {0, 255}})
	is.NoErr(err)
	is.Equal(first, int64(0))
	first, err = c.Append(t.Context(), "a/b c", [][]byte{[]byte("z")})
	is.NoErr(err)
	is.Equal(first, int64(2))
	page, err := c.Read(t.Context(), "a/b c", 1, 10, 0)
	is.NoErr(err)
	is.Equal(page, Page{First: 0, End: 3, Records: []Record{{Offset: 1, Data: []byte{0, 255}}, {Offset: 2, Data: []byte("z")}}})
}

func TestReadWaitsForNewRecords(t *testing.T) {
	is := is.New(t)
	s, c := newLog(t)
	go func() {
		time.Sleep(20 * time.Millisecond)
		s.Append("s", [][]byte{[]byte("x")})
	}()
	page, err := c.Read(t.Context(), "s", 0, 10, 5*time.Second)
	is.NoErr(err)
	is.Equal(len(page.Records), 1)
}

func TestReadReportsExpiredOffsets(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s, c := newLog(t, logsvc.WithRetention(time.Minute, 3), logsvc.WithClock(func() time.Time { return now }))
	for range 5 {
		s.Append("s", [][]byte{[]byte("x")})
	}
	page, err := c.Read(t.Context(), "s", 0, 10, time.Second)
	is.NoErr(err)
	is.Equal(page.First, int64(2)) // by count
	is.Equal(len(page.Records), 3)
	now = now.Add(2 * time.Minute)
	page, err = c.Read(t.Context(), "s", 0, 10, time.Second)
	is.NoErr(err)
	is.Equal(page.First, int64(5)) // by age
	is.Equal(page.End, int64(5))
}

func TestVerdictsOfFailedAppends(t *testing.T) {
	for _, tc := range []struct {
		spec    fault.Spec
		want    verdict.Verdict
		records int64
	}{
		{fault.Spec{Mode: fault.Outage}, verdict.NotRun, 0},
		{fault.Spec{Mode: fault.Hang}, verdict.MayHaveRun, 0},
		{fault.Spec{Mode: fault.Slow, DelayMS: 1000}, verdict.MayHaveRun, 0},
		{fault.Spec{Mode: fault.LoseResponse}, verdict.MayHaveRun, 1},
	} {
		t.Run(string(tc.spec.Mode), func(t *testing.T) {
			is := is.New(t)
			s, c := newLog(t)
			tc.spec.Times = 1
			s.Faults.Set(tc.spec)
			_, err := c.Append(t.Context(), "s", [][]byte{[]byte("x")})
			is.Equal(verdict.From(err).Verdict, tc.want)
			is.Equal(s.Stats().Records, tc.records)
			_, err = c.Append(t.Context(), "s", [][]byte{[]byte("y")})
			is.NoErr(err) // the fault applies to one append only
		})
	}
}

// TestAppendTakesEffectAfterTimeout checks that an append whose verdict is MayHaveRun can take effect after the client
// has timed out.
func TestAppendTakesEffectAfterTimeout(t *testing.T) {
	is := is.New(t)
	s, c := newLog(t)
	s.Faults.Set(fault.Spec{Mode: fault.Late, Times: 1, DelayMS: 2 * shortTimeout.Milliseconds()})
	_, err := c.Append(t.Context(), "s", [][]byte{[]byte("x")})
	is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
	is.Equal(s.Stats().Records, int64(0))
	page, err := c.Read(t.Context(), "s", 0, 1, 5*time.Second)
	is.NoErr(err)
	is.Equal(len(page.Records), 1)
}

func TestAppendLimit(t *testing.T) {
	is := is.New(t)
	s, c := newLog(t, logsvc.WithAppendLimit(1))
	_, err := c.Append(t.Context(), "s", [][]byte{[]byte("x")})
	is.NoErr(err)
	_, err = c.Append(t.Context(), "s", [][]byte{[]byte("x")})
	v := verdict.From(err)
	is.Equal(v.Verdict, verdict.NotRun)
	is.Equal(v.Reason, verdict.ReasonRateLimited)
	is.Equal(v.RetryAfter, time.Second)
	is.Equal(s.Stats().Refused, int64(1))
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(logsvc.New())
	server.Close()
	_, err := New(server.URL).Append(t.Context(), "s", [][]byte{[]byte("x")})
	is.Equal(verdict.From(err).Verdict, verdict.NotRun)
}

// TestAppendIsNotResentOnClosedConnection closes a reused connection without a response. The HTTP transport must not
// send the append again.
func TestAppendIsNotResentOnClosedConnection(t *testing.T) {
	is := is.New(t)
	s, c := newLog(t)
	_, err := c.Append(t.Context(), "s", [][]byte{[]byte("x")})
	is.NoErr(err)
	s.Faults.Set(fault.Spec{Mode: fault.LoseResponse})
	_, err = c.Append(t.Context(), "s", [][]byte{[]byte("x")})
	is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
	is.Equal(s.Stats().Records, int64(2))
}

func TestInstanceListLagsAndGoesStale(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := instances.New(instances.WithLag(time.Second), instances.WithClock(func() time.Time { return now }))
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	c := New("http://unused.invalid", WithInstancesURL(server.URL))
	one := Instance{ID: "e1", Kind: KindEngine, DataCentre: "giza", Address: "127.0.0.1:1", Pool: "p", State: StateLive}
	is.NoErr(c.PutInstance(t.Context(), one))
	list, err := c.Instances(t.Context())
	is.NoErr(err)
	is.Equal(len(list), 0) // lags
	now = now.Add(2 * time.Second)
	list, err = c.Instances(t.Context())
	is.NoErr(err)
	is.Equal(list, []Instance{one})

	s.Faults.Set(fault.Spec{Mode: fault.Stale})
	is.NoErr(c.DeleteInstance(t.Context(), "e1"))
	now = now.Add(time.Hour)
	list, err = c.Instances(t.Context())
	is.NoErr(err)
	is.Equal(len(list), 1) // stale
	s.Faults.Clear()
	list, err = c.Instances(t.Context())
	is.NoErr(err)
	is.Equal(len(list), 0)
}

// Guards against an instance that counts as registered because the platform answered with a status that is none.
func TestMalformedResponseIsNoSuccess(t *testing.T) {
	is := is.New(t)
	address := rawserver.Start(t, func(c *net.TCPConn, br *bufio.Reader) {
		if r, err := http.ReadRequest(br); err == nil {
			io.Copy(io.Discard, r.Body)
			io.WriteString(c, "HTTP/1.1 000 Trouble\r\nContent-Length: 20\r\n\r\n{\"first_offset\":  1}")
		}
	})
	client := New("http://" + address)
	err := client.DeleteInstance(t.Context(), "x")
	is.True(err != nil)
	is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
	_, err = client.Append(t.Context(), "s", [][]byte{[]byte("x")})
	is.True(err != nil)
	is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
}
