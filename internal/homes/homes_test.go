package homes

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/grpc"

	turnv1 "github.com/berylpond/berylpond/api/turn/v1"
)

func TestHomesOfRouteAndAccountBothBind(t *testing.T) {
	is := is.New(t)
	two := map[string]string{"a": "east", "b": "west"}
	three := map[string]string{"a": "east", "b": "west", "c": "north", "d": "north"}
	for _, tt := range []struct {
		name           string
		route, account []string
		site           map[string]string
		allowed        []string
		none           bool
	}{
		{name: "neither", site: two, allowed: []string{"east", "west", "north", "south", ""}},
		{name: "route", route: []string{"west"}, site: two, allowed: []string{"west"}},
		{name: "account", account: []string{"west", "north"}, site: three, allowed: []string{"west", "north"}},
		{name: "both", route: []string{"east", "north"}, account: []string{"north", "west"}, site: three, allowed: []string{"north"}},
		{name: "both without a common one", route: []string{"east"}, account: []string{"west"}, site: three, none: true},
		{name: "unknown here", route: []string{"south"}, site: three, allowed: []string{"south"}, none: true},
		{name: "unknown region of a data centre", route: []string{"south"}, site: map[string]string{"a": ""}, allowed: []string{"south"}, none: true},
	} {
		s := Of(tt.route, tt.account)
		is.Equal(s.AllowsAny(tt.site), !tt.none)
		is.Equal(s.IsRestricted(), tt.name != "neither")
		for _, region := range []string{"east", "west", "north", "south", ""} {
			if got := s.Allows(region); got != slices.Contains(tt.allowed, region) {
				t.Errorf("%s: region %q allowed is %v", tt.name, region, got)
			}
		}
		is.Equal(FromContext(NewContext(t.Context(), s)), s)
	}
	restricted := NewContext(t.Context(), Of([]string{"east"}, nil))
	is.True(!FromContext(NewContext(restricted, Set{})).IsRestricted())
}

// instances tells the regions of instances by address; the others don't respond.
type instances struct {
	regions map[string]string
	asked   int
}

func (i *instances) Conn(address string) (grpc.ClientConnInterface, error) {
	i.asked++
	region, ok := i.regions[address]
	if !ok {
		return nil, errors.New("unreachable")
	}
	return conn{region: region}, nil
}

type conn struct {
	grpc.ClientConnInterface
	region string
}

func (c conn) Invoke(_ context.Context, _ string, _, reply any, _ ...grpc.CallOption) error {
	reply.(*turnv1.PlaceResponse).Region = c.region
	return nil
}

func TestContentsGoOnlyToInstancesThatTellAHomeRegion(t *testing.T) {
	is := is.New(t)
	i := &instances{regions: map[string]string{"e": "east", "w": "west", "silent": ""}}
	d := NewDirectory(i)
	now := time.Unix(1000, 0)
	d.now = func() time.Time { return now }
	for _, a := range []string{"e", "w", "silent", "gone"} {
		is.True(d.Allows(t.Context(), a))
	}
	is.Equal(i.asked, 0) // a site without homes pays nothing
	ctx := NewContext(t.Context(), Of([]string{"west"}, nil))
	for range 2 {
		is.True(!d.Allows(ctx, "e"))
		is.True(d.Allows(ctx, "w"))
		is.True(!d.Allows(ctx, "silent"))
		is.True(!d.Allows(ctx, "gone"))
	}
	is.Equal(i.asked, 4)
	// Another instance takes the address over.
	i.regions["w"] = "east"
	now = now.Add(regionTTL)
	is.True(!d.Allows(ctx, "w"))
}
