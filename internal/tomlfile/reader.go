package tomlfile

import (
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Reader decodes one document and collects its problems.
type Reader struct {
	data []byte
	// index is built at the first problem, since a valid document needs none.
	index    *Index
	values   map[string]any
	problems Problems
}

// NewReader parses a document. If it is not valid TOML, the error is of type Problems and holds one problem.
func NewReader(data []byte) (*Reader, error) {
	r := &Reader{data: data}
	if err := toml.Unmarshal(data, &r.values); err != nil {
		return nil, Problems{syntaxProblem(err)}
	}
	return r, nil
}

// NewEmptyReader returns a reader without a document. All its problems have line 1.
func NewEmptyReader() *Reader { return &Reader{} }

func syntaxProblem(err error) Problem {
	var de *toml.DecodeError
	if !errors.As(err, &de) {
		return Problem{Line: 1, Message: err.Error()}
	}
	line, _ := de.Position()
	path := ""
	for _, k := range de.Key() {
		path = Join(path, k)
	}
	return Problem{Line: line, Path: path, Message: de.Error()}
}

// Read passes the root table to read and adds a problem for each key that read did not request.
func (r *Reader) Read(read func(Table)) {
	t := r.table("", r.values)
	read(t)
	t.Finish()
}

// AddProblem adds a problem. Its line is that of the path or of the nearest enclosing path that is present in the
// document.
func (r *Reader) AddProblem(path, format string, args ...any) {
	if r.index == nil {
		r.index = NewIndex(r.data)
	}
	r.problems = append(r.problems, Problem{Line: r.index.nearestLine(path), Path: path, Message: fmt.Sprintf(format, args...)})
}

// HasProblem reports whether a problem with the given path has been added.
func (r *Reader) HasProblem(path string) bool {
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
