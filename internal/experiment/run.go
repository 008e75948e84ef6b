package experiment

import (
	"context"
	"fmt"
	"slices"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/load"
	"github.com/monsoonrail/monsoonrail/internal/play"
	"github.com/monsoonrail/monsoonrail/internal/report"
	"github.com/monsoonrail/monsoonrail/internal/trace"
)

// Run is one run of a variant with a seed.
type Run struct {
	Variant string
	Seed    uint64
	Report  *report.Report
}

// Options are how an experiment is run.
type Options struct {
	Spec *Spec
	// Network is that of the systems; nil means loopback TCP.
	Network func() play.Network
	// Prefix holds the first two numbers of every address; empty means "127.1".
	Prefix string
	// OnRun, if set, is told of each run that begins.
	OnRun func(variant string, seed uint64)
}

// Do runs every variant with every seed, one after the other.
func Do(ctx context.Context, opts Options) ([]Run, error) {
	spec := opts.Spec
	config, err := fleet.Load(spec.Config)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	played, err := spec.trace()
	if err != nil {
		return nil, err
	}
	var runs []Run
	for _, variant := range spec.Variants {
		for _, seed := range spec.Seeds {
			if opts.OnRun != nil {
				opts.OnRun(variant.Name, seed)
			}
			made, err := play.Run(ctx, spec.playOptions(opts, played, variant.apply(config), seed))
			if err != nil {
				return nil, err
			}
			runs = append(runs, Run{Variant: variant.Name, Seed: seed, Report: made})
		}
	}
	return runs, nil
}

func (s *Spec) playOptions(opts Options, played *trace.Trace, config *fleet.Config, seed uint64) play.Options {
	made := play.Options{
		Trace: played,
		System: dev.Options{
			Config: config, Prefix: opts.Prefix, Nodes: s.Nodes, Engines: s.Engines, PlainServers: s.Plains, Seed: seed,
		},
		Speed: s.Speed,
	}
	if opts.Network != nil {
		made.Network = opts.Network()
	}
	return made
}

// trace returns the requests and faults of every run.
func (s *Spec) trace() (*trace.Trace, error) {
	read, err := trace.ReadFile(s.Trace)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if s.Entries > 0 && s.Entries < len(read.Entries) {
		read.Entries = read.Entries[:s.Entries]
	}
	if s.Shape != "" {
		read.Entries, err = load.Reshape(read.Entries, s.Shape, s.Span, read.Header.Seed)
		if err != nil {
			return nil, err
		}
	}
	read.Header.Entries = len(read.Entries)
	read.Header.Outcome = trace.Outcome{RefusedShare: s.MaxRefused}
	read.Header.Faults = nil
	for _, fault := range s.Faults {
		read.Header.Faults = append(read.Header.Faults, trace.Fault(fault))
	}
	return read, nil
}

// apply returns the configuration with the variant's settings for every request.
func (v Variant) apply(config *fleet.Config) *fleet.Config {
	if v.Set == (fleet.PolicyPatch{}) {
		return config
	}
	changed := *config
	changed.Exceptions = append(slices.Clone(config.Exceptions), fleet.Exception{
		ID: "variant", Set: v.Set, Reason: fmt.Sprintf("variant %q of an experiment", v.Name), Author: "experiment",
	})
	return &changed
}
