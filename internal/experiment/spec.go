// Package experiment runs a trace under several policies and seeds and compares what came of it.
package experiment

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/zeebo/errs"
	"go.yaml.in/yaml/v3"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/load"
	"github.com/monsoonrail/monsoonrail/internal/trace"
)

// Error is the class of every error of the package.
var Error = errs.Class("experiment")

// Spec describes an experiment; files hold it as YAML.
type Spec struct {
	// Name titles the report.
	Name string `yaml:"Name"`
	// Config is the folder of the fleet's configuration and Trace the trace file, both relative to the working folder.
	Config string `yaml:"Config"`
	Trace  string `yaml:"Trace"`
	// Entries is the number of requests to take from the trace's start; 0 takes all.
	Entries int `yaml:"Entries,omitempty"`
	// Shape spreads the arrivals anew over Span; empty keeps the trace's own at Speed.
	Shape load.Shape    `yaml:"Shape,omitempty"`
	Span  time.Duration `yaml:"Span,omitempty"`
	Speed float64       `yaml:"Speed,omitempty"`
	// Nodes, Engines and Plains are those of each system; 0 takes the default of dev.
	Nodes   int `yaml:"Nodes,omitempty"`
	Engines int `yaml:"Engines,omitempty"`
	Plains  int `yaml:"Plains,omitempty"`
	// Seeds are those of the systems; each variant runs once with each.
	Seeds []uint64 `yaml:"Seeds"`
	// Variants are the policies to compare; at least one.
	Variants []Variant `yaml:"Variants"`
	// Faults replace those of the trace.
	Faults []Fault `yaml:"Faults,omitempty"`
	// MaxRefused is the largest part of the requests that a run may refuse.
	MaxRefused float64 `yaml:"MaxRefused,omitempty"`
}

// Variant is a policy: the configuration's own, with some settings changed for all requests.
type Variant struct {
	Name string            `yaml:"Name"`
	Set  fleet.PolicyPatch `yaml:"Set,omitempty"`
}

// Fault is a fault of a run.
type Fault struct {
	At     time.Duration   `yaml:"At"`
	Kind   trace.FaultKind `yaml:"Kind"`
	Target string          `yaml:"Target,omitempty"`
	For    time.Duration   `yaml:"For,omitempty"`
}

// ErrBadSpec means that an experiment's file is malformed.
type ErrBadSpec struct {
	Path   string
	Detail string
}

// Error implements error.
func (e *ErrBadSpec) Error() string { return fmt.Sprintf("%s: %s", e.Path, e.Detail) }

// ReadFile reads and checks an experiment.
func ReadFile(path string) (*Spec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	spec, err := decode(data)
	if err != nil {
		return nil, Error.Wrap(&ErrBadSpec{Path: path, Detail: err.Error()})
	}
	if problem := spec.problem(); problem != "" {
		return nil, Error.Wrap(&ErrBadSpec{Path: path, Detail: problem})
	}
	return spec, nil
}

// decode reads exactly one YAML document without unknown fields.
func decode(data []byte) (*Spec, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	var spec Spec
	if err := decoder.Decode(&spec); err != nil {
		return nil, err
	}
	if err := decoder.Decode(&struct{}{}); !errors.Is(err, io.EOF) {
		return nil, &ErrBadSpec{Detail: "more than one document"}
	}
	return &spec, nil
}

// problem names the first thing that is wrong; it is empty if nothing is.
func (s *Spec) problem() string {
	switch {
	case s.Name == "":
		return "Name is missing"
	case s.Config == "" || s.Trace == "":
		return "Config and Trace are needed"
	case len(s.Variants) == 0:
		return "Variants is empty"
	case len(s.Seeds) == 0:
		return "Seeds is empty"
	case s.Entries < 0 || s.Nodes < 0 || s.Engines < 0 || s.Plains < 0 || s.Speed < 0:
		return "Entries, Nodes, Engines, Plains and Speed must not be negative"
	case (s.Shape == "") != (s.Span == 0):
		return "Shape and Span are given together or not at all"
	case s.MaxRefused < 0 || s.MaxRefused > 1:
		return "MaxRefused is from 0 to 1"
	}
	names := make(map[string]bool)
	for _, variant := range s.Variants {
		if variant.Name == "" || names[variant.Name] {
			return "each of Variants needs a Name of its own"
		}
		names[variant.Name] = true
	}
	return ""
}
