package cmd

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

var updateReplay = flag.Bool("update-replay", false, "write the golden file of the replay's output")

// TestReplayOutput compares the output with a golden file, as a replay with equal arguments must print equal figures.
func TestReplayOutput(t *testing.T) {
	golden := filepath.Join("testdata", "replay_commons.txt")
	var out, errOut bytes.Buffer
	code := Main([]string{
		"replay", "--trace", filepath.Join("..", "..", "testdata", "traces", "commons.jsonl.gz"),
		"--policy", "ours", "--policy", "oracle", "--seeds", "2", "--admission",
	}, &out, &errOut)
	qt.Assert(t, code, qt.Equals, ExitOK, qt.Commentf("%s", errOut.String()))
	if *updateReplay {
		qt.Assert(t, os.WriteFile(golden, out.Bytes(), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(golden)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, string(want))
}

func TestReplayRejectsBadArguments(t *testing.T) {
	trace := filepath.Join("..", "..", "testdata", "traces", "commons.jsonl.gz")
	for name, args := range map[string][]string{
		"unknown policy": {"--trace", trace, "--policy", "astrology"},
		"no such trace":  {"--trace", "nowhere.jsonl"},
		"no seeds":       {"--trace", trace, "--seeds", "0"},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			code := Main(append([]string{"replay"}, args...), &out, &errOut)
			qt.Assert(t, code, qt.Equals, ExitUsage)
			qt.Assert(t, errOut.Len() > 0, qt.IsTrue)
		})
	}
}
