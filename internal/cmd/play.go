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

// playOptions holds the options for playing a trace.
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

// readTrace checks the options and returns the trace, cut to the first Entries entries if Entries is above 0.
func (o *playOptions) readTrace() (*trace.Trace, error) {
	if o.Speed <= 0 {
		return nil, &usageError{cause: &errBadFlag{flag: "--speed", value: fmt.Sprint(o.Speed), allowed: "a number above 0"}}
	}
	if o.Entries < 0 {
		return nil, &usageError{cause: &errBadFlag{flag: "--entries", value: fmt.Sprint(o.Entries), allowed: "0 or more"}}
	}
	recorded, err := trace.ReadFile(o.Play)
	if err != nil {
		return nil, &usageError{cause: err}
	}
	if o.Entries > 0 && o.Entries < len(recorded.Entries) {
		recorded.Entries = recorded.Entries[:o.Entries]
		recorded.Header.Entries = o.Entries
	}
	return recorded, nil
}

// errBadFlag means that a flag has a value that isn't allowed.
type errBadFlag struct{ flag, value, allowed string }

func (e *errBadFlag) Error() string {
	return fmt.Sprintf("%s is %q; allowed is %s", e.flag, e.value, e.allowed)
}

// run starts a system, plays the trace against it and writes the report.
func (o *playOptions) run(ctx context.Context, std streams, system dev.Options) error {
	recorded, err := o.readTrace()
	if err != nil {
		return err
	}
	if recorded.Header.Fleet != system.Config.Fleet {
		return &usageError{cause: &errBadFlag{
			flag: "--config", value: "of fleet " + system.Config.Fleet, allowed: "one of the trace's fleet " + recorded.Header.Fleet,
		}}
	}
	opts := play.Options{Trace: recorded, System: system, Speed: o.Speed}
	if !o.Quiet {
		bar := progressbar.NewOptions(len(recorded.Entries),
			progressbar.OptionSetWriter(std.err),
			progressbar.OptionSetDescription(recorded.Header.Fleet),
			progressbar.OptionShowCount(),
			progressbar.OptionClearOnFinish(),
		)
		opts.OnDone = func() { _ = bar.Add(1) }
		opts.OnFault = func(text string) {
			_ = bar.Clear()
			fmt.Fprintln(std.err, "fault:", text)
		}
	}
	result, err := play.Run(ctx, opts)
	if err != nil {
		return err
	}
	return o.write(std, result)
}

func (o *playOptions) write(std streams, result *report.Report) error {
	write := result.WriteTable
	if o.Format == formatJSON {
		write = result.WriteJSON
	}
	if err := write(std.out); err != nil {
		return err
	}
	if len(result.Broken) > 0 {
		return &errBroken{broken: result.Broken}
	}
	return nil
}
