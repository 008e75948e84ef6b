package edge

import "github.com/monsoonrail/monsoonrail/internal/kv"

// entries keeps the decoded values of keys of one kind, so that a change of some of them doesn't decode all: a small node would take longer for
// thousands of servers than the time between two changes. It isn't safe for concurrent use.
type entries[T any] struct {
	decoded map[string]entry[T]
}

type entry[T any] struct {
	version kv.Version
	value   T
}

// decode returns the values of the pairs. A pair that can't be decoded is reported and left out.
func (e *entries[T]) decode(pairs []kv.Pair, decode func(kv.Pair) (T, error), invalid func(pair kv.Pair, err error)) []T {
	next, values := make(map[string]entry[T], len(pairs)), make([]T, 0, len(pairs))
	for _, pair := range pairs {
		known, ok := e.decoded[pair.Key]
		if !ok || known.version != pair.Version {
			value, err := decode(pair)
			if err != nil {
				invalid(pair, err)
				continue
			}
			known = entry[T]{version: pair.Version, value: value}
		}
		next[pair.Key] = known
		values = append(values, known.value)
	}
	e.decoded = next
	return values
}
