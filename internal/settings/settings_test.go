package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
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
		"unknown keys":  {good + "leese = \"3s\"\n[instnace]\nx = 1\n", []string{"line 16", "leese", "instnace"}},
		"bad duration":  {strings.Replace(good, `"3s"`, `"3"`, 1), []string{"line 15", "not a duration"}},
		"short lease":   {strings.Replace(good, `"3s"`, `"100ms"`, 1), []string{"timing.lease"}},
		"two problems":  {strings.NewReplacer(`id = "giza-0"`, "", "slot = 0", "slot = 3").Replace(good), []string{"instance.id", "instance.slot"}},
		"host by name":  {strings.Replace(good, "127.0.0.1:8080", "localhost:8080", 1), []string{"by IP number"}},
		"foreign place": {strings.Replace(good, `data_centre = "giza"`, `data_centre = "cairo"`, 1), []string{"data_centres"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(tc.text))
			is.True(err != nil)
			for _, w := range tc.want {
				is.True(strings.Contains(err.Error(), w)) // the message names the problem
			}
		})
	}
}
