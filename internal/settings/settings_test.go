package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/pelletier/go-toml/v2"
)

const good = `
[instance]
id = "giza-0"
data_centre = "giza"
data_centres = ["giza", "nasr"]
slot = 0
cell_slots = 3
[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:7080"
[platform]
log = "http://127.0.0.1:9000"
instances = "http://127.0.0.1:9001"
[timing]
lease = "3s"
`

func TestParseGood(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(good))
	is.NoErr(err)
	is.Equal(time.Duration(s.Timing.Lease), 3*time.Second)
	is.Equal(time.Duration(s.Timing.Heartbeat), 500*time.Millisecond) // default
}

func TestParseReportsEveryProblem(t *testing.T) {
	for name, tc := range map[string]struct {
		text string
		want []string
	}{
		"unknown keys": {good + "leese = \"3s\"\n[instnace]\nx = 1\n", []string{
			`line 16: timing.leese: unknown key`, `line 17: instnace: unknown key`}},
		"bad duration": {strings.Replace(good, `"3s"`, `"3"`, 1), []string{
			`line 15: timing.lease: must be a time above zero with its unit, such as "30s" or "1h30m", not 3`}},
		"short lease": {strings.Replace(good, `"3s"`, `"100ms"`, 1), []string{
			`line 15: timing.lease: must be at least twice timing.heartbeat`}},
		"decoding and checks together": {strings.NewReplacer(`id = "giza-0"`, "", "slot = 0", "slot = 3", `"3s"`, "3").Replace(good), []string{
			`line 2: instance.id: is missing`, `line 6: instance.slot: must be from 0 to cell_slots-1`,
			`line 15: timing.lease: must be a time above zero with its unit, such as "30s" or "1h30m", not 3`}},
		"host name instead of IP": {strings.Replace(good, "127.0.0.1:8080", "localhost:8080", 1), []string{
			`line 9: listen.callers: must name its host by IP number, not "localhost"`}},
		"data centre not listed": {strings.Replace(good, `data_centre = "giza"`, `data_centre = "cairo"`, 1), []string{
			`line 5: instance.data_centres: must list instance.data_centre`}},
		"unspecified address": {strings.Replace(good, "127.0.0.1:7080", "0.0.0.0:7080", 1), []string{
			`line 8: listen.advertise_peers: must name one address that others can reach, since the listener takes all addresses`}},
		"invalid URL": {strings.Replace(good, "http://127.0.0.1:9000", "127.0.0.1:9000", 1), []string{
			`line 12: platform.log: must be a URL such as "http://10.0.0.1:9000", not "127.0.0.1:9000"`}},
		"bad seed": {good + "[peers]\nseeds = [\"10.0.0.1:7080\", \"10.0.0.2\"]\n", []string{
			`line 17: peers.seeds[1]: must be host:port, not "10.0.0.2"`}},
		"policy": {good + "[scheduling]\npolicy = \"best\"\n", []string{
			`line 17: scheduling.policy: must be one of berylpond, least-loaded, fifo-round-robin`}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(tc.text))
			is.True(err != nil)
			is.Equal(err.Error(), strings.Join(tc.want, "\n"))
		})
	}
}

func TestSyntaxErrorHasLine(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte("[instance]\nid = giza\n"))
	var ps Problems
	is.True(errors.As(err, &ps))
	is.Equal(len(ps), 1)
	is.Equal(ps[0].Line, 2)
}

func TestLoadErrorHasFileName(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "b.toml")
	is.NoErr(os.WriteFile(path, []byte(strings.Replace(good, "slot = 0", "slot = 9", 1)), 0o600))
	_, err := Load(path)
	is.Equal(err.Error(), path+":6: instance.slot: must be from 0 to cell_slots-1")
}

func TestDefaultsLackOnlyInstanceSettings(t *testing.T) {
	is := is.New(t)
	var ps Problems
	is.True(errors.As(Default().Check(), &ps))
	var missing []string
	for _, p := range ps {
		missing = append(missing, p.Path)
	}
	is.Equal(missing, []string{"instance.id", "instance.data_centre", "instance.data_centres", "listen.callers",
		"listen.peers", "platform.log", "platform.instances"})
}

func TestExampleParses(t *testing.T) {
	is := is.New(t)
	s, err := Load(filepath.Join("..", "..", "examples", "berylpondd.toml"))
	is.NoErr(err)
	d := Default()
	is.Equal(s.Timing, d.Timing) // the example shows the defaults
	is.Equal(s.Scheduling, d.Scheduling)
	is.Equal(s.Instance.CellSlots, 3)
}

func TestEncodedSettingsRoundTrip(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(good))
	is.NoErr(err)
	s.Listen.AdvertisePeers, s.Peers.Seeds = "10.0.0.1:7080", []string{"10.0.0.2:7080"}
	s.Faults.PanicOnViolation, s.Log.Verbosity = true, 2
	written, err := toml.Marshal(s)
	is.NoErr(err)
	back, err := Parse(written)
	is.NoErr(err)
	is.Equal(back, s)
	plain, err := toml.Marshal(mustParse(t, good)) // optional keys left out
	is.NoErr(err)
	_, err = Parse(plain)
	is.NoErr(err)
}

func mustParse(t *testing.T, text string) Settings {
	t.Helper()
	s, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestOperationsPageListsEveryKey checks that the operations page lists all settings keys.
func TestOperationsPageListsEveryKey(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	is.NoErr(err)
	groups := reflect.TypeFor[Settings]()
	for i := range groups.NumField() {
		group := groups.Field(i)
		if group.Name == "Faults" {
			continue // for tests only
		}
		for j := range group.Type.NumField() {
			key := tagName(group) + "." + tagName(group.Type.Field(j))
			if !strings.Contains(string(page), "`"+key+"`") {
				t.Errorf("%s is not on the page", key)
			}
		}
	}
}

func tagName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	return name
}
