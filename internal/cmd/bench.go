package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/overhead"
)

// benchOptions holds the subcommands of "monsoonrail bench".
type benchOptions struct {
	Run      benchRunOptions      `command:"run" description:"Run an experiment that a file describes and write a report with plots"`
	Load     benchLoadOptions     `command:"load" description:"Make the calls of a trace to a running system"`
	Overhead benchOverheadOptions `command:"overhead" description:"Measure what a node adds to a request, side by side with the same request straight to a stand-in"`
}

type benchOverheadOptions struct {
	Rate     int           `long:"rate" env:"MONSOONRAIL_BENCH_RATE" default:"2000" description:"requests a second of each way"`
	Streams  int           `long:"streams" env:"MONSOONRAIL_BENCH_STREAMS" default:"200" description:"streams open through the node meanwhile"`
	Duration time.Duration `long:"duration" env:"MONSOONRAIL_BENCH_DURATION" default:"10s" description:"how long requests are sent"`
	Format   string        `long:"format" env:"MONSOONRAIL_FORMAT" default:"table" choice:"table" choice:"json" description:"format of the result"`

	std streams
}

func benchCommand(std streams) subcommand {
	return subcommand{
		name:  "bench",
		short: "Measure",
		long:  "Measures a system under load. The exit code is 1 if a target is missed or a promise broken.",
		data:  &benchOptions{Run: benchRunOptions{std: std}, Load: benchLoadOptions{std: std}, Overhead: benchOverheadOptions{std: std}},
	}
}

// Execute implements flags.Commander; the parser has run the subcommand already.
func (o *benchOptions) Execute([]string) error { return nil }

// Execute implements flags.Commander.
func (o *benchOverheadOptions) Execute([]string) error {
	switch {
	case o.Rate <= 0:
		return &usageError{cause: &errBadFlag{flag: "--rate", value: fmt.Sprint(o.Rate), allowed: "a number above 0"}}
	case o.Streams < 0:
		return &usageError{cause: &errBadFlag{flag: "--streams", value: fmt.Sprint(o.Streams), allowed: "0 or more"}}
	case o.Duration <= 0:
		return &usageError{cause: &errBadFlag{flag: "--duration", value: o.Duration.String(), allowed: "a duration above 0"}}
	}
	setGCPercent()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	result, err := overhead.Measure(ctx, overhead.Options{Rate: o.Rate, Streams: o.Streams, Duration: o.Duration})
	if err != nil {
		return err
	}
	if err := o.write(result); err != nil {
		return err
	}
	if broken := result.Broken(); len(broken) > 0 {
		return &errBroken{broken: broken}
	}
	return nil
}

func (o *benchOverheadOptions) write(result *overhead.Result) error {
	if o.Format == formatJSON {
		encoder := json.NewEncoder(o.std.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	table := tabwriter.NewWriter(o.std.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%d requests a second of each way for %s, %d streams open\n\n", result.Rate, result.Duration, result.Streams)
	fmt.Fprintln(table, "way\tcount\terrors\tp50\tp95\tp99\tallocations\tbytes allocated\tbytes a stream")
	for _, row := range []struct {
		way  overhead.Way
		side overhead.Side
	}{{overhead.WayDirect, result.Direct}, {overhead.WayNode, result.Node}} {
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\t%s\t%.0f\t%.0f\t%.0f\n", row.way, row.side.Count, row.side.Errors,
			row.side.P50, row.side.P95, row.side.P99, row.side.Allocations, row.side.AllocatedBytes, row.side.StreamBytes)
	}
	fmt.Fprintf(table, "added\t\t\t%s\t\t%s\t%.0f\t\t%.0f\n", result.AddedP50, result.AddedP99, result.AddedAllocations, result.AddedStreamBytes)
	return table.Flush()
}
