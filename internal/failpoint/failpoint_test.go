package failpoint

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestParseAndHit(t *testing.T) {
	is := is.New(t)
	is.NoErr(Parse("a=error@1*2, b=sleep:1ms"))
	defer Disable("a")
	defer Disable("b")
	is.NoErr(Hit("a"))
	is.True(errors.Is(Hit("a"), ErrInjected))
	is.True(errors.Is(Hit("a"), ErrInjected))
	is.NoErr(Hit("a"))
	is.NoErr(Hit("b"))
	is.NoErr(Hit("disabled"))
}

func TestParseRejectsInvalidSpecs(t *testing.T) {
	for _, spec := range []string{"a", "a=burn", "a=error@x", "a=error*x", "a=sleep:x"} {
		is := is.New(t)
		is.True(Parse(spec) != nil) // an invalid specification is rejected
	}
}
