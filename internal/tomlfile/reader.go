package tomlfile

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Reader gathers the problems of one text.
type Reader struct {
	data []byte
	// index is made at the first problem: a valid text does without it.
	index    *Index
	values   map[string]any
	problems Problems
}

// NewReader decodes a text. The error is Problems: a text that is not TOML has one.
func NewReader(data []byte) (*Reader, error) {
	r := &Reader{data: data}
	if err := toml.Unmarshal(data, &r.values); err != nil {
		return nil, Problems{syntaxProblem(err)}
	}
	return r, nil
}

// Empty returns a reader of no text. Its problems have no lines of their own.
func Empty() *Reader { return &Reader{} }

func syntaxProblem(err error) Problem {
	var de *toml.DecodeError
	if !errors.As(err, &de) {
		return Problem{Line: 1, Text: err.Error()}
	}
	line, _ := de.Position()
	path := ""
	for _, k := range de.Key() {
		path = Join(path, k)
	}
	return Problem{Line: line, Path: path, Text: de.Error()}
}

// Read passes the text's outermost table to read and reports the keys that read did not ask for.
func (r *Reader) Read(read func(Table)) {
	t := r.table("", r.values)
	read(t)
	t.Finish()
}

// Fail adds a problem. Its line is that of the path, or of the nearest enclosing path that is written out.
func (r *Reader) Fail(path, format string, args ...any) {
	if r.index == nil {
		r.index = NewIndex(r.data)
	}
	r.problems = append(r.problems, Problem{Line: r.index.at(path), Path: path, Text: fmt.Sprintf(format, args...)})
}

// Failed reports whether a problem of the path was added.
func (r *Reader) Failed(path string) bool {
	return slices.ContainsFunc(r.problems, func(p Problem) bool { return p.Path == path })
}

// Err returns the problems, as Problems ordered by line, or nil.
func (r *Reader) Err() error {
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b Problem) int { return a.Line - b.Line })
	return r.problems
}
