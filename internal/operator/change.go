package operator

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.yaml.in/yaml/v3"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxReason bounds a reason in bytes.
	maxReason = 500
	// maxSettings bounds the settings of an exception in bytes.
	maxSettings = 16 << 10
)

// Draft is a change that an operator prepares: an exception to be added or one to be ended.
type Draft struct {
	// ID makes the change idempotent.
	ID fleet.ChangeID
	// Base is the revision that the operator saw; 0 means the newest.
	Base api.Revision
	// Add is nil where an exception is ended.
	Add *fleet.Exception
	// End is the id of the exception to be ended.
	End    string
	Reason string
}

// Plan returns the change that a draft stands for, and the configuration that it leads to from the state.
// The error is IsErrBadField, IsErrExceptionExists, IsErrExceptionNotExist or fleet.IsErrInvalid.
func (d Draft) Plan(state *fleet.State, by Operator, now time.Time) (fleet.Change, *fleet.Config, error) {
	if d.ID == "" {
		d.ID = fleet.NewChangeID()
	}
	if d.Base == 0 {
		d.Base = state.Revision()
	}
	change := fleet.Change{ID: d.ID, Base: d.Base, Author: by.Name, Reason: strings.TrimSpace(d.Reason), Time: now.UTC(), Rebase: true}
	if change.Reason == "" || len(change.Reason) > maxReason {
		return change, nil, bad("Reason", d.Reason, "1 to 500 bytes")
	}
	next := *state.Config
	var err error
	if d.Add != nil {
		change.Ops, err = d.add(&next, by, change.Reason)
	} else {
		change.Ops, err = d.end(&next)
	}
	if err != nil {
		return change, nil, err
	}
	return change, &next, Error.Wrap(next.Validate())
}

func (d Draft) add(config *fleet.Config, by Operator, reason string) ([]fleet.Op, error) {
	exc := *d.Add
	exc.Author = by.Name
	exc.Reason = reason
	if exc.ID == "" {
		exc.ID = "op-" + uuid.NewString()[:8]
	}
	if err := checkException(exc); err != nil {
		return nil, err
	}
	at, found := findException(config, exc.ID)
	if found {
		return nil, Error.Wrap(&ErrExceptionExists{ID: exc.ID, Author: config.Exceptions[at].Author})
	}
	config.Exceptions = slices.Insert(slices.Clone(config.Exceptions), at, exc)
	value, err := json.Marshal(exc)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return []fleet.Op{{EntityID: fleet.EntityID{Kind: fleet.KindException, Name: exc.ID}, Value: value}}, nil
}

func checkException(exc fleet.Exception) error {
	switch {
	case exc.Withdraw && (exc.Scope.Version.Model == "" || exc.Scope.Version.Version == ""):
		return bad("Scope.Version", exc.Scope.Version.String(), "model@version")
	case !exc.Withdraw && exc.Set == (fleet.PolicyPatch{}):
		return bad("Set", "", "at least one setting, or Withdraw")
	}
	return nil
}

func (d Draft) end(config *fleet.Config) ([]fleet.Op, error) {
	at, found := findException(config, d.End)
	if !found {
		return nil, Error.Wrap(&ErrExceptionNotExist{ID: d.End})
	}
	config.Exceptions = slices.Delete(slices.Clone(config.Exceptions), at, at+1)
	return []fleet.Op{{EntityID: fleet.EntityID{Kind: fleet.KindException, Name: d.End}}}, nil
}

func findException(config *fleet.Config, id string) (at int, found bool) {
	return slices.BinarySearchFunc(config.Exceptions, id, func(exc fleet.Exception, id string) int {
		return strings.Compare(exc.ID, id)
	})
}

// parseSettings reads the settings of an exception, in YAML or JSON with the names of the configuration; unknown names
// are refused. The error is IsErrBadField.
func parseSettings(text string) (fleet.PolicyPatch, error) {
	var patch fleet.PolicyPatch
	text = strings.TrimSpace(text)
	if text == "" || text == "{}" {
		return patch, nil
	}
	if len(text) > maxSettings {
		return patch, bad("Set", "", "at most 16384 bytes")
	}
	decoder := yaml.NewDecoder(strings.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&patch); err != nil {
		return patch, bad("Set", text, "settings as in the configuration, such as \"QualityTarget: 0.8\" ("+err.Error()+")")
	}
	return patch, nil
}

// formatSettings writes the settings of an exception as parseSettings reads them.
func formatSettings(patch fleet.PolicyPatch) string {
	text, err := yaml.Marshal(patch)
	if err != nil || patch == (fleet.PolicyPatch{}) {
		return ""
	}
	return strings.TrimSpace(string(text))
}
