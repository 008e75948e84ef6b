package fleet

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// ChangeID identifies a change across all attempts to have it accepted.
type ChangeID string

// NewChangeID returns a random id.
func NewChangeID() ChangeID { return ChangeID(uuid.NewString()) }

// Kind is the kind of an entity.
type Kind string

// Kinds of entities.
const (
	KindFleet         Kind = "Fleet"
	KindDefaults      Kind = "Defaults"
	KindFailureDomain Kind = "FailureDomain"
	KindService       Kind = "Service"
	KindTeam          Kind = "Team"
	KindException     Kind = "Exception"
)

// EntityID identifies an entity: the smallest part of the configuration that is set or deleted as a whole. Name is
// empty for Fleet and Defaults.
type EntityID struct {
	Kind Kind
	Name string `json:",omitempty"`
}

// String returns "Kind/Name", or "Kind" if Name is empty.
func (e EntityID) String() string {
	if e.Name == "" {
		return string(e.Kind)
	}
	return string(e.Kind) + "/" + e.Name
}

// Op sets or deletes one entity.
type Op struct {
	EntityID
	// Value is the entity in JSON, with the field names of Config; an empty value deletes the entity.
	Value json.RawMessage `json:",omitempty"`
}

// Change is a change of the configuration that an operator submits.
type Change struct {
	ID ChangeID
	// Base is the revision on which the author based the change.
	Base api.Revision
	// Author and Reason are never empty.
	Author string
	Reason string
	// Time is the time of submission by the author's clock.
	Time time.Time
	// Rebase allows the change to apply to a newer revision if no change in between touched the same entities.
	Rebase bool `json:",omitempty"`
	// Ops holds at most one op per entity, ordered by EntityID.
	Ops []Op
}

// Delta is an accepted change with its position in the history. It is immutable once written.
type Delta struct {
	// Revision is one above the revision of the preceding change.
	Revision api.Revision
	// Parent is the id of the preceding change, empty for the first.
	Parent ChangeID `json:",omitempty"`
	Change
}

// Overlaps reports whether two changes share an entity, and returns the first shared one in the order of other's ops.
func (c Change) Overlaps(other Change) (EntityID, bool) {
	changed := make(map[EntityID]bool, len(c.Ops))
	for _, op := range c.Ops {
		changed[op.EntityID] = true
	}
	for _, op := range other.Ops {
		if changed[op.EntityID] {
			return op.EntityID, true
		}
	}
	return EntityID{}, false
}

// Encode returns the delta's JSON.
func (d Delta) Encode() []byte { return mustMarshal(d) }

// DecodeDelta decodes a delta that this release or a neighbouring one has encoded: unknown fields are skipped.
func DecodeDelta(data []byte) (Delta, error) {
	var delta Delta
	if err := json.Unmarshal(data, &delta); err != nil {
		return Delta{}, Error.Wrap(&ErrCorrupt{What: "delta", Cause: err})
	}
	if delta.Revision < 1 || delta.ID == "" {
		return Delta{}, Error.Wrap(&ErrCorrupt{What: "delta", Cause: &ErrOutOfOrder{Got: delta.Revision}})
	}
	return delta, nil
}

// mustMarshal returns the JSON of a value of the package's own types, which never fail to encode.
func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
