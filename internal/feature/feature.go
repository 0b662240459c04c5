// Package feature names the parts of an instance that an operator can turn off: to compare an instance with and without
// one of them, and in an emergency.
package feature

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Name is the name of a part, as operators write it.
type Name string

// The parts that can be turned off.
const (
	// Placement picks backend servers by the expected cost of a request and by the work that each server has left.
	Placement Name = "placement"
	// LoadSharing adds what other instances have sent to the load of a backend server.
	LoadSharing Name = "load-sharing"
	// Admission holds and orders requests when there are more than the backend servers have room for.
	Admission Name = "admission"
	// Resume continues a broken stream at another backend server.
	Resume Name = "resume"
	// AdvanceGrants lets programs without stored history that have begun go on while the platform's store is away.
	AdvanceGrants Name = "advance-grants"
	// EarlyRefusal refuses turns at once that can't begin while the platform's store is away.
	EarlyRefusal Name = "early-refusal"
	// MemoryLimit refuses requests that the instance has no memory for.
	MemoryLimit Name = "memory-limit"
)

// All lists the parts that can be turned off.
var All = []Name{Placement, LoadSharing, Admission, Resume, AdvanceGrants, EarlyRefusal, MemoryLimit}

// Set holds the parts that are turned off. The zero value has all of them on.
type Set struct{ off []Name }

// Without returns the set in which the named parts are turned off. It returns an error that lists the known names if one
// of them is unknown.
func Without(names []string) (Set, error) {
	var s Set
	for _, n := range names {
		if !slices.Contains(All, Name(n)) {
			return Set{}, errors.Newf("%q can't be turned off; must be one of %s", n, Names())
		}
		s.off = append(s.off, Name(n))
	}
	return s, nil
}

// Enabled reports whether a part is on.
func (s Set) Enabled(n Name) bool { return !slices.Contains(s.off, n) }

// Names lists the names of all parts.
func Names() string { return joinNames(All) }

// String lists the parts that are off.
func (s Set) String() string { return joinNames(s.off) }

func joinNames(names []Name) string {
	texts := make([]string, len(names))
	for i, n := range names {
		texts[i] = string(n)
	}
	return strings.Join(texts, ", ")
}
