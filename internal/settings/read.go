package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylpond/berylpond/internal/tomlfile"
)

// Problems holds all errors of a settings file, ordered by line.
type Problems = tomlfile.Problems

// Load reads and validates the settings file at path. The error is of type Problems unless the file can't be read.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	var ps Problems
	if errors.As(err, &ps) {
		return s, ps.WithFile(path)
	}
	return s, err
}

// Parse decodes and validates settings. The error is of type Problems and holds all problems.
func Parse(data []byte) (Settings, error) {
	s := Default()
	r, err := tomlfile.NewReader(data)
	if err != nil {
		return s, err
	}
	r.Read(s.read)
	checker{r}.check(&s)
	return s, r.Err()
}

func (s *Settings) read(t tomlfile.Table) {
	t.Table("instance", s.Instance.read)
	t.Table("listen", s.Listen.read)
	t.Table("platform", s.Platform.read)
	t.Table("peers", func(t tomlfile.Table) { s.Peers.Seeds = t.Strings("seeds") })
	t.Table("timing", s.Timing.read)
	t.Table("scheduling", func(t tomlfile.Table) { readString(t, "policy", &s.Scheduling.Policy) })
	t.Table("log", func(t tomlfile.Table) { readCount(t, "verbosity", &s.Log.Verbosity) })
	t.Table("faults", func(t tomlfile.Table) {
		readString(t, "failpoints", &s.Faults.Failpoints)
		s.Faults.PanicOnViolation = t.Bool("panic_on_violation")
	})
}

func (i *Instance) read(t tomlfile.Table) {
	readString(t, "id", &i.ID)
	readString(t, "data_centre", &i.DataCentre)
	i.DataCentres = t.Strings("data_centres")
	readCount(t, "slot", &i.Slot)
	readCount(t, "cell_slots", &i.CellSlots)
}

func (l *Listen) read(t tomlfile.Table) {
	readString(t, "callers", &l.Callers)
	readString(t, "peers", &l.Peers)
	readString(t, "advertise_callers", &l.AdvertiseCallers)
	readString(t, "advertise_peers", &l.AdvertisePeers)
	readString(t, "debug", &l.Debug)
}

func (p *Platform) read(t tomlfile.Table) {
	readString(t, "log", &p.LogURL)
	readString(t, "instances", &p.InstancesURL)
	readCount(t, "appends", &p.AppendRate)
	readDuration(t, "retention", &p.Retention)
}

func (g *Timing) read(t tomlfile.Table) {
	readDuration(t, "lease", &g.Lease)
	readDuration(t, "margin", &g.ClockMargin)
	readDuration(t, "heartbeat", &g.Heartbeat)
	readDuration(t, "claim_window", &g.ClaimWindow)
	readDuration(t, "first_token", &g.FirstTokenTimeout)
	readDuration(t, "progress", &g.TokenTimeout)
	readDuration(t, "shutdown", &g.Shutdown)
}

// readString keeps the default value if the key is missing.
func readString(t tomlfile.Table, key string, dst *string) {
	if text := t.String(key, false); text != "" {
		*dst = text
	}
}

func readCount(t tomlfile.Table, key string, dst *int) { *dst = int(t.Int(key, 0, int64(*dst))) }

func readDuration(t tomlfile.Table, key string, dst *Duration) {
	*dst = Duration(t.Duration(key, time.Duration(*dst)))
}
