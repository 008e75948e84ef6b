package fleet

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const examples = "../../examples"

func loadExample(t testing.TB, name string) *Config {
	t.Helper()
	config, err := Load(filepath.Join(examples, name))
	qt.Assert(t, err, qt.IsNil)
	return config
}

func TestExamplesLoad(t *testing.T) {
	for _, name := range []string{"sample.yaml", "commons", "carrasco"} {
		t.Run(name, func(t *testing.T) {
			config := loadExample(t, name)
			qt.Assert(t, config.Validate(), qt.IsNil)
			again, err := Decode(File{Name: "encoded", Data: config.Encode()})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, again, qt.DeepEquals, config)
		})
	}
}

// TestProblems compares the problems reported for each invalid file of testdata/problems with its golden file.
func TestProblems(t *testing.T) {
	names, err := filepath.Glob("testdata/problems/*.yaml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(names) > 0, qt.IsTrue)
	sample, err := os.ReadFile(filepath.Join(examples, "sample.yaml"))
	qt.Assert(t, err, qt.IsNil)
	for _, name := range names {
		t.Run(filepath.Base(name), func(t *testing.T) {
			data, err := os.ReadFile(name)
			qt.Assert(t, err, qt.IsNil)
			base := filepath.Base(name)
			_, err = Decode(File{Name: "sample.yaml", Data: sample}, File{Name: base, Data: data})
			qt.Assert(t, IsErrInvalid(err), qt.IsTrue)
			compareGolden(t, strings.TrimSuffix(name, ".yaml")+".golden", []byte(err.Error()+"\n"))
		})
	}
}

func TestLoadWithoutFiles(t *testing.T) {
	_, err := Load(t.TempDir())
	var none *ErrNoFiles
	qt.Assert(t, errors.As(err, &none), qt.IsTrue)
}

func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	if *update {
		qt.Assert(t, os.WriteFile(name, got, 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(name)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(got), qt.Equals, string(want))
}

func FuzzDecode(f *testing.F) {
	for _, name := range []string{"sample.yaml", "commons/services.yaml", "carrasco/exceptions.yaml"} {
		data, err := os.ReadFile(filepath.Join(examples, name))
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Add([]byte("Fleet: &a [*a]"))
	f.Add([]byte("Teams: [{Name: x, Name: y}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		config, err := Decode(File{Name: "fuzz", Data: data})
		if err != nil {
			return
		}
		again, err := Decode(File{Name: "again", Data: config.Encode()})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, bytes.Equal(again.Encode(), config.Encode()), qt.IsTrue)
	})
}

// TestFindings compares what is found in a valid configuration with a golden file, and finds nothing in the examples.
func TestFindings(t *testing.T) {
	now := time.Date(2026, time.December, 1, 0, 0, 0, 0, time.UTC)
	_, findings, err := Review(now, "testdata/findings/vain.yaml")
	qt.Assert(t, err, qt.IsNil)
	var text strings.Builder
	for _, finding := range findings {
		text.WriteString(finding.String() + "\n")
	}
	compareGolden(t, "testdata/findings/vain.golden", []byte(text.String()))
	for _, name := range []string{"sample.yaml", "commons", "carrasco"} {
		_, findings, err := Review(now, filepath.Join(examples, name))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, findings, qt.HasLen, 0, qt.Commentf(name))
	}
}
