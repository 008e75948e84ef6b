package setting_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jessevdk/go-flags"

	"github.com/monsoonrail/monsoonrail/internal/setting"
)

var update = flag.Bool("update", false, "write the golden files")

// golden compares got with the content of a file; with -update it writes the file first.
func golden(t *testing.T, file, got string) {
	if *update {
		qt.Assert(t, os.WriteFile(file, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got, qt.Equals, string(want))
}

func parse(t *testing.T, args ...string) setting.Settings {
	var settings setting.Settings
	_, err := flags.NewParser(&settings, flags.None).ParseArgs(args)
	qt.Assert(t, err, qt.IsNil)
	return settings
}

// TestErrorsNameFlagAndAllowedValues checks the error texts without any settings, and with an invalid value for each setting. Secrets
// must not appear in them.
func TestErrorsNameFlagAndAllowedValues(t *testing.T) {
	var faults strings.Builder
	for _, args := range [][]string{
		nil,
		{
			"--node=a.b", "--failure-domain=x", "--listen=here", "--peer-listen=localhost:1", "--peer-advertise=1.2.3.4",
			"--metrics-listen=metrics", "--seed=:1", "--address-keep=1ms", "--drain-timeout=2h", "--kv=ftp://x", "--vm-list=x", "--rating=x",
			"--weight-store=x", "--ratings-per-second=0", "--kv-timeout=1m", "--vm-list-poll=0s", "--load-poll=1h",
			"--server-subset=1", "--session-secret=short", "--peer-secret=short", "--issue-secret=short", "--max-answers=1",
			"--max-answer-bytes=1", "--max-kept-bytes=0", "--keep-answers=0s", "--max-header-bytes=1", "--log-level=loud",
		},
		{"--memory-bytes=1", "--max-files=1"},
		{"--log-format=xml"},
		{"--log-lines-per-second=0.5"},
	} {
		settings := parse(t, args...)
		faults.WriteString(strings.ReplaceAll(settings.Check().Error(), "; ", "\n") + "\n\n")
	}
	golden(t, "testdata/faults.golden", faults.String())
	qt.Check(t, faults.String(), qt.Not(qt.Contains), "short", qt.Commentf("secrets are not shown"))
}

func TestDefaultsNeedOnlyWhatIsRequired(t *testing.T) {
	settings := parse(t, "--node=n", "--failure-domain=d", "--kv=http://1.2.3.4:1", "--vm-list=http://1.2.3.4:2",
		"--session-secret=0123456789abcdef", "--peer-secret=0123456789abcdef", "--issue-secret=0123456789abcdef")
	qt.Check(t, settings.Check(), qt.IsNil)
}

// TestSettingsPage checks that the operators' page of settings agrees with their definition.
func TestSettingsPage(t *testing.T) {
	var settings setting.Settings
	parser := flags.NewParser(&settings, flags.None)
	var page strings.Builder
	page.WriteString("# Settings of a node\n\nEach is a flag of `monsoonrail serve` and an environment variable.\n")
	for _, group := range parser.Groups()[0].Groups() {
		fmt.Fprintf(&page, "\n## %s\n\n| flag | environment | default | meaning |\n|---|---|---|---|\n", group.ShortDescription)
		for _, option := range group.Options() {
			fmt.Fprintf(&page, "| `--%s` | `%s` | %s | %s |\n", option.LongName, option.EnvDefaultKey,
				strings.Join(option.Default, ", "), option.Description)
		}
	}
	golden(t, "../../docs/operators/settings.md", page.String())
}

// TestCheckListen accepts a port with or without an IP number, and an empty address.
func TestCheckListen(t *testing.T) {
	for _, address := range []string{"", ":9464", "127.0.0.1:9464", "[::1]:9464"} {
		qt.Check(t, setting.CheckListen("metrics-listen", address), qt.IsNil, qt.Commentf("%s", address))
	}
	for _, address := range []string{"9464", ":", ":0", ":99999", "host:9464", ":x"} {
		qt.Check(t, setting.CheckListen("metrics-listen", address), qt.Not(qt.IsNil), qt.Commentf("%s", address))
	}
}
