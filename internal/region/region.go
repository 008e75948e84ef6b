// Package region restricts the regions in which requests may be served.
package region

import (
	"context"
	"slices"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Map holds the region of each failure domain.
type Map map[api.FailureDomain]api.Region

// Set is a set of regions; the zero value holds every region. It is read-only.
type Set struct {
	// regions is ordered; it counts if isRestricted is set.
	regions      []api.Region
	isRestricted bool
	// key identifies the set among others.
	key string
}

// NewSet returns the set of the given regions, which is empty if there are none. The set of every region is the zero value.
func NewSet(regions ...api.Region) Set {
	regions = slices.Clone(regions)
	slices.Sort(regions)
	regions = slices.Compact(regions)
	// Each key of a restricted set begins with a separator, also that of the empty set.
	key := "\x00"
	for _, r := range regions {
		key += string(r) + "\x00"
	}
	return Set{regions: regions, isRestricted: true, key: key}
}

// IsRestricted reports whether the set lacks a region.
func (s Set) IsRestricted() bool { return s.isRestricted }

// IsEmpty reports whether no region is in the set.
func (s Set) IsEmpty() bool { return s.isRestricted && len(s.regions) == 0 }

// Has reports whether a region is in the set. An unknown region, which is empty, is only in sets of every region.
func (s Set) Has(r api.Region) bool {
	if !s.isRestricted {
		return true
	}
	_, isFound := slices.BinarySearch(s.regions, r)
	return isFound && r != ""
}

// Intersect returns the regions that are in both sets.
func (s Set) Intersect(other Set) Set {
	switch {
	case !other.isRestricted:
		return s
	case !s.isRestricted:
		return other
	}
	return NewSet(slices.DeleteFunc(slices.Clone(s.regions), func(r api.Region) bool { return !other.Has(r) })...)
}

// Key returns a text that is the same for equal sets only.
func (s Set) Key() string { return s.key }

// List returns the regions of a restricted set.
func (s Set) List() []api.Region { return slices.Clone(s.regions) }

// contextKey is the key of a Set in a context.
type contextKey struct{}

// NewContext returns a context for work that may only be done in the regions of a set.
func NewContext(ctx context.Context, set Set) context.Context {
	if !set.isRestricted {
		return ctx
	}
	return context.WithValue(ctx, contextKey{}, set)
}

// FromContext returns the set of a context, the set of every region if it has none.
func FromContext(ctx context.Context) Set {
	set, _ := ctx.Value(contextKey{}).(Set)
	return set
}
