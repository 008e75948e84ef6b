// Package setting holds the settings of a node, one file a section; each is a flag and an environment variable.
package setting

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("setting")

// ErrBadSetting means that a setting has a value that is not allowed.
type ErrBadSetting struct {
	// Flag is the setting's long flag.
	Flag string
	// Value is what was given; empty for secrets.
	Value string
	// Allowed tells what is allowed.
	Allowed string
}

// Error implements error.
func (e *ErrBadSetting) Error() string {
	return fmt.Sprintf("--%s=%q: allowed is %s", e.Flag, e.Value, e.Allowed)
}

// Settings holds every section.
type Settings struct {
	Node     Node     `group:"Node"`
	Platform Platform `group:"Platform"`
	Secrets  Secrets  `group:"Secrets"`
	Caller   Caller   `group:"Caller API"`
	Log      Log      `group:"Log"`
}

// section is one part of the settings.
type section interface {
	check() []error
}

// Check returns every fault of the settings, joined, or nil.
func (s *Settings) Check() error {
	var faults []error
	for _, part := range []section{&s.Node, &s.Platform, &s.Secrets, &s.Caller, &s.Log} {
		faults = append(faults, part.check()...)
	}
	return Error.Wrap(errs.Combine(faults...))
}

func bad(flag, value, allowed string) error {
	return &ErrBadSetting{Flag: flag, Value: value, Allowed: allowed}
}
