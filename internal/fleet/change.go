package fleet

import (
	"encoding/json"
	"time"

	"github.com/google/uuid"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// ChangeID names one change for its whole life, over every try to have it accepted.
type ChangeID string

// NewChangeID returns a fresh random id.
func NewChangeID() ChangeID { return ChangeID(uuid.NewString()) }

// Kind names the kind of an entity.
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

// EntityID names a part of the configuration that changes as a whole; Name is empty for Fleet and Defaults.
type EntityID struct {
	Kind Kind
	Name string `json:",omitempty"`
}

// String returns "Kind/Name", or "Kind" if there is but one.
func (e EntityID) String() string {
	if e.Name == "" {
		return string(e.Kind)
	}
	return string(e.Kind) + "/" + e.Name
}

// Op sets or deletes one entity.
type Op struct {
	EntityID
	// Value is the entity in JSON, with the field names of Config; empty deletes the entity.
	Value json.RawMessage `json:",omitempty"`
}

// Change is what an operator wants to be accepted.
type Change struct {
	ID ChangeID
	// Base is the revision that the author saw.
	Base api.Revision
	// Author and Reason are never empty.
	Author string
	Reason string
	// Time is the author's clock.
	Time time.Time
	// Rebase moves the change onto a newer revision if no change in between touched the same entities.
	Rebase bool `json:",omitempty"`
	// Ops names each entity once, in the order of the entities.
	Ops []Op
}

// Delta is a change with its place in the history. It is written once and never changed.
type Delta struct {
	// Revision is one above that of the change it follows.
	Revision api.Revision
	// Parent is the id of the change it follows, empty for the first.
	Parent ChangeID `json:",omitempty"`
	Change
}

// Overlaps reports whether two changes share an entity, and names the first.
func (c Change) Overlaps(other Change) (EntityID, bool) {
	touched := make(map[EntityID]bool, len(c.Ops))
	for _, op := range c.Ops {
		touched[op.EntityID] = true
	}
	for _, op := range other.Ops {
		if touched[op.EntityID] {
			return op.EntityID, true
		}
	}
	return EntityID{}, false
}

// Encode returns the delta's JSON.
func (d Delta) Encode() []byte { return mustMarshal(d) }

// DecodeDelta reads what Encode wrote, by this release or a neighbouring one: fields it doesn't know are skipped.
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

// mustMarshal encodes the package's own types, which always can be.
func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
