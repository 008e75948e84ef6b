// Package setting defines the settings of a node, with one file per section. Each setting is a flag and an environment variable.
package setting

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("setting")

// ErrBadSetting means that a setting has an invalid value.
type ErrBadSetting struct {
	// Flag is the setting's long flag.
	Flag string
	// Value is the invalid value; empty for secrets.
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// Error implements error.
func (e *ErrBadSetting) Error() string {
	return fmt.Sprintf("--%s=%q: allowed is %s", e.Flag, e.Value, e.Allowed)
}

// Settings holds all sections of the settings.
type Settings struct {
	Node      Node      `group:"Node"`
	Platform  Platform  `group:"Platform"`
	Secrets   Secrets   `group:"Secrets"`
	Caller    Caller    `group:"Caller API"`
	Resources Resources `group:"Resources"`
	Log       Log       `group:"Log"`
}

// section is one section of the settings; check returns its errors.
type section interface {
	check() []error
}

// Check validates the settings; it returns all errors combined into one, or nil.
func (s *Settings) Check() error {
	var faults []error
	for _, part := range []section{&s.Node, &s.Platform, &s.Secrets, &s.Caller, &s.Resources, &s.Log} {
		faults = append(faults, part.check()...)
	}
	return Error.Wrap(errs.Combine(faults...))
}

func badSetting(flag, value, allowed string) error {
	return &ErrBadSetting{Flag: flag, Value: value, Allowed: allowed}
}
