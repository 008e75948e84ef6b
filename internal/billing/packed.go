package billing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// maxKinds bounds the kinds that a node and its peer remember; the list is begun anew beyond it.
const maxKinds = 4096

// senderOf is the short name of an incarnation between a node and the peer that knows it; it is not 0.
func senderOf(incarnation api.Incarnation) uint64 {
	return max(1, xxhash.Sum64String(string(incarnation)))
}

// kindList is the list of kinds that a node and its peer know alike: the node only adds to it, and tells the peer from which place
// on it adds.
type kindList struct {
	kinds  []kind
	places map[kind]uint32
}

// place returns the place of a kind, which is added if it is new.
func (l *kindList) place(k kind) uint32 {
	place, ok := l.places[k]
	if ok {
		return place
	}
	if l.places == nil {
		l.places = make(map[kind]uint32)
	}
	place = uint32(len(l.kinds))
	l.places[k] = place
	l.kinds = append(l.kinds, k)
	return place
}

// from returns the kinds from a place on.
func (l *kindList) from(place int) []*billingpb.Kind {
	var added []*billingpb.Kind
	for _, k := range l.kinds[place:] {
		added = append(added, &billingpb.Kind{Team: k.team, Service: k.service, Model: k.model, Version: k.version, Day: k.day})
	}
	return added
}

// learn adds the kinds that follow the first few, and reports false if these are not all known.
func (l *kindList) learn(known uint32, added []*billingpb.Kind) bool {
	if int(known) > len(l.kinds) {
		return false
	}
	l.kinds = l.kinds[:known]
	for _, k := range added {
		l.kinds = append(l.kinds, kind{team: k.Team, service: k.Service, model: k.Model, version: k.Version, day: k.Day})
	}
	return true
}

// pack returns a run of batches in columns.
func (l *kindList) pack(s *billingpb.Segment) *billingpb.PackedBatch {
	packed := &billingpb.PackedBatch{First: s.First, More: s.Last - s.First}
	areSingle := true
	add := func(sum *billingpb.Sum) {
		packed.Kinds = append(packed.Kinds, l.place(kindOf(sum)))
		packed.Requests = append(packed.Requests, sum.Requests)
		packed.PromptTokens = append(packed.PromptTokens, sum.PromptTokens)
		packed.AnswerTokens = append(packed.AnswerTokens, sum.AnswerTokens)
		packed.CostMicroUsd = append(packed.CostMicroUsd, sum.CostMicroUsd)
		areSingle = areSingle && sum.Requests == 1
	}
	for _, sum := range s.Sums {
		add(sum)
	}
	for _, keyed := range s.Keyed {
		add(keyed.Sum)
		packed.Ids = append(packed.Ids, keyed.Id...)
	}
	if areSingle {
		packed.Requests = nil
	}
	return packed
}

// unpack returns what pack packed, or false if the columns don't fit each other or the list.
func (l *kindList) unpack(packed *billingpb.PackedBatch) (*billingpb.Segment, bool) {
	count, keyed := len(packed.Kinds), len(packed.Ids)/idBytes
	isWhole := len(packed.PromptTokens) == count && len(packed.AnswerTokens) == count && len(packed.CostMicroUsd) == count &&
		(len(packed.Requests) == 0 || len(packed.Requests) == count) && len(packed.Ids)%idBytes == 0 && keyed <= count
	if !isWhole {
		return nil, false
	}
	s := &billingpb.Segment{First: packed.First, Last: packed.First + packed.More}
	for i, place := range packed.Kinds {
		if int(place) >= len(l.kinds) {
			return nil, false
		}
		sum := sumOf(l.kinds[place])
		sum.Requests = 1
		if len(packed.Requests) > 0 {
			sum.Requests = packed.Requests[i]
		}
		sum.PromptTokens, sum.AnswerTokens, sum.CostMicroUsd = packed.PromptTokens[i], packed.AnswerTokens[i], packed.CostMicroUsd[i]
		if i < count-keyed {
			s.Sums = append(s.Sums, sum)
			continue
		}
		at := (i - (count - keyed)) * idBytes
		s.Keyed = append(s.Keyed, &billingpb.Keyed{Id: packed.Ids[at : at+idBytes], Sum: sum})
	}
	return s, true
}

func sumOf(k kind) *billingpb.Sum {
	return &billingpb.Sum{Team: k.team, Service: k.service, Model: k.model, Version: k.version, Day: k.day}
}
