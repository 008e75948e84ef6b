package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/memfault"
	"github.com/monsoonrail/monsoonrail/internal/play"
)

func TestShippedExperimentsAreRead(t *testing.T) {
	files, err := filepath.Glob("../../experiments/*.yaml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		_, err := ReadFile(file)
		qt.Check(t, err, qt.IsNil)
	}
}

func TestMalformedSpecs(t *testing.T) {
	whole := "Name: x\nConfig: c\nTrace: t\nSeeds: [1]\nVariants: [{Name: a}]\n"
	for _, test := range []struct{ name, text, want string }{
		{"unknown field", whole + "Colour: red\n", "Colour"},
		{"two documents", whole + "---\nName: y\n", "more than one document"},
		{"no variants", "Name: x\nConfig: c\nTrace: t\nSeeds: [1]\n", "Variants is empty"},
		{"same name", strings.Replace(whole, "[{Name: a}]", "[{Name: a}, {Name: a}]", 1), "Name of its own"},
		{"shape without span", whole + "Shape: Steady\n", "Shape and Span"},
		{"bad duration", whole + "Span: long\n", "Span|duration"},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "x.yaml")
			qt.Assert(t, os.WriteFile(path, []byte(test.text), 0o600), qt.IsNil)
			_, err := ReadFile(path)
			qt.Assert(t, err, qt.ErrorMatches, "(?s).*("+test.want+").*")
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("Name: x\nSpan: 3s\nVariants: [{Name: a, Set: {Cascade: true}}]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		spec, err := decode(data)
		if (spec == nil) == (err == nil) {
			t.Fatal("neither a spec nor an error")
		}
	})
}

// TestReportIsWritten runs a small experiment in virtual time and looks at the files.
func TestReportIsWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.yaml")
	text := "Name: x\nConfig: ../../examples/commons\nTrace: ../../testdata/traces/commons.jsonl.gz\nEntries: 40\n" +
		"Shape: Steady\nSpan: 20s\nSeeds: [1]\nMaxRefused: 0.1\nVariants: [{Name: a}, {Name: b, Set: {Cascade: false}}]\n" +
		"Faults: [{At: 5s, Kind: KillServer, Target: tutor-llm-1, For: 5s}]\n"
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	spec, err := ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		runs, err := Do(t.Context(), Options{Spec: spec, Network: func() play.Network { return memfault.New() }})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, runs, qt.HasLen, 2)
		for _, run := range runs {
			qt.Assert(t, run.Report.Broken, qt.HasLen, 0)
			qt.Assert(t, run.Report.Cost > 0, qt.IsTrue)
		}
		qt.Assert(t, Write(folder, spec, runs), qt.IsNil)
	})
	for _, name := range []string{fileReport, fileRaw, fileDistribution, fileOverTime, fileCost} {
		info, err := os.Stat(filepath.Join(folder, name))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, info.Size() > 100, qt.IsTrue)
	}
}
