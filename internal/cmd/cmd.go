// Package cmd holds the subcommands of monsoonrail, one file each.
package cmd

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes of the program.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means that the command failed or that a run broke a promise.
	ExitFailure = 1
	// ExitUsage means that arguments, environment or a configuration file were wrong.
	ExitUsage = 2
)

// streams holds the output streams of a subcommand.
type streams struct {
	out io.Writer
	err io.Writer
}

// subcommand describes a subcommand of the program. The function commands lists all of them.
type subcommand struct {
	name  string
	short string
	long  string
	// data holds the options and implements flags.Commander.
	data flags.Commander
}

// usageError wraps an error for which the program exits with ExitUsage.
type usageError struct{ cause error }

func (e *usageError) Error() string { return e.cause.Error() }
func (e *usageError) Unwrap() error { return e.cause }

// Main runs the program and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	std := streams{out: out, err: errOut}
	parser := flags.NewNamedParser("monsoonrail", flags.HelpFlag|flags.PassDoubleDash)
	for _, sub := range commands(std) {
		if _, err := parser.AddCommand(sub.name, sub.short, sub.long, sub.data); err != nil {
			fmt.Fprintf(errOut, "monsoonrail: %v\n", err)
			return ExitUsage
		}
	}
	_, err := parser.ParseArgs(args)
	return exitCode(err, std)
}

func commands(std streams) []subcommand {
	return []subcommand{
		addressesCommand(std),
		askCommand(std),
		benchCommand(std),
		configCommand(std),
		devCommand(std),
		edgeCommand(std),
		replayCommand(std),
		rollOutCommand(std),
		serveCommand(std),
		statusCommand(std),
		traceCommand(std),
		versionCommand(std),
	}
}

func exitCode(err error, std streams) int {
	if err == nil {
		return ExitOK
	}
	var flagErr *flags.Error
	if errors.As(err, &flagErr) {
		if flagErr.Type == flags.ErrHelp {
			fmt.Fprintln(std.out, flagErr.Message)
			return ExitOK
		}
		fmt.Fprintf(std.err, "monsoonrail: %v\n", flagErr)
		return ExitUsage
	}
	fmt.Fprintf(std.err, "monsoonrail: %v\n", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailure
}
