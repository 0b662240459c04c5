package instance

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	dto "github.com/prometheus/client_model/go"
)

// slowSender opens a connection, announces a body and sends the beginning of it.
func (s *site) slowSender(n *node, announced, sent int) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /pay/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: slow%d\r\nApi-Key: key-a\r\n"+
		"Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s", ids.Add(1), announced, strings.Repeat("x", sent))
	if err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// heldBytes returns the bytes that an instance holds for its requests.
func (s *site) heldBytes(n *node) float64 {
	s.t.Helper()
	return s.metricOf(n, "berylpond_gateway_held_bytes").GetGauge().GetValue()
}

// metricOf returns a metric without labels.
func (s *site) metricOf(n *node, name string) *dto.Metric {
	s.t.Helper()
	families, err := n.metrics.Gather()
	if err != nil {
		s.t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() == name {
			return f.Metric[0]
		}
	}
	s.t.Fatalf("there is no metric %s", name)
	return nil
}

// Load pattern: clients send slowly what they announce, beside ordinary ones.
func TestSlowSendersTakeNoMemoryFromOrdinaryRequests(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.memoryBytes = 32 << 20
	n := s.start()
	for range 200 {
		s.slowSender(n, 90_000, 100)
	}
	s.eventually("slow senders are being read", func() bool { return s.heldBytes(n) > 4<<20 })
	is.Equal(s.do(n, call{path: "/pay/x", body: strings.Repeat("y", 20<<10)}).status, http.StatusOK)
}

func TestInstanceWithoutMemoryRefusesUntilThereIsRoom(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	s.memoryBytes = 8 << 20
	n := s.start()
	limit := 8 << 20 * heldMemoryFraction
	var slow []net.Conn
	for range 25 {
		slow = append(slow, s.slowSender(n, 90_000, 89_000))
	}
	s.eventually("the memory is in use", func() bool {
		return s.heldBytes(n) > limit-float64(150<<10)
	})
	large := call{path: "/pay/x", body: strings.Repeat("y", 90_000)}
	got := s.do(n, large)
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.body, "memory_full (not-run)"))
	is.True(got.header.Get("Retry-After") != "")
	for _, c := range slow {
		c.Close()
	}
	s.eventually("there is room again", func() bool { return s.do(n, large).status == http.StatusOK })
	s.eventually("nothing is held", func() bool { return s.heldBytes(n) == 0 })
}
