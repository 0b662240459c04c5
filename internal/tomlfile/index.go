package tomlfile

import (
	"fmt"
	"sort"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Index maps the path of each key in a TOML document, such as "account[2].rate", to its line number, from 1.
type Index struct {
	// lineStarts holds the byte offset of each line after the first.
	lineStarts []int
	lines      map[string]int
	counts     map[string]int
}

// NewIndex returns the index of a document. If the document is invalid, it contains the keys before the first error.
func NewIndex(data []byte) *Index {
	x := &Index{lines: map[string]int{}, counts: map[string]int{}}
	for i, b := range data {
		if b == '\n' {
			x.lineStarts = append(x.lineStarts, i+1)
		}
	}
	var p unstable.Parser
	p.Reset(data)
	prefix := ""
	for p.NextExpression() {
		switch n := p.Expression(); n.Kind {
		case unstable.Table:
			prefix = x.tablePath(n, false)
		case unstable.ArrayTable:
			prefix = x.tablePath(n, true)
		case unstable.KeyValue:
			x.keyValue(prefix, n)
		}
	}
	return x
}

// tablePath returns the path of a [table] or [[array table]] and records its line.
func (x *Index) tablePath(n *unstable.Node, array bool) string {
	path, line := "", 0
	for it := n.Key(); it.Next(); {
		k := it.Node()
		path = Join(path, string(k.Data))
		line = x.line(k)
		if it.IsLast() && array {
			i := x.counts[path]
			x.counts[path]++
			path = fmt.Sprintf("%s[%d]", path, i)
		} else if i := x.counts[path]; i > 0 {
			path = fmt.Sprintf("%s[%d]", path, i-1)
		}
	}
	x.lines[path] = line
	return path
}

func (x *Index) keyValue(prefix string, n *unstable.Node) {
	path, line := prefix, 0
	for it := n.Key(); it.Next(); {
		path = Join(path, string(it.Node().Data))
		line = x.line(it.Node())
	}
	x.lines[path] = line
	x.value(path, n.Value())
}

// value records the keys inside inline tables and arrays.
func (x *Index) value(path string, n *unstable.Node) {
	switch n.Kind {
	case unstable.InlineTable:
		for it := n.Children(); it.Next(); {
			x.keyValue(path, it.Node())
		}
	case unstable.Array:
		i := 0
		for it := n.Children(); it.Next(); i++ {
			x.value(fmt.Sprintf("%s[%d]", path, i), it.Node())
		}
	}
}

func (x *Index) line(n *unstable.Node) int {
	return 1 + sort.SearchInts(x.lineStarts, int(n.Raw.Offset)+1)
}

// Line returns the line of a key that is present in the document.
func (x *Index) Line(path string) (line int, ok bool) {
	line, ok = x.lines[path]
	return line, ok
}

// Count returns the number of elements of an array of tables.
func (x *Index) Count(path string) int { return x.counts[path] }

// nearestLine returns the line of a path or, if it is not present, that of the nearest enclosing one that is.
func (x *Index) nearestLine(path string) int {
	for path != "" {
		if line, ok := x.lines[path]; ok {
			return line
		}
		path = parent(path)
	}
	return 1
}

// Join returns the path of a key in the table at path.
func Join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// parent returns path without its last key or array index.
func parent(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}
