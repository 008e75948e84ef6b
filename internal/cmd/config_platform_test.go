package cmd

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

var updateRoutes = flag.Bool("update-routes", false, "write the golden files of the checks of configurations for the users' platform")

// TestConfigCheckRoutes compares the output of each check with a golden file, with faults planted one by one in the files.
func TestConfigCheckRoutes(t *testing.T) {
	dir, err := os.Getwd()
	qt.Assert(t, err, qt.IsNil)
	t.Chdir(filepath.Join(dir, "testdata", "routes"))
	for _, test := range []struct {
		golden string
		args   []string
		code   int
	}{
		{"in_force.golden", []string{"in_force.json"}, ExitOK},
		{"same.golden", []string{"--in-force", "in_force.json", "in_force.json"}, ExitOK},
		{"next.golden", []string{"--in-force", "in_force.json", "--settings", "settings.toml", "--servers", "app:2", "next.json"}, ExitOK},
		{"open.golden", []string{"--in-force", "in_force.json", "open.json"}, ExitOK},
		{"closed.golden", []string{"--in-force", "in_force.json", "closed.json"}, ExitFailure},
		{"null_tenants.golden", []string{"null_tenants.json"}, ExitUsage},
		{"faults.golden", []string{"--settings", "settings.toml", "--servers", "app:3", "--servers", "models:40", "faults.json"}, ExitFailure},
		{"bad_values.golden", []string{"bad_values.json"}, ExitUsage},
		{"no_json.golden", []string{"settings.toml"}, ExitUsage},
		{"wrong_type.golden", []string{"wrong_type.json"}, ExitUsage},
	} {
		var out bytes.Buffer
		code := Main(append([]string{"config", "check-routes"}, test.args...), &out, &out)
		qt.Check(t, code, qt.Equals, test.code, qt.Commentf(test.golden))
		if *updateRoutes {
			qt.Assert(t, os.WriteFile(test.golden, out.Bytes(), 0o600), qt.IsNil)
		}
		want, err := os.ReadFile(test.golden)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, out.String(), qt.Equals, string(want), qt.Commentf(test.golden))
	}
}
