package tomlfile

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a text.
type Problem struct {
	// File is the text's file; empty when it did not come from one.
	File string
	// Line is counted from 1.
	Line int
	// Path names the key, for example "account[2].rate".
	Path string
	// Text says what is wrong.
	Text string
}

// Error implements error. A problem in a file has the form "file:line: key: text".
func (p Problem) Error() string {
	at := fmt.Sprintf("line %d", p.Line)
	if p.File != "" {
		at = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Path == "" {
		return at + ": " + p.Text
	}
	return at + ": " + p.Path + ": " + p.Text
}

// Problems holds every error of a text, ordered by line.
type Problems []Problem

// Error implements error: one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// In returns the problems with the file that they are in.
func (ps Problems) In(file string) Problems {
	out := slices.Clone(ps)
	for i := range out {
		out[i].File = file
	}
	return out
}
