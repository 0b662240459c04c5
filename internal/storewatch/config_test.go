package storewatch

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"github.com/berylpond/berylpond/internal/configcheck"
	"github.com/berylpond/berylpond/platform"
)

// checkedFiles holds the configurations of the examples of "berylctl platform check".
const checkedFiles = "../../platform/testdata/check"

func readChecked(t *testing.T, name string) string {
	b, err := os.ReadFile(filepath.Join(checkedFiles, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// checkErrors counts the errors that "berylctl platform check" finds.
func checkErrors(t *testing.T, raw string) int {
	f, err := platform.ParseConfig([]byte(raw))
	if err != nil {
		var e *platform.ConfigError
		if !errors.As(err, &e) {
			t.Fatal(err)
		}
		return 1
	}
	return configcheck.Errors(f.Configuration).Total
}

// An instance puts into force exactly what the operator's check finds no error in: what the check refuses must not have
// been in force anywhere, and what it lets pass must not be ignored anywhere.
func TestInstancesAndTheCheckAgreeOnWhatIsValid(t *testing.T) {
	good := readChecked(t, "old.json")
	for _, tc := range []struct {
		name, before, after string
		valid               bool
	}{
		{"unchanged", "", "", true},
		{"an unknown field of a newer platform", `"version": 41`, `"version": 41, "shape": {"a": [1]}`, true},
		{"a misspelt field", `"ratePerS"`, `"ratePerSec"`, true},
		{"an unknown kind", `"idempotent"`, `"twice"`, true},
		{"a route that never matches", `"/status/"`, `"/chat/"`, true},
		{"an objective above the timeout", `"goalMs": 150`, `"goalMs": 15000`, true},
		{"an account without keys", `["example-key-3"]`, `[]`, true},
		{"no limit of bodies", `"bodyBytes": 4194304, `, ``, true},
		{"truncated", good[100:], "", false},
		{"a mistyped field", `"timeoutMs": 5000`, `"timeoutMs": "5 s"`, false},
		{"a timeout of zero", `"timeoutMs": 5000`, `"timeoutMs": 0`, false},
		{"a missing timeout", `"timeoutMs": 5000, `, ``, false},
		{"a prefix without its slash", `"/status/"`, `"/status"`, false},
		{"a service that does not exist", `"service": "kiosks"`, `"service": "kiosk"`, false},
		{"a key of two accounts", `["example-key-3"]`, `["example-key-1"]`, false},
		{"two accounts of one name", `"refunds"`, `"lockers"`, false},
		{"two services of one name", `"name": "kiosks"`, `"name": "models"`, false},
		{"two routes of one name", `"name": "status"`, `"name": "chat"`, false},
		{"a negative rate", `"ratePerS": 260`, `"ratePerS": -260`, false},
		{"a negative body limit", `"bodyBytes": 4194304`, `"bodyBytes": -1`, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			raw := strings.Replace(good, tc.before, tc.after, 1)
			is.Equal(checkErrors(t, raw) == 0, tc.valid)
			w := NewConfigWatcher(nil, NewEvacuations(func([]string) {}), Hooks{OnChange: func() {}})
			w.Apply([]byte(strings.Replace(good, `"version": 41`, `"version": 40`, 1)))
			is.Equal(w.Current().Version, int64(40))
			w.Apply([]byte(raw))
			is.Equal(w.Current().Version == 41, tc.valid)
		})
	}
}

func count(t *testing.T, m *Metrics, reason string) float64 {
	var d dto.Metric
	if err := m.configurations.WithLabelValues(reason).Write(&d); err != nil {
		t.Fatal(err)
	}
	return d.GetCounter().GetValue()
}

func TestAnInvalidConfigurationKeepsTheVersionInForce(t *testing.T) {
	is := is.New(t)
	changes := 0
	m := NewMetrics(prometheus.NewRegistry())
	w := NewConfigWatcher(nil, NewEvacuations(func([]string) {}), Hooks{OnChange: func() { changes++ }, Metrics: m})
	good := readChecked(t, "old.json")
	w.Apply([]byte(good))
	w.Apply([]byte(readChecked(t, "new.json")))
	is.Equal(w.Current().Version, int64(41))
	w.Apply([]byte(readChecked(t, "new.json"))) // again, as a peer of another build sends it with each response
	is.Equal(changes, 1)
	is.Equal(count(t, m, ignoredInvalid), 1.0)
	w.Apply([]byte(good[:100]))
	is.Equal(w.Current().Version, int64(41))
	is.Equal(count(t, m, ignoredUndecodable), 1.0)
	w.Apply([]byte(strings.Replace(good, `"version": 41`, `"version": 43`, 1)))
	is.Equal(w.Current().Version, int64(43)) // a later valid one is not held up
	is.Equal(changes, 2)
}

// Guards against a wrong entry keeping all instances that start from serving at all.
func TestAnInvalidConfigurationIsServedForLackOfAnother(t *testing.T) {
	is := is.New(t)
	w := NewConfigWatcher(nil, NewEvacuations(func([]string) {}), Hooks{OnChange: func() {}})
	good := readChecked(t, "old.json")
	w.Apply([]byte(good[:100]))
	is.Equal(w.Current(), nil)
	w.Apply([]byte(strings.Replace(good, `"timeoutMs": 5000`, `"timeoutMs": 0`, 1)))
	is.Equal(w.Current().Version, int64(41))
}
