// Package tomlfile reads TOML that operators write. It reports every problem of a text at once, each with its line and
// key, where a decoder stops at the first.
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

// Table reads the keys of one decoded TOML table. A library decoder stops at the first value of a wrong type; a table
// goes on, so that an operator sees all errors at once. Finish reports the keys that nothing asked for.
type Table struct {
	r      *Reader
	path   string
	values map[string]any
	seen   map[string]bool
}

func (r *Reader) table(path string, values map[string]any) Table {
	return Table{r: r, path: path, values: values, seen: map[string]bool{}}
}

// Finish reports the keys that nothing asked for. Reader.Read, Tables and Table call it.
func (t Table) Finish() {
	for k := range t.values {
		if !t.seen[k] {
			t.r.Fail(Join(t.path, k), "unknown key")
		}
	}
}

// take returns the value of a key. With required set, its absence is a problem.
func (t Table) take(key string, required bool) (any, bool) {
	t.seen[key] = true
	v, ok := t.values[key]
	if !ok && required {
		t.r.Fail(t.path, "%q is missing", key)
	}
	return v, ok
}

// Fail adds a problem of one of the table's keys.
func (t Table) Fail(key, format string, args ...any) {
	t.r.Fail(Join(t.path, key), format, args...)
}

// Text reads a text that is not empty.
func (t Table) Text(key string, required bool) string {
	v, ok := t.take(key, required)
	if !ok {
		return ""
	}
	s, ok := v.(string)
	switch {
	case !ok:
		t.Fail(key, "must be text, not %s", shown(v))
	case s == "":
		t.Fail(key, "must not be empty")
	}
	return s
}

// Flag reads true or false; absent is false.
func (t Table) Flag(key string) bool {
	v, ok := t.take(key, false)
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		t.Fail(key, "must be true or false, not %s", shown(v))
	}
	return b
}

// Number reads a finite number above or equal to least.
func (t Table) Number(key string, least, absent float64) float64 {
	v, ok := t.take(key, false)
	if !ok {
		return absent
	}
	f, ok := asNumber(v)
	if !ok || f < least {
		t.Fail(key, "must be a number of at least %v, not %v", least, v)
		return absent
	}
	return f
}

// Count reads a whole number of at least least.
func (t Table) Count(key string, least, absent int64) int64 {
	v, ok := t.take(key, false)
	if !ok {
		return absent
	}
	n, ok := v.(int64)
	if !ok || n < least {
		t.Fail(key, "must be a whole number of at least %d, not %v", least, v)
		return absent
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

// Rate reads a number of requests a second: a number, or text such as "20/s", "90/min" or "1000/h".
func (t Table) Rate(key string) float64 {
	v, ok := t.take(key, true)
	if !ok {
		return 0
	}
	f, ok := asNumber(v)
	if s, isText := v.(string); isText {
		f, ok = parseRate(s)
	}
	if !ok || f <= 0 {
		t.Fail(key, `must be a rate above zero such as "20/s", "90/min" or "1000/h", not %v`, v)
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

// Duration reads a time above zero with its unit.
func (t Table) Duration(key string, absent time.Duration) time.Duration {
	v, ok := t.take(key, false)
	if !ok {
		return absent
	}
	s, _ := v.(string)
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		t.Fail(key, `must be a time above zero with its unit, such as "30s" or "1h30m", not %v`, v)
		return absent
	}
	return d
}

// Size reads a size in bytes with its unit.
func (t Table) Size(key string, absent int64) int64 {
	v, ok := t.take(key, false)
	if !ok {
		return absent
	}
	s, isText := v.(string)
	n, err := humanize.ParseBytes(s)
	hasUnit := strings.HasSuffix(strings.ToUpper(s), "B")
	if !isText || !hasUnit || err != nil || n == 0 || n > math.MaxInt64 {
		t.Fail(key, `must be a size above zero with its unit, such as "64 KiB" or "2 MB", not %v`, v)
		return absent
	}
	return int64(n)
}

// Texts reads a list of different texts.
func (t Table) Texts(key string) []string {
	v, ok := t.take(key, false)
	if !ok {
		return nil
	}
	items, ok := v.([]any)
	if !ok {
		t.Fail(key, "must be a list of texts, not %s", shown(v))
		return nil
	}
	var out []string
	for i, item := range items {
		s, ok := item.(string)
		at := fmt.Sprintf("%s[%d]", key, i)
		switch {
		case !ok || s == "":
			t.Fail(at, "must be text, not %s", shown(item))
		case slices.Contains(out, s):
			t.Fail(at, "%q is listed twice", s)
		default:
			out = append(out, s)
		}
	}
	return out
}

// Tables reads an array of tables and calls each for every element.
func (t Table) Tables(key string, each func(Table)) {
	v, ok := t.take(key, false)
	if !ok {
		return
	}
	items, ok := v.([]any)
	if !ok {
		t.Fail(key, "must be a list of tables ([[%s]])", key)
		return
	}
	for i, item := range items {
		at := fmt.Sprintf("%s[%d]", key, i)
		values, ok := item.(map[string]any)
		if !ok {
			t.Fail(at, "must be a table")
			continue
		}
		sub := t.r.table(Join(t.path, at), values)
		each(sub)
		sub.Finish()
	}
}

// Table reads one nested table.
func (t Table) Table(key string, read func(Table)) {
	v, ok := t.take(key, false)
	if !ok {
		return
	}
	values, ok := v.(map[string]any)
	if !ok {
		t.Fail(key, "must be a table ([%s])", key)
		return
	}
	sub := t.r.table(Join(t.path, key), values)
	read(sub)
	sub.Finish()
}

// shown names a value of a wrong type. The texts inside of a list or table may be secrets and are not shown.
func shown(v any) string {
	switch v.(type) {
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	}
	return fmt.Sprint(v)
}
