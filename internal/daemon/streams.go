package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	journalv1 "github.com/berylpond/berylpond/api/journal/v1"
	programv1 "github.com/berylpond/berylpond/api/program/v1"
	"github.com/berylpond/berylpond/internal/intent"
	"github.com/berylpond/berylpond/internal/journal"
	"github.com/berylpond/berylpond/internal/member"
	"github.com/berylpond/berylpond/internal/platformclient"
)

// kindProgram is the kind of journal records that hold an event of a program.
const kindProgram = "program"

const (
	// linger is how long records that no caller waits for are delayed, so that they are batched with others.
	linger = 20 * time.Millisecond
	// appendBurst is the number of appends that the instance may make without delay after an idle time.
	appendBurst = 8
	// minReadInterval is the minimum interval between reads of a stream. Only a starting instance, a takeover in a cell
	// of even size and the release of held events wait for reads.
	minReadInterval = 50 * time.Millisecond
)

// voteTimeout limits the wait for the log where its vote is needed for a majority.
const voteTimeout = 2 * time.Second

// streams writes and reads the log streams of the data centre: events of programs, intents, and orders to engines.
type streams struct {
	metrics      *journal.Metrics
	index        *intent.Index
	events       *journal.Writer
	intents      *journal.Writer
	orders       *journal.Writer
	eventReader  *journal.Reader
	intentReader *journal.Reader
	// orderReader is set by followOrders, before Run.
	orderReader *journal.Reader
	log         *platformclient.Client
	dataCentre  string
	// apply is called with each event that is read from the log and its offset. It is set before Run.
	apply   func(offset int64, ev *programv1.Event)
	shardOf func(program string) int

	mu sync.Mutex
	// markerTerms holds, for each shard, the term of the newest marker that was read from the log.
	markerTerms map[int]uint64
}

func newStreams(log *platformclient.Client, self member.Instance, appends float64, onIntent func(id string)) *streams {
	s := &streams{metrics: journal.NewMetrics(), index: intent.NewIndex(onIntent), markerTerms: map[int]uint64{}, log: log, dataCentre: self.DataCentre}
	id := journal.WriterID{Instance: self.ID, Incarnation: self.Incarnation}
	events, intents := "journal/"+self.DataCentre, "intents/"+self.DataCentre
	// The writers share one rate limiter, so that any of them may use the instance's whole rate of appends.
	appendLimiter := journal.NewAppendLimiter()
	s.events = journal.NewWriter(log, events, id, journal.WithMetrics(s.metrics), journal.WithLinger(linger),
		journal.WithAppendBudget(appends), journal.WithBurst(appendBurst), journal.WithAppendLimiter(appendLimiter))
	s.intents = journal.NewWriter(log, intents, id, journal.WithMetrics(s.metrics), journal.WithLinger(linger),
		journal.WithAppendBudget(appends), journal.WithBurst(appendBurst), journal.WithAppendLimiter(appendLimiter))
	s.orders = journal.NewWriter(log, ordersStream(self.DataCentre), id, journal.WithMetrics(s.metrics),
		journal.WithAppendBudget(appends), journal.WithBurst(appendBurst), journal.WithAppendLimiter(appendLimiter))
	s.eventReader = journal.NewReader(log, events, s, journal.WithReaderMetrics(s.metrics), journal.WithMinReadInterval(minReadInterval))
	s.intentReader = journal.NewReader(log, intents, s.index, journal.WithReaderMetrics(s.metrics), journal.WithMinReadInterval(minReadInterval))
	return s
}

func ordersStream(dataCentre string) string { return "orders/" + dataCentre }

// followOrders makes h the handler of the stream of orders.
func (s *streams) followOrders(h journal.Handler) {
	s.orderReader = journal.NewReader(s.log, ordersStream(s.dataCentre), h, journal.WithReaderMetrics(s.metrics))
}

// setWriters adapts the commit window to the number of instances that share the log.
func (s *streams) setWriters(instances int) {
	s.events.SetWriterCount(instances)
	s.intents.SetWriterCount(instances)
	s.orders.SetWriterCount(instances)
}

// Collectors returns the metrics of the journal.
func (s *streams) Collectors() []prometheus.Collector { return s.metrics.Collectors() }

// Run reads the streams until ctx is done.
func (s *streams) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.eventReader.Run(ctx) })
	g.Go(func() error { return s.intentReader.Run(ctx) })
	g.Go(func() error { return s.orderReader.Run(ctx) })
	return g.Wait()
}

// WaitCaughtUp waits until the streams of events and intents have been read to their ends.
func (s *streams) WaitCaughtUp(ctx context.Context) error {
	if err := s.eventReader.WaitCaughtUp(ctx); err != nil {
		return err
	}
	return s.intentReader.WaitCaughtUp(ctx)
}

// Append implements ledger.Log.
func (s *streams) Append(ctx context.Context, ev *programv1.Event) error {
	_, err := s.append(ctx, ev)
	return err
}

func (s *streams) append(ctx context.Context, ev *programv1.Event) (journal.Position, error) {
	rec, err := recordOf(ev)
	if err != nil {
		return journal.Position{}, err
	}
	return s.events.Append(ctx, rec)
}

func recordOf(ev *programv1.Event) (*journalv1.Record, error) {
	raw, err := proto.Marshal(ev)
	if err != nil {
		return nil, errors.Wrap(err, "encoding an event")
	}
	return &journalv1.Record{Kind: kindProgram, Key: ev.Program, Payload: raw, UnixMs: ev.UnixMs}, nil
}

// Enqueue implements ledger.Log.
func (s *streams) Enqueue(ev *programv1.Event) error {
	rec, err := recordOf(ev)
	if err != nil {
		return err
	}
	return s.events.Enqueue(rec)
}

// errSuperseded means that the log contains a marker of a newer term.
var errSuperseded = errors.New("a newer term is marked on the log")

// AppendAsWitness implements ledger.Log.
func (s *streams) AppendAsWitness(ctx context.Context, shard int, ev *programv1.Event) error {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	pos, err := s.append(ctx, ev)
	if err != nil {
		return err
	}
	if err := s.eventReader.WaitFor(ctx, pos.Offset); err != nil {
		return err
	}
	if s.markerTerm(shard) > ev.Term {
		return errSuperseded
	}
	return nil
}

// AppendMarker implements ledger.Log.
func (s *streams) AppendMarker(ctx context.Context, shard int, term uint64) error {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	pos, err := s.append(ctx, &programv1.Event{Term: term, Body: &programv1.Event_Marker{Marker: &programv1.Marker{Part: int32(shard)}}})
	if err != nil {
		return err
	}
	if err := s.eventReader.WaitFor(ctx, pos.Offset); err != nil {
		return err
	}
	if s.markerTerm(shard) > term {
		return errSuperseded
	}
	return nil
}

// WaitRead implements ledger.Log.
func (s *streams) WaitRead(ctx context.Context, offset int64) error {
	return s.eventReader.WaitFor(ctx, offset-1)
}

// markerTerm returns the term of the newest marker of a shard.
func (s *streams) markerTerm(shard int) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.markerTerms[shard]
}

func (s *streams) setMarkerTerm(shard int, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markerTerms[shard] = max(s.markerTerms[shard], term)
}

// Apply implements journal.Handler for the stream of events.
func (s *streams) Apply(pos journal.Position, rec *journalv1.Record) {
	if rec.Kind != kindProgram {
		return
	}
	ev := &programv1.Event{}
	if err := proto.Unmarshal(rec.Payload, ev); err != nil {
		klog.ErrorS(err, "Failed to decode an event from the log", "program", rec.Key)
		return
	}
	if m := ev.GetMarker(); m != nil {
		s.setMarkerTerm(int(m.Part), ev.Term)
		return
	}
	if ev.Term < s.markerTerm(s.shardOf(ev.Program)) {
		klog.InfoS("Ignored an event of a replaced holder", "program", ev.Program, "term", ev.Term)
		return
	}
	s.apply(pos.Offset, ev)
}

// Gap implements journal.Handler. The events of live programs are appended again before they expire, so a gap at the
// start contains only events of programs that have ended.
func (s *streams) Gap(g journal.Gap) {
	if !g.AtStart {
		klog.ErrorS(nil, "Events expired before they were read", "from", g.From, "first", g.To)
	}
}

// Drain waits until all queued records are on the log.
func (s *streams) Drain(ctx context.Context) error {
	return errors.Join(s.events.Drain(ctx), s.intents.Drain(ctx), s.orders.Drain(ctx))
}
