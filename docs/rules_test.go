package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRulesNameExistingTests checks that each row of RULES.md names a test of this repository, or says that there is none.
func TestRulesNameExistingTests(t *testing.T) {
	declared := make(map[string]bool)
	declaration := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, match := range declaration.FindAllSubmatch(source, -1) {
			declared[string(match[1])] = true
		}
		return err
	})
	qt.Assert(t, err, qt.IsNil)
	page, err := os.ReadFile("RULES.md")
	qt.Assert(t, err, qt.IsNil)
	name, rows := regexp.MustCompile("`(Test\\w+)`"), 0
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if !strings.HasPrefix(line, "|") || strings.HasPrefix(line, "|---") || strings.HasPrefix(line, "| rule |") {
			continue
		}
		rows++
		qt.Assert(t, cells, qt.HasLen, 4, qt.Commentf("%s", line))
		tests := name.FindAllStringSubmatch(cells[3], -1)
		qt.Check(t, len(tests) > 0 || strings.TrimSpace(cells[3]) == "none", qt.IsTrue, qt.Commentf("%s", line))
		for _, test := range tests {
			qt.Check(t, declared[test[1]], qt.IsTrue, qt.Commentf("%s is no test", test[1]))
		}
	}
	qt.Check(t, rows > 0, qt.IsTrue)
}
