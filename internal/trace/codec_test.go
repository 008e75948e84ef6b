package trace

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRecordedTraces checks that the recorded traces are those that "make traces" makes.
func TestRecordedTraces(t *testing.T) {
	for _, name := range []string{"commons", "carrasco"} {
		t.Run(name, func(t *testing.T) {
			recorded, err := ReadFile(filepath.Join("..", "..", "testdata", "traces", name+".jsonl.gz"))
			qt.Assert(t, err, qt.IsNil)
			deployment, err := FindDeployment(name)
			qt.Assert(t, err, qt.IsNil)
			made, err := Generate(GenerateOptions{Deployment: deployment, Seed: 1, Entries: 4000})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, recorded, qt.DeepEquals, made)
		})
	}
}

func TestReadRefuses(t *testing.T) {
	const entry = `{"At":5,"Kind":"Plain","Team":"t","Service":"s","Method":"GET","Path":"/x"}`
	for name, text := range map[string]string{
		"empty":           "",
		"unknown field":   `{"Fleet":"f","Entries":0,"Colour":1}`,
		"too few":         `{"Entries":2}` + "\n" + entry,
		"too many":        `{"Entries":1}` + "\n" + entry + "\n" + entry,
		"out of order":    `{"Entries":2}` + "\n" + entry + "\n" + strings.Replace(entry, `"At":5`, `"At":4`, 1),
		"negative count":  `{"Entries":-1}`,
		"unknown kind":    `{"Entries":1}` + "\n" + strings.Replace(entry, "Plain", "Mail", 1),
		"two values":      `{"Entries":1}` + "\n" + entry + entry,
		"difficulty":      `{"Entries":1}` + "\n" + strings.Replace(entry, `"At":5`, `"At":5,"Difficulty":1.5`, 1),
		"refused share":   `{"Outcome":{"RefusedShare":2}}`,
		"long line":       `{"Entries":1}` + "\n" + strings.Repeat(" ", MaxLineBytes) + entry,
		"truncated gzip":  "\x1f\x8b\x08",
		"fault unordered": `{"Faults":[{"At":2},{"At":1}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Read(strings.NewReader(text))
			qt.Assert(t, IsErrMalformed(err), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

func FuzzRead(f *testing.F) {
	made, err := Generate(GenerateOptions{Deployment: commons(), Seed: 1, Entries: 5})
	qt.Assert(f, err, qt.IsNil)
	var seed bytes.Buffer
	qt.Assert(f, made.Write(&seed), qt.IsNil)
	f.Add(seed.Bytes())
	f.Add([]byte("\x1f\x8b\x08\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := Read(bytes.NewReader(data))
		if err != nil {
			qt.Assert(t, IsErrMalformed(err), qt.IsTrue)
			return
		}
		var text bytes.Buffer
		qt.Assert(t, first.Write(&text), qt.IsNil)
		second, err := Read(&text)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, second, qt.DeepEquals, first)
	})
}
