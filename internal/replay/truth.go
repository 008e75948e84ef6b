// Package replay plays a trace in virtual time against a small simulated pool of servers and a truth about versions,
// to measure the decision packages against simple policies and an oracle. Equal options give equal figures.
package replay

import (
	"fmt"
	"math"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package.
var Error = errs.Class("replay")

// ErrUnknownFleet means that no truth is kept for the fleet of a trace.
type ErrUnknownFleet struct{ Fleet string }

// Error implements error.
func (e *ErrUnknownFleet) Error() string { return fmt.Sprintf("no truth about fleet %q", e.Fleet) }

// Truth is what the simulation knows and the policies must learn.
type Truth struct {
	// Versions are ordered by price, the cheapest first.
	Versions []TrueVersion
	Servers  []TrueServer
	// Target is the quality target of every class.
	Target api.Quality
	// RatedInTime is the part of answers rated within RatingWait, RatedLate the part rated some time after.
	RatedInTime, RatedLate float64
	RatingWait             time.Duration
	// Cascade tells whether the fleet's policy allows cascades.
	Cascade bool
	// Exploration is the fleet's policy.
	Exploration float64
}

// TrueVersion is a version as it is.
type TrueVersion struct {
	ID                     api.VersionID
	PromptCost, AnswerCost api.MicroUSD
	// Strength is the difficulty up to which answers are good.
	Strength float64
	// Speed is the rate of generation relative to a version of 1.
	Speed float64
	// Share is below 1 for a version on trial.
	Share float64
	// Prior is the quality that an evaluation over all classes has found.
	Prior api.Quality
}

// TrueServer is a server as it is.
type TrueServer struct {
	Slots int
	// Speed is relative to a server of 1.
	Speed float64
	// CacheTokens is the size of the prefix cache.
	CacheTokens api.Tokens
}

// Rates of a server and version of speed 1, in tokens a second for one request.
const (
	answerRate = 40.0
	promptRate = 4000.0
)

// TruthOf returns what is true of a fleet.
func TruthOf(fleet string) (Truth, error) {
	switch fleet {
	case "west-mids":
		return westMids(), nil
	case "sur":
		return sur(), nil
	}
	return Truth{}, Error.Wrap(&ErrUnknownFleet{Fleet: fleet})
}

func westMids() Truth {
	return Truth{
		Versions: []TrueVersion{
			{api.VersionID{Model: "tutor-small", Version: "3"}, 50, 200, 0.35, 1.6, 1, 0.81},
			{api.VersionID{Model: "tutor-medium", Version: "2"}, 250, 1000, 0.62, 1, 1, 0.92},
			{api.VersionID{Model: "tutor-large", Version: "5"}, 1500, 6000, 0.85, 0.6, 1, 0.95},
		},
		Servers: unlikeServers(12, 20_000),
		Target:  0.80, RatedInTime: 0.35, RatedLate: 0.15, RatingWait: 2 * time.Second,
		Exploration: 0.05,
	}
}

func sur() Truth {
	return Truth{
		Versions: []TrueVersion{
			{api.VersionID{Model: "carta-breve", Version: "4"}, 60, 240, 0.25, 1.6, 1, 0.81},
			{api.VersionID{Model: "carta-clara", Version: "2"}, 250, 1000, 0.68, 1, 1, 0.93},
			{api.VersionID{Model: "carta-notarial", Version: "7"}, 1800, 7200, 0.85, 0.6, 1, 0.95},
		},
		Servers: unlikeServers(18, 40_000),
		Target:  0.85, RatedInTime: 0.9, RatedLate: 0.05, RatingWait: 2 * time.Second,
		Cascade: true, Exploration: 0.05,
	}
}

// unlikeServers returns servers bought over years: four generations, the newest four times as fast as the oldest.
func unlikeServers(n int, cache api.Tokens) []TrueServer {
	generations := []TrueServer{
		{Slots: 4, Speed: 0.5, CacheTokens: cache / 2}, {Slots: 6, Speed: 0.8, CacheTokens: cache / 2},
		{Slots: 8, Speed: 1.2, CacheTokens: cache}, {Slots: 8, Speed: 2, CacheTokens: cache},
	}
	servers := make([]TrueServer, n)
	for i := range servers {
		servers[i] = generations[i%len(generations)]
	}
	return servers
}

const (
	// steepness is by how much quality falls with difficulty beyond a version's strength.
	steepness = 1.2
	// usualFlaw is what an easy answer lacks on average.
	usualFlaw = 0.04
	// ratingNoise is the standard deviation of a rating.
	ratingNoise = 0.08
)

// quality returns the quality of an answer; noise is a standard normal draw that belongs to request and version.
func (v *TrueVersion) quality(entry *trace.Entry, noise float64) float64 {
	q := 1 - usualFlaw - steepness*math.Max(0, entry.Difficulty-v.Strength) + ratingNoise*noise
	return min(max(q, 0), 1)
}

// price returns the cost of a request on the version, in millionths of a dollar.
func (v *TrueVersion) price(entry *trace.Entry) float64 {
	const perTokens = 1000
	return (float64(v.PromptCost)*float64(entry.PromptTokens) + float64(v.AnswerCost)*float64(entry.AnswerTokens)) / perTokens
}
