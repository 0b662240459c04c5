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
	"github.com/berylpond/berylpond/internal/platform"
)

// kindProgram is the kind of journal records that hold an event of a program.
const kindProgram = "program"

const (
	// lazyDelay is how long bookkeeping waits to go on the log with other records.
	lazyDelay = 20 * time.Millisecond
	// appendBurst is the number of appends of the instance that may go at once after an idle time.
	appendBurst = 8
	// readPace is the least time between two reads of a stream. Nothing waits for what is read but a late start, a
	// take-over in an even cell and the memory of held events.
	readPace = 50 * time.Millisecond
)

// voteTimeout bounds the wait for the log where its vote is needed.
const voteTimeout = 2 * time.Second

// streams writes and follows the streams of the data centre: events of programs, intents, and orders to engines.
type streams struct {
	metrics *journal.Metrics
	index   *intent.Index
	events  *journal.Writer
	intents *journal.Writer
	orders  *journal.Writer
	eventR  *journal.Reader
	intentR *journal.Reader
	// orderR is set by followOrders, before Run.
	orderR *journal.Reader
	log    *platform.Client
	dc     string
	// apply takes each event read from the log; it is set before Run.
	apply  func(*programv1.Event)
	partOf func(program string) int

	mu sync.Mutex
	// marks holds the newest marker's term of each part, as far as the log was read.
	marks map[int]uint64
}

func newStreams(log *platform.Client, self member.Instance, appends float64, onIntent func(id string)) *streams {
	s := &streams{metrics: journal.NewMetrics(), index: intent.NewIndex(onIntent), marks: map[int]uint64{}, log: log, dc: self.DataCentre}
	id := journal.WriterID{Instance: self.ID, Incarnation: self.Incarnation}
	events, intents := "journal/"+self.DataCentre, "intents/"+self.DataCentre
	// The instance's writers share its part of the log's appends, whichever of them is busy.
	pace := journal.NewPace()
	s.events = journal.New(log, events, id, journal.WithMetrics(s.metrics), journal.WithLazyDelay(lazyDelay),
		journal.WithAppendBudget(appends), journal.WithBurst(appendBurst), journal.WithSharedPace(pace))
	s.intents = journal.New(log, intents, id, journal.WithMetrics(s.metrics), journal.WithLazyDelay(lazyDelay),
		journal.WithAppendBudget(appends), journal.WithBurst(appendBurst), journal.WithSharedPace(pace))
	s.orders = journal.New(log, ordersStream(self.DataCentre), id, journal.WithMetrics(s.metrics),
		journal.WithAppendBudget(appends), journal.WithBurst(appendBurst), journal.WithSharedPace(pace))
	s.eventR = journal.NewReader(log, events, s, journal.WithReaderMetrics(s.metrics), journal.WithPace(readPace))
	s.intentR = journal.NewReader(log, intents, s.index, journal.WithReaderMetrics(s.metrics), journal.WithPace(readPace))
	return s
}

func ordersStream(dc string) string { return "orders/" + dc }

// followOrders passes the stream of orders to h.
func (s *streams) followOrders(h journal.Handler) {
	s.orderR = journal.NewReader(s.log, ordersStream(s.dc), h, journal.WithReaderMetrics(s.metrics))
}

// setWriters fits the commit window to the number of instances that share the log.
func (s *streams) setWriters(instances int) {
	s.events.SetWriters(instances)
	s.intents.SetWriters(instances)
	s.orders.SetWriters(instances)
}

// Collectors returns the metrics of the journal.
func (s *streams) Collectors() []prometheus.Collector { return s.metrics.Collectors() }

// Run follows the streams.
func (s *streams) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.eventR.Run(ctx) })
	g.Go(func() error { return s.intentR.Run(ctx) })
	g.Go(func() error { return s.orderR.Run(ctx) })
	return g.Wait()
}

// WaitCaughtUp waits until both streams were read to their ends.
func (s *streams) WaitCaughtUp(ctx context.Context) error {
	if err := s.eventR.WaitCaughtUp(ctx); err != nil {
		return err
	}
	return s.intentR.WaitCaughtUp(ctx)
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

// errSuperseded means that a newer term was marked on the log.
var errSuperseded = errors.New("a newer term is marked on the log")

// Vote implements ledger.Log.
func (s *streams) Vote(ctx context.Context, part int, ev *programv1.Event) error {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	pos, err := s.append(ctx, ev)
	if err != nil {
		return err
	}
	if err := s.eventR.WaitFor(ctx, pos.Offset); err != nil {
		return err
	}
	if s.mark(part) > ev.Term {
		return errSuperseded
	}
	return nil
}

// Mark implements ledger.Log.
func (s *streams) Mark(ctx context.Context, part int, term uint64) error {
	ctx, cancel := context.WithTimeout(ctx, voteTimeout)
	defer cancel()
	pos, err := s.append(ctx, &programv1.Event{Term: term, Body: &programv1.Event_Marker{Marker: &programv1.Marker{Part: int32(part)}}})
	if err != nil {
		return err
	}
	if err := s.eventR.WaitFor(ctx, pos.Offset); err != nil {
		return err
	}
	if s.mark(part) > term {
		return errSuperseded
	}
	return nil
}

// mark returns the newest marker's term of a part.
func (s *streams) mark(part int) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.marks[part]
}

func (s *streams) setMark(part int, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.marks[part] = max(s.marks[part], term)
}

// Apply implements journal.Handler for the stream of events.
func (s *streams) Apply(_ journal.Position, rec *journalv1.Record) {
	if rec.Kind != kindProgram {
		return
	}
	ev := &programv1.Event{}
	if err := proto.Unmarshal(rec.Payload, ev); err != nil {
		klog.ErrorS(err, "Event in the log cannot be decoded", "program", rec.Key)
		return
	}
	if m := ev.GetMarker(); m != nil {
		s.setMark(int(m.Part), ev.Term)
		return
	}
	if ev.Term < s.mark(s.partOf(ev.Program)) {
		klog.InfoS("Event of a replaced holder is passed over", "program", ev.Program, "term", ev.Term)
		return
	}
	s.apply(ev)
}

// Gap implements journal.Handler. Live programs are appended again before their events expire, so what is lost at the
// start belongs to programs that have ended.
func (s *streams) Gap(g journal.Gap) {
	if !g.AtStart {
		klog.ErrorS(nil, "Events expired before they were read", "from", g.From, "first", g.First)
	}
}

// Drain waits until everything queued is on the log.
func (s *streams) Drain(ctx context.Context) error {
	return errors.Join(s.events.Drain(ctx), s.intents.Drain(ctx), s.orders.Drain(ctx))
}
