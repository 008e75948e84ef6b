package capacity

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("capacity")

// Save writes a role's raw figures to a directory.
func Save(dir string, role Role) error {
	data, err := json.MarshalIndent(role, "", "\t")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(filepath.Join(dir, role.Name+".json"), append(data, '\n'), 0o644))
}

// Load reads the roles of a directory, ordered by name.
func Load(dir string) ([]Role, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	roles := make([]Role, len(files))
	for i, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if err := json.Unmarshal(data, &roles[i]); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	slices.SortFunc(roles, func(a, b Role) int { return strings.Compare(a.Name, b.Name) })
	return roles, nil
}
