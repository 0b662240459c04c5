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
	// treeSeparator precedes the id of the tree of sub-agents that a program belongs to.
	treeSeparator = "."
)

// NewID returns a program id that contains its home data centre. The data centre's name must not contain "_".
func NewID(dc string) string {
	return strings.Join([]string{idPrefix, dc, uuid.Must(uuid.NewV7()).String()}, idSeparator)
}

// NewChildID returns the id of a sub-agent's program. It has the home data centre and the shard of its parent, so that
// one holder has the state of both.
func NewChildID(parent string) (string, error) {
	dc, err := HomeDataCentre(parent)
	if err != nil {
		return "", err
	}
	return NewID(dc) + treeSeparator + treeOf(parent), nil
}

// HomeDataCentre returns the home data centre contained in a program id.
func HomeDataCentre(id string) (string, error) {
	f := strings.Split(id, idSeparator)
	if len(f) != 3 || f[0] != idPrefix || f[1] == "" || !validKey(f[2]) {
		return "", errors.Newf("program id is not of the form %s_<data centre>_<uuid>", idPrefix)
	}
	return f[1], nil
}

// validKey reports whether the last field of an id is a UUID, or two UUIDs joined by the tree separator.
func validKey(key string) bool {
	programID, treeID, isChild := strings.Cut(key, treeSeparator)
	if uuid.Validate(programID) != nil {
		return false
	}
	return !isChild || uuid.Validate(treeID) == nil
}

// treeOf returns the suffix of an id that all programs of one tree share.
func treeOf(id string) string {
	return id[strings.LastIndexAny(id, idSeparator+treeSeparator)+1:]
}

// ShardOf returns the shard of a program, given the number of shards.
func ShardOf(id string, shards int) int {
	if shards <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(treeOf(id)) % uint64(shards))
}
