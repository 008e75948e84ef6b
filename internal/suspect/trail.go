package suspect

import (
	"math"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// sharedNats is the evidence of its own from which on a node tells the others of a version in service, where no more
	// than sharedDetectors watch.
	sharedNats      = 2
	sharedDetectors = 64
	// trailSlots is the number of slots of a trail, slotLength the time that each covers.
	trailSlots = 24
	slotLength = 5 * time.Second
	// gainUnit is the step in nats in which gains are told.
	gainUnit = 0.1
)

// ReportThreshold returns the evidence of its own from which on a node tells the others of a version in service. It grows with
// the number of detectors in the fleet such that no more of them are suspicious of healthy versions at a time: as many as
// hold x nats by chance fall with exp(-x).
func ReportThreshold(nodes, keys int) float64 {
	return sharedNats + math.Log(max(1, float64(nodes)*float64(keys)/sharedDetectors))
}

// trail holds what a detector's tests gained lately, by slots of time.
type trail struct {
	// newest is the number of the newest slot since the epoch.
	newest int64
	// gains holds the slots, the newest last.
	gains [trailSlots]Gains
}

func slotOf(now time.Time) int64 { return now.UnixNano() / int64(slotLength) }

// advance makes the slot of a time the newest one.
func (t *trail) advance(now time.Time) {
	by := slotOf(now) - t.newest
	if by <= 0 {
		return
	}
	kept := max(0, trailSlots-by)
	copy(t.gains[:kept], t.gains[trailSlots-kept:])
	clear(t.gains[kept:])
	t.newest += by
}

func (t *trail) add(gains Gains, now time.Time) {
	t.advance(now)
	for i, gain := range gains {
		t.gains[trailSlots-1][i] += gain
	}
}

// Suspicion is what one node's detector has found lately against a version in service.
type Suspicion struct {
	Service api.Service
	Version api.VersionID
	Class   api.Class
	// Slot is the number of the newest slot of Gains.
	Slot int64
	// Gains holds, by test and slot, the logarithms of the likelihood ratios in tenths of a nat.
	Gains [parts][trailSlots]int16
}

// Key returns what the suspicion is about.
func (s *Suspicion) Key() Key { return Key{Service: s.Service, Version: s.Version, Class: s.Class} }

func (t *trail) suspicion(key Key) Suspicion {
	s := Suspicion{Service: key.Service, Version: key.Version, Class: key.Class, Slot: t.newest}
	for slot, gains := range t.gains {
		for part, gain := range gains {
			units := math.Floor(gain / gainUnit)
			s.Gains[part][slot] = int16(max(math.MinInt16, min(math.MaxInt16, units)))
		}
	}
	return s
}

// gain returns what a test gained in a slot, 0 for one that the trail does not cover.
func (s *Suspicion) gain(part int, slot int64) float64 {
	i := slot - (s.Slot - trailSlots + 1)
	if i < 0 || i >= trailSlots {
		return 0
	}
	return float64(s.Gains[part][i]) * gainUnit
}

// Total returns the largest gain of a test over all slots, in nats.
func (s *Suspicion) Total() float64 {
	most := 0.0
	for part := range s.Gains {
		sum := 0.0
		for _, gain := range s.Gains[part] {
			sum += float64(gain) * gainUnit
		}
		most = max(most, sum)
	}
	return most
}
