package document

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
)

// Problem is one error in a document.
type Problem struct {
	// Line is counted from 1.
	Line int
	// Path names the key, for example "account[2].rate".
	Path string
	// Text says what is wrong.
	Text string
}

// Error implements error.
func (p Problem) Error() string {
	if p.Path == "" {
		return fmt.Sprintf("line %d: %s", p.Line, p.Text)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Text)
}

// Problems holds every error of a document, ordered by line.
type Problems []Problem

// Error implements error: one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// reader gathers the problems that its tables meet.
type reader struct {
	data []byte
	// index is made at the first problem: a valid document does without it.
	index    *index
	problems Problems
}

func (r *reader) fail(path, format string, args ...any) {
	if r.index == nil {
		r.index = newIndex(r.data)
	}
	r.problems = append(r.problems, Problem{Line: r.index.at(path), Path: path, Text: fmt.Sprintf(format, args...)})
}

func (r *reader) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b Problem) int { return a.Line - b.Line })
	return r.problems
}

// table reads the keys of one decoded TOML table. A library decoder stops at the first value of a wrong type; a table
// goes on, so that an operator sees all errors at once. finish reports the keys that nothing asked for.
type table struct {
	r      *reader
	path   string
	values map[string]any
	seen   map[string]bool
}

func (r *reader) table(path string, values map[string]any) table {
	return table{r: r, path: path, values: values, seen: map[string]bool{}}
}

func (t table) finish() {
	for k := range t.values {
		if !t.seen[k] {
			t.r.fail(join(t.path, k), "unknown key")
		}
	}
}

// take returns the value of a key. With required set, its absence is a problem.
func (t table) take(key string, required bool) (any, bool) {
	t.seen[key] = true
	v, ok := t.values[key]
	if !ok && required {
		t.r.fail(t.path, "%q is missing", key)
	}
	return v, ok
}

func (t table) fail(key, format string, args ...any) {
	t.r.fail(join(t.path, key), format, args...)
}

func (t table) text(key string, required bool) string {
	v, ok := t.take(key, required)
	if !ok {
		return ""
	}
	s, ok := v.(string)
	switch {
	case !ok:
		t.fail(key, "must be text, not %v", v)
	case s == "":
		t.fail(key, "must not be empty")
	}
	return s
}

func (t table) flag(key string) bool {
	v, ok := t.take(key, false)
	if !ok {
		return false
	}
	b, ok := v.(bool)
	if !ok {
		t.fail(key, "must be true or false, not %v", v)
	}
	return b
}

// number reads a finite number above or equal to least.
func (t table) number(key string, least, absent float64) float64 {
	v, ok := t.take(key, false)
	if !ok {
		return absent
	}
	f, ok := asNumber(v)
	if !ok || f < least {
		t.fail(key, "must be a number of at least %v, not %v", least, v)
		return absent
	}
	return f
}

// count reads a whole number of at least least.
func (t table) count(key string, least, absent int64) int64 {
	v, ok := t.take(key, false)
	if !ok {
		return absent
	}
	n, ok := v.(int64)
	if !ok || n < least {
		t.fail(key, "must be a whole number of at least %d, not %v", least, v)
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

// rate reads a number of requests a second: a number, or text such as "20/s", "90/min" or "1000/h".
func (t table) rate(key string) float64 {
	v, ok := t.take(key, true)
	if !ok {
		return 0
	}
	f, ok := asNumber(v)
	if s, isText := v.(string); isText {
		f, ok = parseRate(s)
	}
	if !ok || f <= 0 {
		t.fail(key, `must be a rate above zero such as "20/s", "90/min" or "1000/h", not %v`, v)
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

func (t table) duration(key string, absent time.Duration) time.Duration {
	v, ok := t.take(key, false)
	if !ok {
		return absent
	}
	s, _ := v.(string)
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		t.fail(key, `must be a time above zero with its unit, such as "30s" or "1h30m", not %v`, v)
		return absent
	}
	return d
}

func (t table) size(key string, absent int64) int64 {
	v, ok := t.take(key, false)
	if !ok {
		return absent
	}
	s, isText := v.(string)
	n, err := humanize.ParseBytes(s)
	hasUnit := strings.HasSuffix(strings.ToUpper(s), "B")
	if !isText || !hasUnit || err != nil || n == 0 || n > math.MaxInt64 {
		t.fail(key, `must be a size above zero with its unit, such as "64 KiB" or "2 MB", not %v`, v)
		return absent
	}
	return int64(n)
}

func (t table) texts(key string) []string {
	v, ok := t.take(key, false)
	if !ok {
		return nil
	}
	items, ok := v.([]any)
	if !ok {
		t.fail(key, "must be a list of texts, not %v", v)
		return nil
	}
	var out []string
	for i, item := range items {
		s, ok := item.(string)
		at := fmt.Sprintf("%s[%d]", key, i)
		switch {
		case !ok || s == "":
			t.fail(at, "must be text, not %v", item)
		case slices.Contains(out, s):
			t.fail(at, "%q is listed twice", s)
		default:
			out = append(out, s)
		}
	}
	return out
}

// tables reads an array of tables and calls each for every element.
func (t table) tables(key string, each func(table)) {
	v, ok := t.take(key, false)
	if !ok {
		return
	}
	items, ok := v.([]any)
	if !ok {
		t.fail(key, "must be a list of tables ([[%s]])", key)
		return
	}
	for i, item := range items {
		at := fmt.Sprintf("%s[%d]", key, i)
		values, ok := item.(map[string]any)
		if !ok {
			t.fail(at, "must be a table")
			continue
		}
		sub := t.r.table(join(t.path, at), values)
		each(sub)
		sub.finish()
	}
}

// table reads one nested table.
func (t table) table(key string, read func(table)) {
	v, ok := t.take(key, false)
	if !ok {
		return
	}
	values, ok := v.(map[string]any)
	if !ok {
		t.fail(key, "must be a table ([%s])", key)
		return
	}
	sub := t.r.table(join(t.path, key), values)
	read(sub)
	sub.finish()
}
