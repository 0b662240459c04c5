// Package tomlfile decodes TOML documents written by operators. Unlike other decoders it does not stop at the first
// problem: it reports all problems of a document, each with its line and key.
package tomlfile

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
)

// Table reads the values of one TOML table. Invalid values are added to the Reader's problems and reading continues.
// Finish adds a problem for each unknown key.
type Table struct {
	r         *Reader
	path      string
	values    map[string]any
	requested map[string]bool
}

func (r *Reader) table(path string, values map[string]any) Table {
	return Table{r: r, path: path, values: values, requested: map[string]bool{}}
}

// Finish adds a problem for each key that has not been requested. Reader.Read, EachTable and Table call it.
func (t Table) Finish() {
	for k := range t.values {
		if !t.requested[k] {
			t.r.AddProblem(Join(t.path, k), "unknown key")
		}
	}
}

// value returns the value of a key and marks the key as requested. It adds a problem if a required key is missing.
func (t Table) value(key string, required bool) (any, bool) {
	t.requested[key] = true
	v, ok := t.values[key]
	if !ok && required {
		t.r.AddProblem(t.path, "%q is missing", key)
	}
	return v, ok
}

// AddProblem adds a problem with one of the table's keys.
func (t Table) AddProblem(key, format string, args ...any) {
	t.r.AddProblem(Join(t.path, key), format, args...)
}

// String reads a non-empty string.
func (t Table) String(key string, required bool) string {
	v, ok := t.value(key, required)
	if !ok {
		return ""
	}
	s, ok := v.(string)
	switch {
	case !ok:
		t.AddProblem(key, "must be text, not %s", describe(v))
	case s == "":
		t.AddProblem(key, "must not be empty")
	}
	return s
}

// Bool reads a boolean; the default is false.
func (t Table) Bool(key string) bool {
	v, ok := t.value(key, false)
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		t.AddProblem(key, "must be true or false, not %s", describe(v))
	}
	return b
}

// Float reads a finite number that is at least minimum.
func (t Table) Float(key string, minimum, fallback float64) float64 {
	v, ok := t.value(key, false)
	if !ok {
		return fallback
	}
	f, ok := asNumber(v)
	if !ok || f < minimum {
		t.AddProblem(key, "must be a number of at least %v, not %v", minimum, v)
		return fallback
	}
	return f
}

// Int reads an integer that is at least minimum.
func (t Table) Int(key string, minimum, fallback int64) int64 {
	v, ok := t.value(key, false)
	if !ok {
		return fallback
	}
	n, ok := v.(int64)
	if !ok || n < minimum {
		t.AddProblem(key, "must be a whole number of at least %d, not %v", minimum, v)
		return fallback
	}
	return n
}

func asNumber(v any) (float64, bool) {
	switch n := v.(type) {
	case int64:
		return float64(n), true
	case float64:
		return n, !math.IsNaN(n) && !math.IsInf(n, 0)
	}
	return 0, false
}

// Rate reads a rate in requests per second: a number, or a string such as "20/s", "90/min" or "1000/h".
func (t Table) Rate(key string) float64 {
	v, ok := t.value(key, true)
	if !ok {
		return 0
	}
	f, ok := asNumber(v)
	if s, isText := v.(string); isText {
		f, ok = parseRate(s)
	}
	if !ok || f <= 0 {
		t.AddProblem(key, `must be a rate above zero such as "20/s", "90/min" or "1000/h", not %v`, v)
	}
	return f
}

func parseRate(s string) (float64, bool) {
	amount, unit, ok := strings.Cut(s, "/")
	if !ok {
		return 0, false
	}
	per := map[string]float64{"s": 1, "min": 60, "h": 3600}[strings.TrimSpace(unit)]
	f, err := strconv.ParseFloat(strings.TrimSpace(amount), 64)
	if err != nil || per == 0 || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, false
	}
	return f / per, true
}

// Duration reads a positive duration with its unit.
func (t Table) Duration(key string, fallback time.Duration) time.Duration {
	v, ok := t.value(key, false)
	if !ok {
		return fallback
	}
	s, _ := v.(string)
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		t.AddProblem(key, `must be a time above zero with its unit, such as "30s" or "1h30m", not %v`, v)
		return fallback
	}
	return d
}

// Size reads a positive size in bytes with its unit.
func (t Table) Size(key string, fallback int64) int64 {
	v, ok := t.value(key, false)
	if !ok {
		return fallback
	}
	s, isText := v.(string)
	n, err := humanize.ParseBytes(s)
	hasUnit := strings.HasSuffix(strings.ToUpper(s), "B")
	if !isText || !hasUnit || err != nil || n == 0 || n > math.MaxInt64 {
		t.AddProblem(key, `must be a size above zero with its unit, such as "64 KiB" or "2 MB", not %v`, v)
		return fallback
	}
	return int64(n)
}

// Strings reads a list of distinct non-empty strings.
func (t Table) Strings(key string) []string {
	v, ok := t.value(key, false)
	if !ok {
		return nil
	}
	items, ok := v.([]any)
	if !ok {
		t.AddProblem(key, "must be a list of texts, not %s", describe(v))
		return nil
	}
	var out []string
	for i, item := range items {
		s, ok := item.(string)
		element := fmt.Sprintf("%s[%d]", key, i)
		switch {
		case !ok || s == "":
			t.AddProblem(element, "must be text, not %s", describe(item))
		case slices.Contains(out, s):
			t.AddProblem(element, "%q is listed twice", s)
		default:
			out = append(out, s)
		}
	}
	return out
}

// EachTable reads an array of tables and calls each with every element.
func (t Table) EachTable(key string, each func(Table)) {
	v, ok := t.value(key, false)
	if !ok {
		return
	}
	items, ok := v.([]any)
	if !ok {
		t.AddProblem(key, "must be a list of tables ([[%s]])", key)
		return
	}
	for i, item := range items {
		element := fmt.Sprintf("%s[%d]", key, i)
		values, ok := item.(map[string]any)
		if !ok {
			t.AddProblem(element, "must be a table")
			continue
		}
		sub := t.r.table(Join(t.path, element), values)
		each(sub)
		sub.Finish()
	}
}

// Table reads one nested table.
func (t Table) Table(key string, read func(Table)) {
	v, ok := t.value(key, false)
	if !ok {
		return
	}
	values, ok := v.(map[string]any)
	if !ok {
		t.AddProblem(key, "must be a table ([%s])", key)
		return
	}
	sub := t.r.table(Join(t.path, key), values)
	read(sub)
	sub.Finish()
}

// describe formats a value of the wrong type for a message. The content of lists and tables is left out, since it may
// be secret.
func describe(v any) string {
	switch v.(type) {
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return fmt.Sprint(v)
}
