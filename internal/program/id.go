package program

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

const (
	idPrefix    = "prg"
	idSeparator = "_"
	// treeSeparator stands before the id of the tree of sub-agents that a program belongs to.
	treeSeparator = "."
)

// NewID returns a program id that carries its home data centre. The data centre's name must not hold "_".
func NewID(dc string) string {
	return strings.Join([]string{idPrefix, dc, uuid.Must(uuid.NewV7()).String()}, idSeparator)
}

// NewChildID returns the id of a sub-agent's program. It lives in its parent's data centre and falls on its parent's part,
// so that one holder knows both.
func NewChildID(parent string) (string, error) {
	dc, err := HomeDataCentre(parent)
	if err != nil {
		return "", err
	}
	return NewID(dc) + treeSeparator + treeOf(parent), nil
}

// HomeDataCentre returns the data centre that a program id names.
func HomeDataCentre(id string) (string, error) {
	f := strings.Split(id, idSeparator)
	if len(f) != 3 || f[0] != idPrefix || f[1] == "" || !validKey(f[2]) {
		return "", errors.Newf("program id is not of the form %s_<data centre>_<uuid>", idPrefix)
	}
	return f[1], nil
}

// validKey reports whether the last field of an id is a UUID, or two with the tree's separator between.
func validKey(key string) bool {
	own, tree, child := strings.Cut(key, treeSeparator)
	if uuid.Validate(own) != nil {
		return false
	}
	return !child || uuid.Validate(tree) == nil
}

// treeOf returns the part of an id that all programs of one tree share.
func treeOf(id string) string {
	return id[strings.LastIndexAny(id, idSeparator+treeSeparator)+1:]
}

// PartOf returns the part, of the given number of parts, that a program falls on.
func PartOf(id string, parts int) int {
	if parts <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(treeOf(id)) % uint64(parts))
}
