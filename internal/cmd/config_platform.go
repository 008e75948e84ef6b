package cmd

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/monsoonrail/monsoonrail/internal/configcheck"
	"github.com/monsoonrail/monsoonrail/internal/edge"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/region"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/platform"
)

type configCheckRoutesOptions struct {
	InForce  string         `long:"in-force" description:"file with the configuration in force; what differs from it is printed"`
	Settings []string       `long:"settings" description:"settings file of a node, by whose resources limits are checked; may be repeated"`
	Servers  map[string]int `long:"servers" value-name:"SERVICE:NUMBER" description:"number of servers of a service, by which attempts are checked; may be repeated"`
	Args     struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"true" required:"true"`
	std streams
}

// Execute implements flags.Commander.
func (o *configCheckRoutesOptions) Execute([]string) error {
	file, err := readConfigFile(o.Args.File)
	if err != nil {
		return err
	}
	on, err := o.deployment()
	if err != nil {
		return err
	}
	if o.InForce != "" {
		before, err := readConfigFile(o.InForce)
		if err != nil {
			return err
		}
		printConfigChanges(o.std.out, before.Config.Version, configcheck.Compare(before.Config, file.Config))
	}
	var problems []fleet.Problem
	for _, finding := range configcheck.Check(file.Config, on) {
		path, line := file.Locate(finding.Path)
		problems = append(problems, fleet.Problem{
			Position: fleet.Position{File: o.Args.File, Line: line}, Path: path, Detail: finding.Detail, Allowed: finding.Allowed,
		})
	}
	slices.SortStableFunc(problems, func(a, b fleet.Problem) int { return a.Position.Line - b.Position.Line })
	if len(problems) > 0 {
		return &fleet.ErrInvalid{Problems: problems}
	}
	fmt.Fprintf(o.std.out, "version %d: %d routes, %d services, %d teams: ok\n",
		file.Config.Version, len(file.Config.Routes), len(file.Config.Services), len(file.Config.Teams))
	return nil
}

// deployment returns what is known of the nodes and servers.
func (o *configCheckRoutesOptions) deployment() (configcheck.Deployment, error) {
	on := configcheck.Deployment{
		MaxHeaderBytes: edge.CeilingHeaderBytes, MaxHeadTimeout: edge.CeilingHeadTimeout, MaxIdleTimeout: edge.CeilingIdleTimeout,
		Servers: make(map[route.Service]int), Regions: make(region.Map),
	}
	for service, count := range o.Servers {
		on.Servers[route.Service(service)] = count
	}
	for _, path := range o.Settings {
		settings, err := platform.ReadSettings(path)
		if err != nil {
			return configcheck.Deployment{}, &usageError{cause: err}
		}
		if memory := edge.BodyMemory(settings.Resources); on.BodyMemory == 0 || memory < on.BodyMemory {
			on.BodyMemory = memory
		}
		for domain, of := range settings.Regions {
			on.Regions[domain] = of
		}
	}
	return on, nil
}

// readConfigFile reads a configuration as operators write it to the platform's store. Values that aren't allowed are a usageError.
func readConfigFile(path string) (*platform.ConfigFile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &usageError{cause: err}
	}
	file := platform.ReadConfigFile(data)
	if len(file.Problems) == 0 {
		return file, nil
	}
	var problems []fleet.Problem
	for _, p := range file.Problems {
		problems = append(problems, fleet.Problem{Position: fleet.Position{File: path, Line: p.Line}, Path: p.Path, Detail: p.Detail, Allowed: p.Allowed})
	}
	return nil, &usageError{cause: &fleet.ErrInvalid{Problems: problems}}
}

// printConfigChanges prints what differs from a version of the configuration, with the operators' names of the settings.
func printConfigChanges(out io.Writer, version int64, changes []configcheck.Change) {
	if len(changes) == 0 {
		fmt.Fprintf(out, "Nothing changes: version %d is what the file says.\n", version)
		return
	}
	fmt.Fprintf(out, "Changes to version %d:\n", version)
	for _, change := range changes {
		fmt.Fprintf(out, "%s %s\n", actionMarks[change.Action], platform.ConfigPath(change.Path))
		for _, field := range change.Fields {
			prefix := platform.ConfigPath(change.Path) + "."
			name := strings.TrimPrefix(platform.ConfigPath(change.Path+"."+field.Path), prefix)
			from, to := platform.ConfigValue(field.Path, field.From), platform.ConfigValue(field.Path, field.To)
			switch {
			case field.Path == "Keys":
				fmt.Fprintf(out, "    %s: %s\n", name, to)
			case change.Action == fleet.ActionAdd && to == "":
			case change.Action == fleet.ActionAdd:
				fmt.Fprintf(out, "    %s: %s\n", name, to)
			default:
				fmt.Fprintf(out, "    %s: %s -> %s\n", name, orUnset(from), orUnset(to))
			}
		}
	}
}
