package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// lastCrash returns when the fingerprint was last seen to crash a server; zero if never.
func (s *Suspicion) lastCrash() time.Time {
	var last time.Time
	for _, crash := range s.Crashes {
		if crash.At.After(last) {
			last = crash.At
		}
	}
	return last
}

// counts reports whether a crash still speaks against the fingerprint.
func (s *Suspicion) counts(crash Crash, now time.Time) bool {
	return crash.At.After(s.ClearedAt) && now.Sub(crash.At) < SuspicionTTL
}

// add notes a crash; of two of the same server the later stays, of two of the same time one that is young.
func (s *Suspicion) add(crash Crash) {
	i, found := slices.BinarySearchFunc(s.Crashes, crash.Server, func(c Crash, id api.ServerID) int {
		return cmp.Compare(c.Server, id)
	})
	if !found {
		s.Crashes = slices.Insert(s.Crashes, i, crash)
		return
	}
	known := &s.Crashes[i]
	if crash.At.After(known.At) || crash.At.Equal(known.At) && crash.Young {
		*known = crash
	}
}

// dropOld keeps the latest crashes.
func (s *Suspicion) dropOld() {
	for len(s.Crashes) > maxKeptCrashes {
		oldest := 0
		for i := range s.Crashes {
			if s.Crashes[i].At.Before(s.Crashes[oldest].At) {
				oldest = i
			}
		}
		s.Crashes = slices.Delete(s.Crashes, oldest, oldest+1)
	}
}

func (s *Suspicion) clone() Suspicion {
	return Suspicion{Fingerprint: s.Fingerprint, Crashes: slices.Clone(s.Crashes), ClearedAt: s.ClearedAt}
}
