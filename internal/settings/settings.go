// Package settings reads the settings file of the daemon.
package settings

import (
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Duration is a time.Duration written with its unit, for example "500ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return errors.Newf("%q is not a duration with a unit, such as \"500ms\" or \"10s\"", b)
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Settings are the settings of one instance. A process learns its addresses and data centre from here.
type Settings struct {
	Instance   Instance   `toml:"instance"`
	Listen     Listen     `toml:"listen"`
	Platform   Platform   `toml:"platform"`
	Peers      Peers      `toml:"peers"`
	Timing     Timing     `toml:"timing"`
	Scheduling Scheduling `toml:"scheduling"`
	Log        Log        `toml:"log"`
	Faults     Faults     `toml:"faults"`
}

// Instance places the daemon.
type Instance struct {
	// ID is unique among the running instances.
	ID string `toml:"id"`
	// DataCentre is the daemon's data centre; it must be among DataCentres.
	DataCentre string `toml:"data_centre"`
	// DataCentres lists all data centres of the site.
	DataCentres []string `toml:"data_centres"`
	// Slot is the daemon's place in its data centre's cell, from 0.
	Slot int `toml:"slot"`
	// CellSlots is the number of slots of the data centre's cell, 1 to 7.
	CellSlots int `toml:"cell_slots"`
}

// Listen holds the addresses that the daemon binds and tells others.
type Listen struct {
	// Callers is the host:port of the HTTP server.
	Callers string `toml:"callers"`
	// Peers is the host:port of the gRPC server for other instances and operators.
	Peers string `toml:"peers"`
	// AdvertiseCallers and AdvertisePeers are told to others where they differ from what is bound.
	AdvertiseCallers string `toml:"advertise_callers"`
	AdvertisePeers   string `toml:"advertise_peers"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	// Log is the base URL of the log service.
	Log string `toml:"log"`
	// Instances is the base URL of the instance list.
	Instances string `toml:"instances"`
}

// Peers names instances that are asked for the others at the start, beside the platform's list.
type Peers struct {
	Seeds []string `toml:"seeds"`
}

// Timing bounds waits.
type Timing struct {
	// Lease is how long a holder keeps a part without an answer of its cell.
	Lease Duration `toml:"lease"`
	// Margin allows for the drift of clocks over a lease.
	Margin Duration `toml:"margin"`
	// Heartbeat is the pause between two heartbeats within a cell.
	Heartbeat Duration `toml:"heartbeat"`
	// ClaimWindow is how long a cell remembers claims, and how long a slot that starts without what its predecessor
	// knew abstains from votes on claims.
	ClaimWindow Duration `toml:"claim_window"`
	// FirstToken bounds the wait for an engine's first token.
	FirstToken Duration `toml:"first_token"`
	// Progress bounds the wait between two tokens.
	Progress Duration `toml:"progress"`
	// Shutdown bounds a graceful shutdown.
	Shutdown Duration `toml:"shutdown"`
}

// Scheduling chooses the policy.
type Scheduling struct {
	// Policy is "berylpond", "least-loaded" or "fifo-round-robin".
	Policy string `toml:"policy"`
}

// Log sets the daemon's own log.
type Log struct {
	// Verbosity is klog's level, from 0.
	Verbosity int `toml:"verbosity"`
}

// Faults arms failpoints. For tests only.
type Faults struct {
	Failpoints string `toml:"failpoints"`
	// PanicOnViolation ends the process when an invariant is violated.
	PanicOnViolation bool `toml:"panic_on_violation"`
}

// Default returns the settings that a file may leave out.
func Default() Settings {
	return Settings{
		Instance: Instance{CellSlots: 1},
		Timing: Timing{
			Lease: Duration(2 * time.Second), Margin: Duration(200 * time.Millisecond), Heartbeat: Duration(500 * time.Millisecond),
			ClaimWindow: Duration(time.Minute), FirstToken: Duration(20 * time.Second), Progress: Duration(5 * time.Second),
			Shutdown: Duration(30 * time.Second),
		},
		Scheduling: Scheduling{Policy: "berylpond"},
	}
}

// Load reads and checks the settings file at path.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	return s, errors.Wrapf(err, "%s", path)
}

// Parse decodes and checks settings; every problem is reported at once.
func Parse(data []byte) (Settings, error) {
	s := Default()
	dec := toml.NewDecoder(strings.NewReader(string(data)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return s, explain(err)
	}
	return s, s.Check()
}

func explain(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var ps []string
		for _, e := range strict.Errors {
			row, _ := e.Position()
			ps = append(ps, "line "+strconv.Itoa(row)+": unknown key "+strings.Join(e.Key(), "."))
		}
		return errors.New(strings.Join(ps, "\n"))
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, _ := de.Position()
		return errors.Newf("line %d: %s: %s", row, strings.Join(de.Key(), "."), de.Error())
	}
	return err
}

// Check returns every problem of the settings.
func (s Settings) Check() error {
	var ps problems
	ps.need(s.Instance.ID != "", "instance.id is missing")
	ps.need(s.Instance.DataCentre != "", "instance.data_centre is missing")
	ps.need(!strings.Contains(s.Instance.DataCentre, "_"), "instance.data_centre must not hold \"_\"")
	ps.need(slices.Contains(s.Instance.DataCentres, s.Instance.DataCentre), "instance.data_centres must list instance.data_centre")
	ps.need(s.Instance.CellSlots >= 1 && s.Instance.CellSlots <= maxCellSlots, "instance.cell_slots must be 1 to 7")
	ps.need(s.Instance.Slot >= 0 && s.Instance.Slot < s.Instance.CellSlots, "instance.slot must be from 0 to cell_slots-1")
	ps.addr("listen.callers", s.Listen.Callers)
	ps.addr("listen.peers", s.Listen.Peers)
	for _, a := range s.Peers.Seeds {
		ps.addr("peers.seeds", a)
	}
	ps.need(s.Platform.Log != "", "platform.log is missing")
	ps.need(s.Platform.Instances != "", "platform.instances is missing")
	ps.timing(s.Timing)
	switch s.Scheduling.Policy {
	case "berylpond", "least-loaded", "fifo-round-robin":
	default:
		ps.need(false, "scheduling.policy must be \"berylpond\", \"least-loaded\" or \"fifo-round-robin\"")
	}
	if len(ps) == 0 {
		return nil
	}
	return errors.New(strings.Join(ps, "\n"))
}

// maxCellSlots is the largest cell: beyond it heartbeats cost more than they add.
const maxCellSlots = 7

type problems []string

func (p *problems) need(ok bool, text string) {
	if !ok {
		*p = append(*p, text)
	}
}

func (p *problems) addr(key, addr string) {
	host, port, err := net.SplitHostPort(addr)
	p.need(err == nil && port != "", key+" must be host:port, not "+strconv.Quote(addr))
	p.need(err != nil || net.ParseIP(host) != nil, key+" must name its host by IP number, not "+strconv.Quote(host))
}

func (p *problems) timing(t Timing) {
	p.need(t.Heartbeat > 0, "timing.heartbeat must be above 0")
	p.need(t.Lease >= 2*t.Heartbeat, "timing.lease must be at least twice timing.heartbeat")
	p.need(t.Margin > 0, "timing.margin must be above 0")
	p.need(t.FirstToken > 0 && t.Progress > 0, "timing.first_token and timing.progress must be above 0")
	p.need(t.ClaimWindow > 0, "timing.claim_window must be above 0")
	p.need(t.Shutdown > 0, "timing.shutdown must be above 0")
}
