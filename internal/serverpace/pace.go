package serverpace

import (
	"math"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/workload"
)

const (
	// paceHalfLife is the time in which an answer loses half of its weight in a server's pace.
	paceHalfLife = 2 * time.Second
	// maxRatio bounds how many times as long as expected one answer may have taken.
	maxRatio = 10
	// paceInertia is the work by which a server's pace is known half as well by its recent answers as by those before.
	paceInertia = workload.Work(500 * time.Millisecond)
	// slowdownHalfLife is the time in which what a server said of its machine loses half of its weight.
	slowdownHalfLife = 300 * time.Millisecond
)

// Pace sums up the recent answers of a server. The zero value is empty.
type Pace struct {
	// sums are those as of at.
	sums workload.Pace
	at   time.Time
}

// Add adds an answer, or a part of one, that took a time for which a usual server is expected to take another. Long answers count by their time,
// since a long one tells more than a short one.
func (p *Pace) Add(took, expected time.Duration, now time.Time) {
	if expected <= 0 || took < 0 {
		return
	}
	p.sums = p.At(now).Add(workload.Pace{Answers: 1, Took: workload.Work(min(took, maxRatio*expected)), Expected: workload.Work(expected)})
	p.at = now
}

// At returns the sums as of a time.
func (p *Pace) At(now time.Time) workload.Pace { return Aged(p.sums, now.Sub(p.at)) }

// Aged returns what remains of sums after a time.
func Aged(sums workload.Pace, age time.Duration) workload.Pace {
	if age <= 0 {
		return sums
	}
	keep := math.Exp2(-float64(age) / float64(paceHalfLife))
	return workload.Pace{
		Answers: keep * sums.Answers, Took: workload.Work(keep * float64(sums.Took)), Expected: workload.Work(keep * float64(sums.Expected)),
	}
}

// Slowness returns how many times as long as at a usual server work takes at a server, by its recent answers and, as far as these are few, by its
// slowness before.
func Slowness(recent workload.Pace, before float64) float64 {
	return (float64(recent.Took) + before*float64(paceInertia)) / float64(recent.Expected+paceInertia)
}

// SlowdownFactor returns by what a server's slowness changes for what it said of its machine some time ago; mean is what servers say on average. Both are 0 if
// unknown.
func SlowdownFactor(slowdown, mean float64, age time.Duration) float64 {
	if slowdown <= 0 || mean <= 0 {
		return 1
	}
	return 1 + (slowdown/mean-1)*math.Exp2(-float64(max(0, age))/float64(slowdownHalfLife))
}
