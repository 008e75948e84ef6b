package cmd

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/replay"
	"github.com/monsoonrail/monsoonrail/internal/trace"
)

type replayOptions struct {
	Trace      string   `long:"trace" required:"true" description:"trace file"`
	Policy     []string `long:"policy" default:"ours" description:"policy; may be given several times; \"all\" means every one"`
	Seeds      int      `long:"seeds" default:"1" description:"number of seeds, counted up from --seed"`
	Seed       uint64   `long:"seed" default:"1" description:"first seed"`
	Laps       int      `long:"laps" default:"1" description:"how many times in a row the trace is played"`
	Load       float64  `long:"load" default:"0" description:"play an even stream at this part of the servers' capacity instead of the trace's own times"`
	Nodes      int      `long:"nodes" default:"8" description:"number of nodes that decide"`
	Choices    int      `long:"choices" default:"2" description:"servers drawn and compared for each request while servers are busy; 0 compares all"`
	Stickiness float64  `long:"stickiness" default:"0.2" description:"part by which another server must be better than one with the prefix cached"`
	Admission  bool     `long:"admission" description:"put queues with fair shares between teams before the servers"`
	Format     string   `long:"format" default:"table" choice:"table" choice:"json" description:"output format"`

	std streams
}

func replayCommand(std streams) subcommand {
	return subcommand{
		name:  "replay",
		short: "Replay a trace against a policy in virtual time",
		long:  "Replays a trace against simulated servers and a known truth about versions, and prints what a policy's choices cost and gave. Equal arguments print equal figures.",
		data:  &replayOptions{std: std},
	}
}

// Execute implements flags.Commander.
func (o *replayOptions) Execute([]string) error {
	if o.Seeds < 1 || o.Laps < 1 || o.Nodes < 1 || o.Load < 0 {
		return &usageError{cause: &errBadReplay{}}
	}
	recorded, err := trace.ReadFile(o.Trace)
	if err != nil {
		return &usageError{cause: err}
	}
	results, err := o.run(recorded)
	if err != nil {
		return err
	}
	if o.Format == "json" {
		encoder := json.NewEncoder(o.std.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(results)
	}
	return o.print(results)
}

// errBadReplay means that a number of the command line is out of bounds.
type errBadReplay struct{}

// Error implements error.
func (*errBadReplay) Error() string {
	return "seeds, laps and nodes must be at least 1, load at least 0"
}

func (o *replayOptions) run(recorded *trace.Trace) ([]*replay.Result, error) {
	var results []*replay.Result
	for _, policy := range o.policies() {
		for i := range o.Seeds {
			opts, err := replay.ForPolicy(policy, o.Seed+uint64(i))
			if err != nil {
				return nil, &usageError{cause: err}
			}
			opts.Laps, opts.Load, opts.Nodes, opts.Choices = o.Laps, o.Load, o.Nodes, o.Choices
			opts.Stickiness, opts.Admission = o.Stickiness, o.Admission
			result, err := replay.Run(recorded, opts)
			if err != nil {
				return nil, err
			}
			results = append(results, result)
		}
	}
	return results, nil
}

func (o *replayOptions) policies() []replay.Policy {
	var policies []replay.Policy
	for _, name := range o.Policy {
		if name == "all" {
			return replay.Policies()
		}
		policies = append(policies, replay.Policy(name))
	}
	return policies
}

func (o *replayOptions) print(results []*replay.Result) error {
	table := tabwriter.NewWriter(o.std.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "versions\tservers\tseed\ttarget\tcost/oracle\tcost/best\tp50\tp99\tprefix hits\tfair load\tpeak queue\tregret\t")
	for _, r := range results {
		met := "met"
		if !r.TargetMet {
			met = "missed"
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%.3f\t%.3f\t%s\t%s\t%.3f\t%.3f\t%.2f\t%.2f\t\n",
			r.Versions, r.Servers, r.Seed, met,
			float64(r.Cost)/float64(r.OracleCost), float64(r.Cost)/float64(r.BestCost),
			r.P50.Round(time.Millisecond), r.P99.Round(time.Millisecond),
			r.PrefixHits, r.MaxFairLoad, r.PeakQueue, r.Regret[len(r.Regret)-1])
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if err := o.printClasses(results); err != nil || !o.Admission {
		return err
	}
	return o.printTeams(results)
}

func (o *replayOptions) printClasses(results []*replay.Result) error {
	table := tabwriter.NewWriter(o.std.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\nversions\tservers\tseed\tclass\trequests\tquality\tp99\tescalated\t")
	for _, r := range results {
		for _, c := range r.Classes {
			fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\t%.4f\t%s\t%.3f\t\n",
				r.Versions, r.Servers, r.Seed, c.Class, c.Requests, float64(c.Quality), c.P99.Round(time.Millisecond), c.Escalated)
		}
	}
	return table.Flush()
}

func (o *replayOptions) printTeams(results []*replay.Result) error {
	table := tabwriter.NewWriter(o.std.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\nversions\tservers\tseed\tgoodput\tteam\toffered\trefused\tlate\tused/share\tp99\t")
	for _, r := range results {
		for _, team := range r.Teams {
			fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%s\t%d\t%d\t%d\t%.3f\t%s\t\n", r.Versions, r.Servers, r.Seed, r.Goodput,
				team.Team, team.Offered, team.Refused, team.Late, team.Used/team.FairShare, team.P99.Round(time.Millisecond))
		}
	}
	return table.Flush()
}
