package cmd

import (
	"fmt"

	"github.com/monsoonrail/monsoonrail/internal/trace"
)

// traceOptions holds the subcommands of "monsoonrail trace".
type traceOptions struct {
	Make traceMakeOptions `command:"make" description:"Make a trace of a deployment's shape"`
}

type traceMakeOptions struct {
	Deployment string `long:"deployment" required:"true" choice:"commons" choice:"carrasco" description:"deployment whose work is drawn"`
	Seed       uint64 `long:"seed" default:"1" description:"seed; equal seeds give equal traces"`
	Entries    int    `long:"entries" default:"4000" description:"number of requests"`
	Out        string `long:"out" required:"true" description:"file to write; compressed if it ends with .gz"`

	std streams
}

func traceCommand(std streams) subcommand {
	return subcommand{
		name:  "trace",
		short: "Make traces",
		long:  "Makes traces of requests that replay and play read.",
		data:  &traceOptions{Make: traceMakeOptions{std: std}},
	}
}

// Execute implements flags.Commander; the parser has run the subcommand already.
func (o *traceOptions) Execute([]string) error { return nil }

// Execute implements flags.Commander.
func (o *traceMakeOptions) Execute([]string) error {
	deployment, err := trace.FindDeployment(o.Deployment)
	if err != nil {
		return &usageError{cause: err}
	}
	generated, err := trace.Generate(trace.GenerateOptions{Deployment: deployment, Seed: o.Seed, Entries: o.Entries})
	if err != nil {
		return &usageError{cause: err}
	}
	if err := generated.WriteFile(o.Out); err != nil {
		return err
	}
	fmt.Fprintf(o.std.out, "%s: %d entries over %s\n", o.Out, len(generated.Entries), generated.Entries[len(generated.Entries)-1].At)
	return nil
}
