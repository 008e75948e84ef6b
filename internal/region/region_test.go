package region_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/region"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func TestSet(t *testing.T) {
	every, north, both := region.Set{}, region.NewSet("north"), region.NewSet("south", "north", "south")
	none := north.Intersect(region.NewSet("south"))
	for _, test := range []struct {
		name         string
		set          region.Set
		isRestricted bool
		has          []api.Region
		lacks        []api.Region
	}{
		{"every region", every, false, []api.Region{"north", "south", ""}, nil},
		{"one", north, true, []api.Region{"north"}, []api.Region{"south", ""}},
		{"two", both, true, []api.Region{"north", "south"}, []api.Region{"east", ""}},
		{"both bind", north.Intersect(both), true, []api.Region{"north"}, []api.Region{"south"}},
		{"one of both is unrestricted", every.Intersect(north), true, []api.Region{"north"}, []api.Region{"south"}},
		{"none", none, true, nil, []api.Region{"north", "south", ""}},
		{"nothing but none", none.Intersect(every), true, nil, []api.Region{"north"}},
		{"an empty list", region.NewSet(), true, nil, []api.Region{"north", "south", ""}},
	} {
		c := qt.New(t)
		c.Check(test.set.IsRestricted(), qt.Equals, test.isRestricted, qt.Commentf(test.name))
		for _, r := range test.has {
			c.Check(test.set.Has(r), qt.IsTrue, qt.Commentf("%s: %q", test.name, r))
		}
		for _, r := range test.lacks {
			c.Check(test.set.Has(r), qt.IsFalse, qt.Commentf("%s: %q", test.name, r))
		}
	}
	qt.Check(t, north.Key(), qt.Not(qt.Equals), both.Key())
	qt.Check(t, none.Key(), qt.Not(qt.Equals), every.Key())
	qt.Check(t, none.Key(), qt.Equals, region.NewSet().Key())
	qt.Check(t, region.FromContext(region.NewContext(context.Background(), north)).Has("south"), qt.IsFalse)
	qt.Check(t, region.FromContext(context.Background()).IsRestricted(), qt.IsFalse)
}
