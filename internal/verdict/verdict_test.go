package verdict

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestErrorWithoutVerdictMayHaveRun(t *testing.T) {
	is := is.New(t)
	is.Equal(From(errors.New("connection reset")).Verdict, MayHaveRun)
	is.Equal(Parse("unheard-of"), MayHaveRun)
	is.Equal(From(nil), (*Error)(nil))
}

func TestFromFindsWrappedVerdict(t *testing.T) {
	is := is.New(t)
	err := errors.Wrap(Refuse(429, ReasonRateLimited, 1, "over rate"), "admitting")
	is.Equal(From(err).Verdict, NotRun)
	is.Equal(From(err).Reason, ReasonRateLimited)
}

func TestRetrySafe(t *testing.T) {
	for _, tc := range []struct {
		v                Verdict
		repeatable, want bool
	}{
		{NotRun, false, true}, {NotRun, true, true},
		{MayHaveRun, false, false}, {MayHaveRun, true, true},
		{Ran, false, false}, {Ran, true, false},
	} {
		is := is.New(t)
		is.Equal(tc.v.RetrySafe(tc.repeatable), tc.want)
		is.Equal(Parse(tc.v.String()), tc.v)
	}
}
