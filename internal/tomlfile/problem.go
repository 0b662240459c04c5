package tomlfile

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a document.
type Problem struct {
	// File is the name of the document's file; empty if it was not read from one.
	File string
	// Line is the line number, from 1.
	Line int
	// Path is the path of the key, for example "account[2].rate".
	Path string
	// Message is the error message.
	Message string
}

// Error implements error. A problem in a file has the form "file:line: key: text".
func (p Problem) Error() string {
	position := fmt.Sprintf("line %d", p.Line)
	if p.File != "" {
		position = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Path == "" {
		return position + ": " + p.Message
	}
	return position + ": " + p.Path + ": " + p.Message
}

// Problems holds all errors of a document, ordered by line.
type Problems []Problem

// Error implements error. The text has one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// WithFile returns a copy of the problems with their File set.
func (ps Problems) WithFile(file string) Problems {
	out := slices.Clone(ps)
	for i := range out {
		out[i].File = file
	}
	return out
}
