package cmd

import (
	"context"
	"fmt"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/monsoonrail/monsoonrail/internal/experiment"
)

type benchRunOptions struct {
	File   string `long:"file" env:"MONSOONRAIL_BENCH_FILE" required:"true" description:"YAML file that describes the experiment; docs/operators/load-and-experiments.md lists its fields"`
	Out    string `long:"out" env:"MONSOONRAIL_BENCH_OUT" default:"bench-out" description:"folder for the report, its plots and the raw JSON"`
	Prefix string `long:"prefix" env:"MONSOONRAIL_BENCH_PREFIX" default:"127.1" description:"first two numbers of every loopback address"`
	Quiet  bool   `long:"quiet" env:"MONSOONRAIL_QUIET" description:"show no progress"`

	std streams
}

// Execute implements flags.Commander.
func (o *benchRunOptions) Execute([]string) error {
	spec, err := experiment.ReadFile(o.File)
	if err != nil {
		return &usageError{cause: err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	opts := experiment.Options{Spec: spec, Prefix: o.Prefix}
	if !o.Quiet {
		opts.OnRun = func(variant string, seed uint64) {
			fmt.Fprintf(o.std.err, "running %s with seed %d\n", variant, seed)
		}
	}
	runs, err := experiment.Do(ctx, opts)
	if err != nil {
		return err
	}
	if err := experiment.Write(o.Out, spec, runs); err != nil {
		return err
	}
	fmt.Fprintln(o.std.out, filepath.Join(o.Out, "report.md"))
	var broken []string
	for _, run := range runs {
		for _, promise := range run.Report.Broken {
			broken = append(broken, fmt.Sprintf("%s, seed %d: %s", run.Variant, run.Seed, promise))
		}
	}
	if len(broken) > 0 {
		return &errBroken{broken: broken}
	}
	return nil
}
