package fleet

import (
	"cmp"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// File is a configuration file with its content.
type File struct {
	Name string
	Data []byte
}

// Load reads, merges and validates the configuration in files and directories; of a directory it reads the .yaml and
// .yml files, without subdirectories. The result has revision 0.
func Load(paths ...string) (*Config, error) {
	files, err := readFiles(paths)
	if err != nil {
		return nil, err
	}
	return Decode(files...)
}

// Review is like Load, and also returns what a valid configuration says in vain as of now: entries that can never match, and settings that contradict each
// other.
func Review(now time.Time, paths ...string) (*Config, []Problem, error) {
	files, err := readFiles(paths)
	if err != nil {
		return nil, nil, err
	}
	dec := &decoder{positions: make(map[string]Position)}
	config, err := dec.decode(files)
	if err != nil {
		return nil, nil, err
	}
	return config, dec.locate(config.findings(now)), nil
}

// readFiles reads the configuration files at paths.
func readFiles(paths []string) ([]File, error) {
	var names []string
	for _, path := range paths {
		found, err := filesOf(path)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		names = append(names, found...)
	}
	if len(names) == 0 {
		return nil, Error.Wrap(&ErrNoFiles{Paths: paths})
	}
	files := make([]File, 0, len(names))
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		files = append(files, File{Name: name, Data: data})
	}
	return files, nil
}

// filesOf returns the path itself, or the configuration files of a directory.
func filesOf(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, entry := range entries {
		ext := filepath.Ext(entry.Name())
		if !entry.IsDir() && (ext == ".yaml" || ext == ".yml") {
			names = append(names, filepath.Join(path, entry.Name()))
		}
	}
	return names, nil
}

// Decode merges and validates files. A single-valued section (Fleet, FailureDomains, Defaults) may appear in only one
// file; Services, Teams and Exceptions may be split over several.
func Decode(files ...File) (*Config, error) {
	return (&decoder{positions: make(map[string]Position)}).decode(files)
}

func (d *decoder) decode(files []File) (*Config, error) {
	config := new(Config)
	for _, file := range files {
		d.file = file.Name
		d.decodeFile(file.Data, config)
	}
	if len(d.problems) > 0 {
		return nil, Error.Wrap(&ErrInvalid{Problems: d.problems})
	}
	config.Sort()
	if problems := config.problems(); len(problems) > 0 {
		return nil, Error.Wrap(&ErrInvalid{Problems: d.locate(problems)})
	}
	return config, nil
}

// locate sets the positions of problems.
func (d *decoder) locate(problems []Problem) []Problem {
	for i := range problems {
		problems[i].Position = d.positionOf(problems[i].Path)
	}
	return problems
}

// Sort sorts the lists whose order has no meaning by name, exceptions by id.
func (c *Config) Sort() {
	slices.SortStableFunc(c.FailureDomains, func(a, b FailureDomain) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(c.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(c.Teams, func(a, b Team) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(c.Exceptions, func(a, b Exception) int { return cmp.Compare(a.ID, b.ID) })
	for i := range c.Services {
		models := c.Services[i].Models
		slices.SortStableFunc(models, func(a, b Model) int { return cmp.Compare(a.Name, b.Name) })
		for j := range models {
			slices.SortStableFunc(models[j].Versions, func(a, b Version) int { return cmp.Compare(a.Name, b.Name) })
		}
	}
}

// positionOf returns the position of the innermost setting with a known position that encloses a path.
func (d *decoder) positionOf(path string) Position {
	for path != "" {
		if position, ok := d.positions[path]; ok {
			return position
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return Position{}
}
