package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/berylpond/berylpond/internal/tomlfile"
)

// Problems holds every error of a settings file, ordered by line.
type Problems = tomlfile.Problems

// Load reads and checks the settings file at path. The error is Problems unless the file could not be read.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	var ps Problems
	if errors.As(err, &ps) {
		return s, ps.In(path)
	}
	return s, err
}

// Parse decodes and checks settings. The error is Problems and holds every problem that was found.
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
	t.Table("peers", func(t tomlfile.Table) { s.Peers.Seeds = t.Texts("seeds") })
	t.Table("timing", s.Timing.read)
	t.Table("scheduling", func(t tomlfile.Table) { readText(t, "policy", &s.Scheduling.Policy) })
	t.Table("log", func(t tomlfile.Table) { readCount(t, "verbosity", &s.Log.Verbosity) })
	t.Table("faults", func(t tomlfile.Table) {
		readText(t, "failpoints", &s.Faults.Failpoints)
		s.Faults.PanicOnViolation = t.Flag("panic_on_violation")
	})
}

func (i *Instance) read(t tomlfile.Table) {
	readText(t, "id", &i.ID)
	readText(t, "data_centre", &i.DataCentre)
	i.DataCentres = t.Texts("data_centres")
	readCount(t, "slot", &i.Slot)
	readCount(t, "cell_slots", &i.CellSlots)
}

func (l *Listen) read(t tomlfile.Table) {
	readText(t, "callers", &l.Callers)
	readText(t, "peers", &l.Peers)
	readText(t, "advertise_callers", &l.AdvertiseCallers)
	readText(t, "advertise_peers", &l.AdvertisePeers)
	readText(t, "debug", &l.Debug)
}

func (p *Platform) read(t tomlfile.Table) {
	readText(t, "log", &p.Log)
	readText(t, "instances", &p.Instances)
	readCount(t, "appends", &p.Appends)
	readDuration(t, "retention", &p.Retention)
}

func (g *Timing) read(t tomlfile.Table) {
	readDuration(t, "lease", &g.Lease)
	readDuration(t, "margin", &g.Margin)
	readDuration(t, "heartbeat", &g.Heartbeat)
	readDuration(t, "claim_window", &g.ClaimWindow)
	readDuration(t, "first_token", &g.FirstToken)
	readDuration(t, "progress", &g.Progress)
	readDuration(t, "shutdown", &g.Shutdown)
}

// readText keeps the default where the key is absent.
func readText(t tomlfile.Table, key string, into *string) {
	if text := t.Text(key, false); text != "" {
		*into = text
	}
}

func readCount(t tomlfile.Table, key string, into *int) { *into = int(t.Count(key, 0, int64(*into))) }

func readDuration(t tomlfile.Table, key string, into *Duration) {
	*into = Duration(t.Duration(key, time.Duration(*into)))
}
