package fleet

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// State is a revision of the configuration together with its encoded entities. It keeps entities and fields that only a
// newer release understands, so that a node of an older release passes them on unchanged. A State is immutable.
type State struct {
	// Config is the part of the entities that this release understands.
	Config *Config
	// ChangeID is the id of the change that made the revision, empty at revision 0.
	ChangeID ChangeID

	entities map[EntityID]json.RawMessage
}

// NewState returns the empty state at revision 0.
func NewState() *State { return &State{Config: new(Config)} }

// Revision returns the state's revision.
func (s *State) Revision() api.Revision { return s.Config.Revision }

// Apply returns the state after a delta, without changing s. It fails with ErrOutOfOrder if the delta isn't the next
// revision, and with ErrForked if its parent isn't the change of s.
func (s *State) Apply(delta Delta) (*State, error) {
	if delta.Revision != s.Revision()+1 {
		return nil, Error.Wrap(&ErrOutOfOrder{Have: s.Revision(), Got: delta.Revision})
	}
	if delta.Parent != s.ChangeID {
		return nil, Error.Wrap(&ErrForked{Revision: s.Revision(), Have: s.ChangeID, Got: delta.Parent})
	}
	return s.withOps(delta.Revision, delta.ID, delta.Ops)
}

// withOps returns the state after ops, with revision and the id of the change that made it; s is not changed.
func (s *State) withOps(revision api.Revision, id ChangeID, ops []Op) (*State, error) {
	entities := maps.Clone(s.entities)
	if entities == nil {
		entities = make(map[EntityID]json.RawMessage, len(ops))
	}
	config := *s.Config
	config.Revision = revision
	for _, op := range ops {
		if err := config.apply(op); err != nil {
			return nil, err
		}
		if len(op.Value) == 0 {
			delete(entities, op.EntityID)
		} else {
			entities[op.EntityID] = op.Value
		}
	}
	return &State{Config: &config, ChangeID: id, entities: entities}, nil
}

// Apply returns the configuration after a delta, without changing c. Entities of kinds that only a newer release
// understands are skipped.
func Apply(c *Config, delta Delta) (*Config, error) {
	if delta.Revision != c.Revision+1 {
		return nil, Error.Wrap(&ErrOutOfOrder{Have: c.Revision, Got: delta.Revision})
	}
	next := *c
	next.Revision = delta.Revision
	for _, op := range delta.Ops {
		if err := next.apply(op); err != nil {
			return nil, err
		}
	}
	return &next, nil
}

// apply carries out one op; it replaces lists and never modifies them in place.
func (c *Config) apply(op Op) (err error) {
	switch op.Kind {
	case KindFleet:
		c.Fleet, err = decodeEntity[string](op)
	case KindDefaults:
		c.Defaults, err = decodeEntity[Policy](op)
	case KindFailureDomain:
		c.FailureDomains, err = applyTo(c.FailureDomains, op, nameOfFailureDomain)
	case KindService:
		c.Services, err = applyTo(c.Services, op, nameOfService)
	case KindTeam:
		c.Teams, err = applyTo(c.Teams, op, nameOfTeam)
	case KindException:
		c.Exceptions, err = applyTo(c.Exceptions, op, nameOfException)
	}
	return err
}

func nameOfFailureDomain(d FailureDomain) string { return string(d.Name) }
func nameOfService(s Service) string             { return string(s.Name) }
func nameOfTeam(t Team) string                   { return string(t.Name) }
func nameOfException(e Exception) string         { return e.ID }

func decodeEntity[T any](op Op) (T, error) {
	var value T
	if len(op.Value) == 0 {
		return value, nil
	}
	if err := json.Unmarshal(op.Value, &value); err != nil {
		return value, Error.Wrap(&ErrCorrupt{What: op.String(), Cause: err})
	}
	return value, nil
}

// applyTo returns a copy of a list, ordered by name, after the op.
func applyTo[T any](list []T, op Op, nameOf func(T) string) ([]T, error) {
	at, found := slices.BinarySearchFunc(list, op.Name, func(item T, name string) int {
		return cmp.Compare(nameOf(item), name)
	})
	copied := slices.Clone(list)
	if len(op.Value) == 0 {
		if found {
			copied = slices.Delete(copied, at, at+1)
		}
		return copied, nil
	}
	value, err := decodeEntity[T](op)
	if err != nil {
		return nil, err
	}
	if nameOf(value) != op.Name {
		return nil, Error.Wrap(&ErrCorrupt{What: op.String(), Cause: &ErrNameMismatch{Name: nameOf(value)}})
	}
	if found {
		copied[at] = value
		return copied, nil
	}
	return slices.Insert(copied, at, value), nil
}

// Ops returns the ops that turn s into the configuration next, ordered by EntityID; none if they are equal.
func (s *State) Ops(next *Config) []Op {
	target := next.entities()
	var ops []Op
	for id, value := range target {
		if !bytes.Equal(canonical(id, s.entities[id]), value) {
			ops = append(ops, Op{EntityID: id, Value: value})
		}
	}
	for id := range s.entities {
		if _, ok := target[id]; !ok && isKnown(id.Kind) {
			ops = append(ops, Op{EntityID: id})
		}
	}
	sortOps(ops)
	return ops
}

func sortOps(ops []Op) {
	slices.SortFunc(ops, func(a, b Op) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
}

func isKnown(kind Kind) bool {
	switch kind {
	case KindFleet, KindDefaults, KindFailureDomain, KindService, KindTeam, KindException:
		return true
	}
	return false
}

// canonical returns an entity as this release encodes it, so that fields of a newer release don't count as a
// difference.
func canonical(id EntityID, value json.RawMessage) []byte {
	var config Config
	if len(value) == 0 || config.apply(Op{EntityID: id, Value: value}) != nil {
		return nil
	}
	return config.entities()[id]
}

// entities returns the configuration's encoded entities.
func (c *Config) entities() map[EntityID]json.RawMessage {
	found := make(map[EntityID]json.RawMessage, 2+len(c.FailureDomains)+len(c.Services)+len(c.Teams)+len(c.Exceptions))
	found[EntityID{Kind: KindFleet}] = mustMarshal(c.Fleet)
	found[EntityID{Kind: KindDefaults}] = mustMarshal(c.Defaults)
	addEntities(found, KindFailureDomain, c.FailureDomains, nameOfFailureDomain)
	addEntities(found, KindService, c.Services, nameOfService)
	addEntities(found, KindTeam, c.Teams, nameOfTeam)
	addEntities(found, KindException, c.Exceptions, nameOfException)
	return found
}

func addEntities[T any](found map[EntityID]json.RawMessage, kind Kind, list []T, nameOf func(T) string) {
	for _, value := range list {
		found[EntityID{Kind: kind, Name: nameOf(value)}] = mustMarshal(value)
	}
}
