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
	// maxReason is the maximum length of a reason in bytes.
	maxReason = 500
	// maxSettings is the maximum length of an exception's settings in bytes.
	maxSettings = 16 << 10
)

// Draft is a change prepared by an operator: either an exception to be added or one to be ended.
type Draft struct {
	// ID identifies the change, so that repeating it takes effect once; if empty, Plan chooses a new id.
	ID fleet.ChangeID
	// Base is the revision on which the operator based the change; 0 means the newest.
	Base api.Revision
	// Add is the exception to be added; nil if the draft ends one.
	Add *fleet.Exception
	// End is the id of the exception to be ended; used if Add is nil.
	End    string
	Reason string
}

// Plan returns the change described by the draft, and the configuration that results from applying it to state.
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
		return change, nil, badField("Reason", d.Reason, "1 to 500 bytes")
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
	index, found := findException(config, exc.ID)
	if found {
		return nil, Error.Wrap(&ErrExceptionExists{ID: exc.ID, Author: config.Exceptions[index].Author})
	}
	config.Exceptions = slices.Insert(slices.Clone(config.Exceptions), index, exc)
	value, err := json.Marshal(exc)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return []fleet.Op{{EntityID: fleet.EntityID{Kind: fleet.KindException, Name: exc.ID}, Value: value}}, nil
}

func checkException(exc fleet.Exception) error {
	switch {
	case exc.Withdraw && (exc.Scope.Version.Model == "" || exc.Scope.Version.Version == ""):
		return badField("Scope.Version", exc.Scope.Version.String(), "model@version")
	case !exc.Withdraw && exc.Set == (fleet.PolicyPatch{}):
		return badField("Set", "", "at least one setting, or Withdraw")
	}
	return nil
}

func (d Draft) end(config *fleet.Config) ([]fleet.Op, error) {
	index, found := findException(config, d.End)
	if !found {
		return nil, Error.Wrap(&ErrExceptionNotExist{ID: d.End})
	}
	config.Exceptions = slices.Delete(slices.Clone(config.Exceptions), index, index+1)
	return []fleet.Op{{EntityID: fleet.EntityID{Kind: fleet.KindException, Name: d.End}}}, nil
}

func findException(config *fleet.Config, id string) (at int, found bool) {
	return slices.BinarySearchFunc(config.Exceptions, id, func(exc fleet.Exception, id string) int {
		return strings.Compare(exc.ID, id)
	})
}

// parseSettings parses the settings of an exception, in YAML or JSON with the field names of the configuration. Unknown names are
// rejected. The error is IsErrBadField.
func parseSettings(text string) (fleet.PolicyPatch, error) {
	var patch fleet.PolicyPatch
	text = strings.TrimSpace(text)
	if text == "" || text == "{}" {
		return patch, nil
	}
	if len(text) > maxSettings {
		return patch, badField("Set", "", "at most 16384 bytes")
	}
	decoder := yaml.NewDecoder(strings.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(&patch); err != nil {
		return patch, badField("Set", text, "settings as in the configuration, such as \"QualityTarget: 0.8\" ("+err.Error()+")")
	}
	return patch, nil
}

// formatSettings formats the settings of an exception in YAML for parseSettings; empty if no setting is set.
func formatSettings(patch fleet.PolicyPatch) string {
	text, err := yaml.Marshal(patch)
	if err != nil || patch == (fleet.PolicyPatch{}) {
		return ""
	}
	return strings.TrimSpace(string(text))
}
