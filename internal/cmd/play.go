package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/schollz/progressbar/v3"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/play"
	"github.com/monsoonrail/monsoonrail/internal/report"
	"github.com/monsoonrail/monsoonrail/internal/trace"
)

// Values of --format.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// playOptions are the options of dev and bench that play a trace.
type playOptions struct {
	Play    string  `long:"play" env:"MONSOONRAIL_PLAY" description:"trace file to play, with the faults that it names; ends with a report, and with exit code 1 if a promise was broken"`
	Speed   float64 `long:"speed" env:"MONSOONRAIL_SPEED" default:"1" description:"factor by which a trace is played faster; above 0"`
	Entries int     `long:"entries" env:"MONSOONRAIL_ENTRIES" description:"play only the first entries of the trace; 0 plays all"`
	Format  string  `long:"format" env:"MONSOONRAIL_FORMAT" default:"table" choice:"table" choice:"json" description:"format of the report"`
	Quiet   bool    `long:"quiet" env:"MONSOONRAIL_QUIET" description:"show neither progress nor faults"`
}

// errBroken means that a run broke a promise or the stated outcome of its trace.
type errBroken struct{ broken []string }

func (e *errBroken) Error() string { return "broken: " + strings.Join(e.broken, "; ") }

// read reads the trace.
func (o *playOptions) read() (*trace.Trace, error) {
	if o.Speed <= 0 {
		return nil, &usageError{cause: &errFlag{flag: "--speed", value: fmt.Sprint(o.Speed), allowed: "a number above 0"}}
	}
	if o.Entries < 0 {
		return nil, &usageError{cause: &errFlag{flag: "--entries", value: fmt.Sprint(o.Entries), allowed: "0 or more"}}
	}
	read, err := trace.ReadFile(o.Play)
	if err != nil {
		return nil, &usageError{cause: err}
	}
	if o.Entries > 0 && o.Entries < len(read.Entries) {
		read.Entries = read.Entries[:o.Entries]
		read.Header.Entries = o.Entries
	}
	return read, nil
}

// errFlag means that a flag has a value that isn't allowed.
type errFlag struct{ flag, value, allowed string }

func (e *errFlag) Error() string {
	return fmt.Sprintf("%s is %q; allowed is %s", e.flag, e.value, e.allowed)
}

// run plays the trace against a system of its own and writes the report.
func (o *playOptions) run(ctx context.Context, std streams, system dev.Options) error {
	read, err := o.read()
	if err != nil {
		return err
	}
	if read.Header.Fleet != system.Config.Fleet {
		return &usageError{cause: &errFlag{
			flag: "--config", value: "of fleet " + system.Config.Fleet, allowed: "one of the trace's fleet " + read.Header.Fleet,
		}}
	}
	opts := play.Options{Trace: read, System: system, Speed: o.Speed}
	if !o.Quiet {
		bar := progressbar.NewOptions(len(read.Entries),
			progressbar.OptionSetWriter(std.err),
			progressbar.OptionSetDescription(read.Header.Fleet),
			progressbar.OptionShowCount(),
			progressbar.OptionClearOnFinish(),
		)
		opts.OnDone = func() { _ = bar.Add(1) }
		opts.OnFault = func(text string) {
			_ = bar.Clear()
			fmt.Fprintln(std.err, "fault:", text)
		}
	}
	made, err := play.Run(ctx, opts)
	if err != nil {
		return err
	}
	return o.write(std, made)
}

func (o *playOptions) write(std streams, made *report.Report) error {
	write := made.WriteTable
	if o.Format == formatJSON {
		write = made.WriteJSON
	}
	if err := write(std.out); err != nil {
		return err
	}
	if len(made.Broken) > 0 {
		return &errBroken{broken: made.Broken}
	}
	return nil
}
