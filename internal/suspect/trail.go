package suspect

import (
	"math"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// minReportNats is the least ReportThreshold, in nats. It applies in fleets with up to detectorsAtMinNats detectors.
	minReportNats      = 2
	detectorsAtMinNats = 64
	// gainSlots is the number of slots in recentGains, slotLength the length of time that each covers.
	gainSlots  = 24
	slotLength = 5 * time.Second
	// gainUnit is the unit in nats of the gains in a Suspicion.
	gainUnit = 0.1
)

// ReportThreshold returns the evidence in nats from which a node reports its suspicion of a version in service to its peers.
// It grows with the number of detectors in the fleet, so that the number of suspicions of healthy versions doesn't: the
// fraction of detectors that have x nats by chance falls with exp(-x).
func ReportThreshold(nodes, keys int) float64 {
	return minReportNats + math.Log(max(1, float64(nodes)*float64(keys)/detectorsAtMinNats))
}

// recentGains holds the recent gains of a detector's tests, summed per time slot.
type recentGains struct {
	// newest is the number of the newest slot, counted from the Unix epoch.
	newest int64
	// gains holds the gains of each slot, the newest last.
	gains [gainSlots]Gains
}

func slotOf(now time.Time) int64 { return now.UnixNano() / int64(slotLength) }

// advance makes the slot that contains now the newest one, dropping slots that are too old.
func (g *recentGains) advance(now time.Time) {
	by := slotOf(now) - g.newest
	if by <= 0 {
		return
	}
	kept := max(0, gainSlots-by)
	copy(g.gains[:kept], g.gains[gainSlots-kept:])
	clear(g.gains[kept:])
	g.newest += by
}

func (g *recentGains) add(gains Gains, now time.Time) {
	g.advance(now)
	for i, gain := range gains {
		g.gains[gainSlots-1][i] += gain
	}
}

// Suspicion is the recent evidence of one node's detector against a version in service.
type Suspicion struct {
	Service api.Service
	Version api.VersionID
	Class   api.Class
	// Slot is the number of the newest slot in Gains, counted from the Unix epoch.
	Slot int64
	// Gains holds the log-likelihood ratios by test and slot, in tenths of a nat.
	Gains [testCount][gainSlots]int16
}

// Key returns the key against which the suspicion is held.
func (s *Suspicion) Key() Key { return Key{Service: s.Service, Version: s.Version, Class: s.Class} }

func (g *recentGains) suspicion(key Key) Suspicion {
	s := Suspicion{Service: key.Service, Version: key.Version, Class: key.Class, Slot: g.newest}
	for slot, gains := range g.gains {
		for test, gain := range gains {
			units := math.Floor(gain / gainUnit)
			s.Gains[test][slot] = int16(max(math.MinInt16, min(math.MaxInt16, units)))
		}
	}
	return s
}

// gain returns the gain of a test in a slot in nats, 0 for a slot that Gains doesn't cover.
func (s *Suspicion) gain(test int, slot int64) float64 {
	i := slot - (s.Slot - gainSlots + 1)
	if i < 0 || i >= gainSlots {
		return 0
	}
	return float64(s.Gains[test][i]) * gainUnit
}

// Total returns the largest sum of a single test's gains over all slots, in nats; at least 0.
func (s *Suspicion) Total() float64 {
	largest := 0.0
	for test := range s.Gains {
		sum := 0.0
		for _, gain := range s.Gains[test] {
			sum += float64(gain) * gainUnit
		}
		largest = max(largest, sum)
	}
	return largest
}
