package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/berylpond/berylpond/internal/tomlfile"
)

// ChangeKind says what happened to a value.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two documents.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Path names the value, for example `account["kiosk-07"].rate`.
	Path string `json:"path"`
	// Old and New are JSON forms; Old is empty for Added, New for Removed.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns one line for operators.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("+ %s = %s", c.Path, c.New)
	case Removed:
		return fmt.Sprintf("- %s = %s", c.Path, c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
	}
}

// Diff returns the changes that lead from a to b, ordered by path. A nil document is empty.
func Diff(a, b *Document) []Change {
	before, after := flatten(a), flatten(b)
	var out []Change
	for path, old := range before {
		now, ok := after[path]
		switch {
		case !ok:
			out = append(out, Change{Kind: Removed, Path: path, Old: old})
		case now != old:
			out = append(out, Change{Kind: Changed, Path: path, Old: old, New: now})
		}
	}
	for path, now := range after {
		if _, ok := before[path]; !ok {
			out = append(out, Change{Kind: Added, Path: path, New: now})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.Path, b.Path) })
	return out
}

// flatten maps each value's path to its JSON form.
func flatten(d *Document) map[string]string {
	out := map[string]string{}
	if d == nil {
		return out
	}
	dec := json.NewDecoder(bytes.NewReader(d.Canonical()))
	dec.UseNumber()
	var v any
	if err := dec.Decode(&v); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "canonical form"))
	}
	flattenInto(out, "", v)
	return out
}

func flattenInto(out map[string]string, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for k, item := range v {
			flattenInto(out, tomlfile.Join(path, k), item)
		}
	case []any:
		for i, item := range v {
			flattenInto(out, fmt.Sprintf("%s[%s]", path, elementName(i, item)), item)
		}
	case nil:
	default:
		b, _ := json.Marshal(v) // A scalar that was just decoded.
		out[path] = string(b)
	}
}

// elementName names a list element by what identifies it, so that inserting one does not change the others' paths.
func elementName(i int, item any) string {
	if s, ok := item.(string); ok {
		return fmt.Sprintf("%q", s)
	}
	m, ok := item.(map[string]any)
	if !ok {
		return fmt.Sprint(i)
	}
	if m["method"] != nil && m["path"] != nil {
		return fmt.Sprintf("%q", fmt.Sprint(m["method"], " ", m["path"]))
	}
	for _, k := range []string{"data_centre", "id", "name"} {
		if s, ok := m[k].(string); ok {
			return fmt.Sprintf("%q", s)
		}
	}
	return fmt.Sprint(i)
}
