// Package billing bills the requests of a node, each exactly once. It sums the lines of the requests in numbered
// batches, has a peer hold each batch in memory before the answers of its requests complete, and writes the batches in
// segments to the key-value service under a cursor.
package billing

import (
	"fmt"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/internal/idem"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package.
var Error = errs.Class("billing")

// ErrFull means that too many lines wait to be written; the line was rejected.
type ErrFull struct{ Max int }

// Error implements error.
func (e *ErrFull) Error() string { return fmt.Sprintf("%d bill lines are waiting", e.Max) }

// ErrClosed means that the Biller accepts no more lines.
type ErrClosed struct{}

// Error implements error.
func (e *ErrClosed) Error() string { return "billing has ended" }

// idBytes is the size of the id of a keyed request.
const idBytes = 12

// secondsPerDay is the length of the period that a total covers.
const secondsPerDay = 24 * 60 * 60

// Line is the usage and cost of one request.
type Line struct {
	// RequestID identifies the request; a node bills it once.
	RequestID api.RequestID
	// Key is the caller's idempotency key, which keeps a repeat of the request at another node from being billed again;
	// empty for a request without a key.
	Key          api.IdempotencyKey
	Team         api.Team
	Service      api.Service
	Version      api.VersionID
	PromptTokens api.Tokens
	AnswerTokens api.Tokens
	Cost         api.MicroUSD
	At           time.Time
	// IsWhole means that the caller receives nothing of the answer before it is complete, so that the line should be
	// held at once; the end of a stream may be delayed a little.
	IsWhole bool
}

// kind is the set of attributes that all requests of a sum have in common.
type kind struct {
	team, service, model, version string
	day                           int64
}

// sum returns the line as a sum over one request.
func (l Line) sum() *billingpb.Sum {
	return &billingpb.Sum{
		Team:         string(l.Team),
		Service:      string(l.Service),
		Model:        l.Version.Model,
		Version:      l.Version.Version,
		Day:          DayOf(l.At),
		Requests:     1,
		PromptTokens: int64(l.PromptTokens),
		AnswerTokens: int64(l.AnswerTokens),
		CostMicroUsd: int64(l.Cost),
	}
}

// keyID returns the id by which repeats of the line's idempotency key are recognized.
func (l Line) keyID() []byte {
	hash := idem.HashKey(l.Team, l.Key)
	return hash[:idBytes]
}

// DayOf returns the number of the day of t since 1970-01-01 in UTC.
func DayOf(t time.Time) int64 { return t.Unix() / secondsPerDay }

func kindOf(s *billingpb.Sum) kind {
	return kind{team: s.Team, service: s.Service, model: s.Model, version: s.Version, day: s.Day}
}

// Accumulator adds up sums of the same team, service, version and day.
type Accumulator struct {
	// sums is in the order in which the kinds were added.
	sums  []*billingpb.Sum
	index map[kind]int
}

// Add adds a sum. It keeps no reference to it.
func (a *Accumulator) Add(added *billingpb.Sum) {
	if a.index == nil {
		a.index = make(map[kind]int)
	}
	k := kindOf(added)
	i, ok := a.index[k]
	if !ok {
		a.index[k] = len(a.sums)
		a.sums = append(a.sums, cloneSum(added))
		return
	}
	sum := a.sums[i]
	sum.Requests += added.Requests
	sum.PromptTokens += added.PromptTokens
	sum.AnswerTokens += added.AnswerTokens
	sum.CostMicroUsd += added.CostMicroUsd
}

// Sums returns the accumulated sums, one for each kind.
func (a *Accumulator) Sums() []*billingpb.Sum { return a.sums }

func cloneSum(s *billingpb.Sum) *billingpb.Sum {
	return &billingpb.Sum{
		Team:         s.Team,
		Service:      s.Service,
		Model:        s.Model,
		Version:      s.Version,
		Day:          s.Day,
		Requests:     s.Requests,
		PromptTokens: s.PromptTokens,
		AnswerTokens: s.AnswerTokens,
		CostMicroUsd: s.CostMicroUsd,
	}
}

// batchOf sums lines into the batch with the given number.
func batchOf(number uint64, lines []Line) *billingpb.Segment {
	batch := &billingpb.Segment{First: number, Last: number}
	var sums Accumulator
	for _, line := range lines {
		if line.Key != "" {
			batch.Keyed = append(batch.Keyed, &billingpb.Keyed{Id: line.keyID(), Sum: line.sum()})
			continue
		}
		sums.Add(line.sum())
	}
	batch.Sums = sums.Sums()
	return batch
}

// merge returns one segment with the contents of adjacent segments, which it leaves unchanged; there must be at least
// one.
func merge(segments ...*billingpb.Segment) *billingpb.Segment {
	merged := &billingpb.Segment{First: segments[0].First, Last: segments[len(segments)-1].Last}
	var sums Accumulator
	for _, segment := range segments {
		for _, s := range segment.Sums {
			sums.Add(s)
		}
		merged.Keyed = append(merged.Keyed, segment.Keyed...)
	}
	merged.Sums = sums.Sums()
	return merged
}
