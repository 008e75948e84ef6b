package operator

import (
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Values of form.Kind besides the roll-out commands.
const (
	kindAdd      = "add"
	kindWithdraw = "withdraw"
	kindEnd      = "end"
	kindStop     = "stop"
)

// form holds the values of a submitted form. The fields have the names of the HTML inputs.
type form struct {
	// Kind is one of the constants above or a rollout.Command.
	Kind          string
	ID            string
	Team          string
	Service       string
	Class         string
	Version       string
	FailureDomain string
	Settings      string
	Reason        string
	// Lasts is the exception's duration, counted from the confirmation; empty for an exception without end.
	Lasts string
	// Expires, ChangeID and Base are set when the confirmation page is rendered.
	Expires  string
	ChangeID string
	Base     int64
}

func formOf(values url.Values) form {
	get := func(name string) string { return strings.TrimSpace(values.Get(name)) }
	base, _ := strconv.ParseInt(get("Base"), 10, 64)
	return form{
		Kind: get("Kind"), ID: get("ID"), Team: get("Team"), Service: get("Service"), Class: get("Class"),
		Version: get("Version"), FailureDomain: get("FailureDomain"), Settings: get("Settings"), Reason: get("Reason"),
		Lasts: get("Lasts"), Expires: get("Expires"), ChangeID: get("ChangeID"), Base: base,
	}
}

// IsRollOut reports whether the form is a command to a roll-out.
func (f form) IsRollOut() bool {
	switch rollout.Command(f.Kind) {
	case rollout.CommandPause, rollout.CommandResume, rollout.CommandAbort:
		return true
	}
	return false
}

// Title returns the heading of the form, which names its action.
func (f form) Title() string {
	switch f.Kind {
	case kindAdd:
		return "Add an exception"
	case kindWithdraw:
		return "Withdraw " + f.Version
	case kindEnd:
		return "End exception " + f.ID
	case kindStop:
		return "Stop " + f.Version + " on the nodes"
	default:
		return strings.ToUpper(f.Kind[:min(1, len(f.Kind))]) + f.Kind[min(1, len(f.Kind)):] + " the roll-out of " + f.Service
	}
}

// IsStop reports whether the form stops a version without an accepted change.
func (f form) IsStop() bool { return f.Kind == kindStop }

func (f form) stop() suspect.OperatorStop {
	return suspect.OperatorStop{Service: api.Service(f.Service), Version: api.ParseVersionID(f.Version), Reason: f.Reason}
}

func (f form) command() rollout.CommandOptions {
	return rollout.CommandOptions{Service: api.Service(f.Service), Command: rollout.Command(f.Kind), Reason: f.Reason}
}

// draft returns the change described by the form. The error is IsErrBadField.
func (f form) draft(now time.Time) (Draft, error) {
	draft := Draft{ID: fleet.ChangeID(f.ChangeID), Base: api.Revision(f.Base), Reason: f.Reason}
	switch f.Kind {
	case kindEnd:
		draft.End = f.ID
		return draft, nil
	case kindAdd, kindWithdraw:
	default:
		return draft, badField("Kind", f.Kind, "add, withdraw or end")
	}
	settings, err := parseSettings(f.Settings)
	if err != nil {
		return draft, err
	}
	expires, err := f.expiry(now)
	if err != nil {
		return draft, err
	}
	draft.Add = &fleet.Exception{
		ID: f.ID, Set: settings, Withdraw: f.Kind == kindWithdraw, Reason: f.Reason, Expires: expires,
		Scope: fleet.Scope{
			Team: api.Team(f.Team), Service: api.Service(f.Service), Class: api.Class(f.Class),
			Version: api.ParseVersionID(f.Version), FailureDomain: api.FailureDomain(f.FailureDomain),
		},
	}
	return draft, nil
}

func (f form) expiry(now time.Time) (time.Time, error) {
	if f.Expires != "" {
		at, err := time.Parse(time.RFC3339, f.Expires)
		if err != nil {
			return at, badField("Expires", f.Expires, "a time such as 2026-03-01T08:00:00Z")
		}
		return at, nil
	}
	if f.Lasts == "" {
		return time.Time{}, nil
	}
	duration, err := time.ParseDuration(f.Lasts)
	if err != nil || duration <= 0 {
		return time.Time{}, badField("Lasts", f.Lasts, "a duration such as 8h")
	}
	return now.Add(duration).UTC().Truncate(time.Second), nil
}

// prepare sets the fields that must stay the same when the confirmation is submitted again: the ids, the base revision and the expiry.
func (f *form) prepare(draft Draft, revision int64) {
	f.ChangeID = uuid.NewString()
	f.Base = revision
	if draft.Add == nil {
		return
	}
	if f.ID == "" {
		f.ID = "op-" + f.ChangeID[:8]
	}
	if !draft.Add.Expires.IsZero() {
		f.Expires = draft.Add.Expires.Format(time.RFC3339)
	}
}

// choices holds the values that the form offers for selection.
type choices struct {
	Teams    []api.Team
	Services []api.Service
	Classes  []api.Class
	Versions []string
	Domains  []api.FailureDomain
}

func choicesOf(config *fleet.Config) choices {
	var c choices
	for _, team := range config.Teams {
		c.Teams = append(c.Teams, team.Name)
	}
	for _, domain := range config.FailureDomains {
		c.Domains = append(c.Domains, domain.Name)
	}
	seen := map[api.Class]bool{}
	for _, service := range config.Services {
		c.Services = append(c.Services, service.Name)
		for _, class := range service.Classes {
			if !seen[class] {
				seen[class] = true
				c.Classes = append(c.Classes, class)
			}
		}
		for _, model := range service.Models {
			for _, version := range model.Versions {
				c.Versions = append(c.Versions, api.VersionID{Model: model.Name, Version: version.Name}.String())
			}
		}
	}
	return c
}
