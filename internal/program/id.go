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
)

// NewID returns a program id that carries its home data centre. The data centre's name must not hold "_".
func NewID(dc string) string {
	return strings.Join([]string{idPrefix, dc, uuid.Must(uuid.NewV7()).String()}, idSeparator)
}

// HomeDataCentre returns the data centre that a program id names.
func HomeDataCentre(id string) (string, error) {
	f := strings.Split(id, idSeparator)
	if len(f) != 3 || f[0] != idPrefix || f[1] == "" || f[2] == "" {
		return "", errors.Newf("program id is not of the form %s_<data centre>_<uuid>", idPrefix)
	}
	return f[1], nil
}

// PartOf returns the part, of the given number of parts, that a program falls on.
func PartOf(id string, parts int) int {
	if parts <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(id) % uint64(parts))
}
