package quotactl

import "github.com/prometheus/client_golang/prometheus"

// refusalCause is the value of the label "cause" of the metric for refused takes.
type refusalCause string

const (
	causeOverRate     refusalCause = "over_rate"
	causeShed         refusalCause = "over_rate_here"
	causeOverBurst    refusalCause = "over_burst"
	causeUnknown      refusalCause = "unknown_account"
	causeNoHolder     refusalCause = "no_holder"
	causeNotHolder    refusalCause = "not_holder"
	causeLostResponse refusalCause = "lost_answer"
	causeInjected     refusalCause = "injected"
)

type metrics struct {
	admitted       *prometheus.CounterVec
	refused        *prometheus.CounterVec
	borrowedTokens prometheus.Counter
	lendFailed     prometheus.Counter
	handOverFailed prometheus.Counter
	recordFailed   prometheus.Counter
	loansRecovered prometheus.Counter
	holderWaits    prometheus.Counter
}

func newMetrics() *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "berylpond_quota_" + name, Help: help})
	}
	vector := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "berylpond_quota_" + name, Help: help}, []string{label})
	}
	return &metrics{
		admitted:       vector("admitted_total", "Takes admitted, by where the tokens were.", "path"),
		refused:        vector("refused_total", "Takes refused, by cause.", "cause"),
		borrowedTokens: counter("borrowed_tokens_total", "Tokens fetched from other data centres."),
		lendFailed:     counter("lend_failed_total", "Requests to other data centres without an answer."),
		recordFailed:   counter("record_failed_total", "Loans withheld as too few slots recorded them."),
		loansRecovered: counter("books_read_total", "Parts whose earlier loans were read from the books."),
		holderWaits:    counter("holder_waits_total", "Takes that found no holder and waited for one."),
		handOverFailed: counter("hand_over_failed_total", "Offers of state that did not reach an instance."),
	}
}

func (m *metrics) collectors() []prometheus.Collector {
	return []prometheus.Collector{m.admitted, m.refused, m.borrowedTokens, m.lendFailed, m.handOverFailed, m.recordFailed, m.loansRecovered, m.holderWaits}
}
