package billing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// maxKinds bounds the kind list that a node and its peer share; a longer list is reset.
const maxKinds = 4096

// senderID returns a short id of an incarnation for messages to a peer that already has state for it; it is never 0.
func senderID(incarnation api.Incarnation) uint64 {
	return max(1, xxhash.Sum64String(string(incarnation)))
}

// kindList is a list of kinds that a node and its peer share. The node only appends to it, and sends the peer the index
// at which the appended kinds begin.
type kindList struct {
	kinds   []kind
	indexes map[kind]uint32
}

// indexOf returns the index of a kind and appends the kind if it is missing.
func (l *kindList) indexOf(k kind) uint32 {
	index, ok := l.indexes[k]
	if ok {
		return index
	}
	if l.indexes == nil {
		l.indexes = make(map[kind]uint32)
	}
	index = uint32(len(l.kinds))
	l.indexes[k] = index
	l.kinds = append(l.kinds, k)
	return index
}

// encodeFrom returns the kinds from an index on.
func (l *kindList) encodeFrom(index int) []*billingpb.Kind {
	var added []*billingpb.Kind
	for _, k := range l.kinds[index:] {
		added = append(added, &billingpb.Kind{Team: k.team, Service: k.service, Model: k.model, Version: k.version, Day: k.day})
	}
	return added
}

// extend replaces the kinds after the first known ones by added. It returns false if the list is shorter than known.
func (l *kindList) extend(known uint32, added []*billingpb.Kind) bool {
	if int(known) > len(l.kinds) {
		return false
	}
	l.kinds = l.kinds[:known]
	for _, k := range added {
		l.kinds = append(l.kinds, kind{team: k.Team, service: k.Service, model: k.Model, version: k.Version, day: k.Day})
	}
	return true
}

// pack returns a run of batches in columns and appends its new kinds to the list.
func (l *kindList) pack(s *billingpb.Segment) *billingpb.PackedBatch {
	packed := &billingpb.PackedBatch{First: s.First, More: s.Last - s.First}
	allSingle := true
	add := func(sum *billingpb.Sum) {
		packed.Kinds = append(packed.Kinds, l.indexOf(kindOf(sum)))
		packed.Requests = append(packed.Requests, sum.Requests)
		packed.PromptTokens = append(packed.PromptTokens, sum.PromptTokens)
		packed.AnswerTokens = append(packed.AnswerTokens, sum.AnswerTokens)
		packed.CostMicroUsd = append(packed.CostMicroUsd, sum.CostMicroUsd)
		allSingle = allSingle && sum.Requests == 1
	}
	for _, sum := range s.Sums {
		add(sum)
	}
	for _, keyed := range s.Keyed {
		add(keyed.Sum)
		packed.Ids = append(packed.Ids, keyed.Id...)
	}
	if allSingle {
		packed.Requests = nil
	}
	return packed
}

// unpack is the inverse of pack. It returns false if the columns are inconsistent or refer to kinds outside the list.
func (l *kindList) unpack(packed *billingpb.PackedBatch) (*billingpb.Segment, bool) {
	count, keyed := len(packed.Kinds), len(packed.Ids)/idBytes
	isConsistent := len(packed.PromptTokens) == count && len(packed.AnswerTokens) == count && len(packed.CostMicroUsd) == count &&
		(len(packed.Requests) == 0 || len(packed.Requests) == count) && len(packed.Ids)%idBytes == 0 && keyed <= count
	if !isConsistent {
		return nil, false
	}
	s := &billingpb.Segment{First: packed.First, Last: packed.First + packed.More}
	for i, index := range packed.Kinds {
		if int(index) >= len(l.kinds) {
			return nil, false
		}
		sum := sumOf(l.kinds[index])
		sum.Requests = 1
		if len(packed.Requests) > 0 {
			sum.Requests = packed.Requests[i]
		}
		sum.PromptTokens, sum.AnswerTokens, sum.CostMicroUsd = packed.PromptTokens[i], packed.AnswerTokens[i], packed.CostMicroUsd[i]
		if i < count-keyed {
			s.Sums = append(s.Sums, sum)
			continue
		}
		offset := (i - (count - keyed)) * idBytes
		s.Keyed = append(s.Keyed, &billingpb.Keyed{Id: packed.Ids[offset : offset+idBytes], Sum: sum})
	}
	return s, true
}

func sumOf(k kind) *billingpb.Sum {
	return &billingpb.Sum{Team: k.team, Service: k.service, Model: k.model, Version: k.version, Day: k.day}
}
