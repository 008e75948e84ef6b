package cmd

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/load"
	"github.com/monsoonrail/monsoonrail/internal/oracle"
	"github.com/monsoonrail/monsoonrail/internal/report"
	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/pkg/client"
)

type benchLoadOptions struct {
	Caller     callerOptions `group:"Caller"`
	Trace      string        `long:"trace" env:"MONSOONRAIL_TRACE" required:"true" description:"trace whose calls are made, all with the one key; its faults are not carried out"`
	Entries    int           `long:"entries" env:"MONSOONRAIL_ENTRIES" description:"make only the first calls of the trace; 0 makes all"`
	Speed      float64       `long:"speed" env:"MONSOONRAIL_SPEED" default:"1" description:"factor by which the calls come faster; above 0"`
	Shape      string        `long:"shape" env:"MONSOONRAIL_SHAPE" choice:"Steady" choice:"LessonStarts" choice:"NightlyBatch" choice:"MonthEnd" description:"spread the arrivals anew over --span; empty keeps the trace's own"`
	Span       time.Duration `long:"span" env:"MONSOONRAIL_SPAN" default:"1m" description:"time over which a shape spreads the arrivals"`
	StandIns   bool          `long:"stand-ins" env:"MONSOONRAIL_STAND_INS" description:"the system's servers are the stand-ins of dev: check every answer's text"`
	MaxRefused float64       `long:"max-refused" env:"MONSOONRAIL_MAX_REFUSED" default:"0.01" description:"largest part of the calls that may be refused, from 0 to 1"`
	Format     string        `long:"format" env:"MONSOONRAIL_FORMAT" default:"table" choice:"table" choice:"json" description:"format of the report"`

	std streams
}

// Execute implements flags.Commander.
func (o *benchLoadOptions) Execute([]string) error {
	recorded, err := o.readTrace()
	if err != nil {
		return err
	}
	caller, err := o.Caller.client()
	if err != nil {
		return err
	}
	defer caller.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	began := time.Now()
	results := load.Run(ctx, load.Options{
		Entries:       recorded.Entries,
		Speed:         o.Speed,
		CallPrefix:    fmt.Sprintf("bench%d-", began.Unix()),
		SkipTextCheck: !o.StandIns,
		KeepIntervals: true,
		ClientFor:     func(api.Team) *client.Client { return caller },
	})
	recorded.Header.Outcome = trace.Outcome{RefusedShare: o.MaxRefused}
	result := report.Make(report.MakeOptions{
		Header: recorded.Header, Speed: o.Speed, Took: time.Since(began), Seen: oracle.Seen{Results: results, NoRuns: true},
	})
	return (&playOptions{Format: o.Format}).write(o.std, result)
}

func (o *benchLoadOptions) readTrace() (*trace.Trace, error) {
	if o.Span <= 0 {
		return nil, &usageError{cause: &errBadFlag{flag: "--span", value: o.Span.String(), allowed: "a duration above 0"}}
	}
	if o.MaxRefused < 0 || o.MaxRefused > 1 {
		return nil, &usageError{cause: &errBadFlag{flag: "--max-refused", value: fmt.Sprint(o.MaxRefused), allowed: "0 to 1"}}
	}
	recorded, err := (&playOptions{Play: o.Trace, Speed: o.Speed, Entries: o.Entries}).readTrace()
	if err != nil || o.Shape == "" {
		return recorded, err
	}
	recorded.Entries, err = load.Reshape(recorded.Entries, load.Shape(o.Shape), o.Span, recorded.Header.Seed)
	return recorded, err
}
