package replay

import (
	"math/rand/v2"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/cascade"
	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// draw is what chance holds for one answer; it depends on the seed, the request and the version alone,
// so that every policy meets the same.
type draw struct {
	// noise is a standard normal draw.
	noise float64
	// rated says when the rating comes, uniformly from 0 to 1, delay how late.
	rated, delay float64
}

func drawFor(seed uint64, index, version int) draw {
	const maxVersions = 64
	rng := rand.New(rand.NewPCG(seed, uint64(index)*maxVersions+uint64(version)+1<<40))
	return draw{noise: rng.NormFloat64(), rated: rng.Float64(), delay: rng.Float64()}
}

// maxRatingDelay is the latest rating after an answer.
const maxRatingDelay = time.Minute

// ratingDelay returns when an answer's rating comes, whether that is in time for a cascade, and whether it comes at all.
func (t *Truth) ratingDelay(d draw) (delay time.Duration, inTime, comes bool) {
	switch {
	case d.rated < t.RatedInTime:
		return time.Duration(d.delay * float64(t.RatingWait)), true, true
	case d.rated < t.RatedInTime+t.RatedLate:
		return t.RatingWait + time.Duration(d.delay*float64(maxRatingDelay)), false, true
	}
	return 0, false, false
}

// answered takes in a whole answer: it is rated, and escalated or given to the caller.
func (s *simulation) answered(r *request) {
	d := drawFor(s.opts.Seed, r.index, r.version)
	quality := api.Quality(max(s.truth.Versions[r.version].quality(r.entry, d.noise)-s.harm(r.version), 0))
	delay, inTime, comes := s.truth.ratingDelay(d)
	rating := cascade.RecordOptions{
		Service: r.entry.Service, Class: r.entry.Class, Arm: r.decision.Arm, Quality: quality, Escalated: r.escalated,
	}
	if !r.decision.Arm.IsCascade() || r.escalated {
		s.serve(r, quality)
		s.rate(r, rating, delay, comes)
		return
	}
	if !inTime {
		s.at(s.now+s.truth.RatingWait, func() { s.serve(r, quality) })
		s.rate(r, rating, delay, comes)
		return
	}
	s.at(s.now+delay, func() {
		if quality >= r.decision.EscalateBelow {
			r.node.counters.Record(r.node.id, rating, s.wall())
			s.serve(r, quality)
			return
		}
		r.node.counters.RecordEscalated(r.node.id, rating, s.wall())
		r.escalated = true
		s.dispatch(r, s.findVersion(r.decision.Arm.Then))
	})
}

func (s *simulation) rate(r *request, rating cascade.RecordOptions, delay time.Duration, comes bool) {
	if comes {
		s.at(s.now+delay, func() { r.node.counters.Record(r.node.id, rating, s.wall()) })
	}
}

func (s *simulation) serve(r *request, quality api.Quality) {
	s.open--
	s.result.served(s, r, quality)
	if s.opts.Admission {
		s.release(r)
	}
}

// badVersionHarm is by how much the answers of a version are worse while it is bad.
const badVersionHarm = 0.4

// harm is by how much a version's answers are worse at present.
func (s *simulation) harm(version int) float64 {
	for _, fault := range s.faults {
		isActive := fault.At <= s.now && (fault.For == 0 || s.now < fault.At+fault.For)
		if fault.Kind == trace.FaultBadVersion && isActive && fault.Target == s.truth.Versions[version].ID.String() {
			return badVersionHarm
		}
	}
	return 0
}
