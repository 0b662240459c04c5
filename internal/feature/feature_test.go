package feature

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestAllPartsAreOnUnlessTurnedOff(t *testing.T) {
	is := is.New(t)
	s, err := Without([]string{"resume", "admission"})
	is.NoErr(err)
	for _, n := range All {
		is.Equal(s.Enabled(n), n != Resume && n != Admission)
		is.True(Set{}.Enabled(n))
	}
	is.Equal(s.String(), "resume, admission")
}

func TestUnknownPartIsRejectedWithTheKnownNames(t *testing.T) {
	is := is.New(t)
	_, err := Without([]string{"resume", "resumption"})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), `"resumption"`))
	is.True(strings.Contains(err.Error(), "placement, load-sharing"))
}
