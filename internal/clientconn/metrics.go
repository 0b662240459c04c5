package clientconn

import "github.com/prometheus/client_golang/prometheus"

// Reasons for closing a connection before its client is done with it.
const (
	// reasonTooMany: it waited for its client for longest when there were too many.
	reasonTooMany = "too_many"
	// reasonNoRoom: it was new, and no other one waited for its client.
	reasonNoRoom = "no_room"
	// reasonMemory: it waited for its client while memory was short.
	reasonMemory = "memory"
	// reasonHead: there was no memory for the head of its request.
	reasonHead = "head"
)

// Metrics are the counters of the connections of clients.
type Metrics struct {
	registerer prometheus.Registerer
	closed     *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{registerer: r, closed: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "berylpond_client_connections_closed_total",
		Help: "Connections of clients that were closed for lack of descriptors or memory, by reason.",
	}, []string{"reason"})}
	r.MustRegister(m.closed)
	return m
}

func (m *Metrics) observeOpen(open func() int) {
	m.registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "berylpond_client_connections", Help: "Open connections of clients.",
	}, func() float64 { return float64(open()) }))
}
