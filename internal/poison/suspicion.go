package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// lastCrash returns the time of the last crash, whether or not it still counts; zero if there is none.
func (s *Suspicion) lastCrash() time.Time {
	var last time.Time
	for _, crash := range s.Crashes {
		if crash.At.After(last) {
			last = crash.At
		}
	}
	return last
}

// isCounted reports whether a crash still counts: the suspicion wasn't cleared after it, and SuspicionTTL hasn't passed.
func (s *Suspicion) isCounted(crash Crash, now time.Time) bool {
	return crash.At.After(s.ClearedAt) && now.Sub(crash.At) < SuspicionTTL
}

// add adds a crash. Of two crashes of the same server the later one is kept, of two at the same time one that is young.
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

// dropOldCrashes keeps the latest maxKeptCrashes crashes.
func (s *Suspicion) dropOldCrashes() {
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
