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

// ChangeKind is the kind of a change.
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
	// Old and New are the values as JSON. Old is empty for Added, New for Removed.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String formats the change as one line for operators.
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

// Diff returns the changes from a to b, ordered by path. A nil document counts as empty.
func Diff(a, b *Document) []Change {
	before, after := flatten(a), flatten(b)
	var out []Change
	for path, oldValue := range before {
		newValue, ok := after[path]
		switch {
		case !ok:
			out = append(out, Change{Kind: Removed, Path: path, Old: oldValue})
		case newValue != oldValue:
			out = append(out, Change{Kind: Changed, Path: path, Old: oldValue, New: newValue})
		}
	}
	for path, newValue := range after {
		if _, ok := before[path]; !ok {
			out = append(out, Change{Kind: Added, Path: path, New: newValue})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.Path, b.Path) })
	return out
}

// flatten returns the scalar values of a document as JSON, by path.
func flatten(d *Document) map[string]string {
	out := map[string]string{}
	if d == nil {
		return out
	}
	dec := json.NewDecoder(bytes.NewReader(d.CanonicalJSON()))
	dec.UseNumber()
	var v any
	if err := dec.Decode(&v); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "decoding the canonical encoding"))
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
		b, _ := json.Marshal(v) // Can't fail: v is a scalar that was just decoded.
		out[path] = string(b)
	}
}

// elementName identifies a list element by its key fields rather than by its index, so that inserting an element
// doesn't change the paths of the others. Elements without such fields are identified by index.
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
