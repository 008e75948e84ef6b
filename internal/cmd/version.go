package cmd

import (
	"fmt"
	"runtime/debug"
)

type versionOptions struct {
	std streams
}

func versionCommand(std streams) subcommand {
	return subcommand{
		name:  "version",
		short: "Print the program's version",
		long:  "Prints the module's version and the Go version that built it.",
		data:  &versionOptions{std: std},
	}
}

// Execute implements flags.Commander.
func (o *versionOptions) Execute([]string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Fprintln(o.std.out, "monsoonrail (unknown build)")
		return nil
	}
	fmt.Fprintf(o.std.out, "monsoonrail %s %s\n", info.Main.Version, info.GoVersion)
	return nil
}
