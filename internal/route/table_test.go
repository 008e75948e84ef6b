package route_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/route"
)

func TestTable(t *testing.T) {
	table := route.NewTable(route.Config{
		Routes: []route.Route{
			{Name: "root", Host: "App.example", Prefix: "/"},
			{Name: "long", Host: "app.example", Prefix: "/a/b/"},
			{Name: "short", Host: "app.example", Prefix: "/a/"},
			{Name: "other", Host: "other.example", Prefix: "/x/"},
		},
		Teams: []route.TeamInfo{{Name: "school", Keys: []route.Key{"k1", "", "k2"}}},
	})
	for _, test := range []struct {
		host, path string
		want       route.Name
	}{
		{"app.example", "/a/b/c", "long"},
		{"APP.example:8080", "/a/b/", "long"},
		{"app.example", "/a/b", "short"},
		{"app.example", "/ab", "root"},
		{"other.example", "/x/y", "other"},
		{"other.example", "/y", ""},
		{"none.example", "/a/", ""},
	} {
		found := table.FindRoute(test.host, test.path)
		if test.want == "" {
			qt.Check(t, found, qt.IsNil)
			continue
		}
		qt.Check(t, found, qt.IsNotNil)
		qt.Check(t, found.Name, qt.Equals, test.want, qt.Commentf("%s%s", test.host, test.path))
	}
	qt.Check(t, table.FindTeam("k2").Name, qt.Equals, route.Team("school"))
	qt.Check(t, table.FindTeam("k3"), qt.IsNil)
	qt.Check(t, table.FindTeam(""), qt.IsNil, qt.Commentf("a request without a key"))
	qt.Check(t, table.NeedsKey(&route.Route{}), qt.IsTrue)
	qt.Check(t, table.NeedsKey(&route.Route{IsPublic: true}), qt.IsFalse)
	qt.Check(t, route.NewTable(route.Config{}).NeedsKey(&route.Route{}), qt.IsFalse)
	qt.Check(t, route.NewTable(route.Config{Teams: []route.TeamInfo{}}).NeedsKey(&route.Route{}), qt.IsTrue)
}
