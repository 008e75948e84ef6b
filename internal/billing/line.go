// Package billing takes the bill lines of a node's requests and brings them to the key-value service, so that each
// request is billed once: lines are summed in numbered batches, a batch is held in a peer's memory before its
// answers end, and segments of batches are written under a cursor.
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

// ErrFull means that too many lines wait; the line was not taken.
type ErrFull struct{ Max int }

// Error implements error.
func (e *ErrFull) Error() string { return fmt.Sprintf("%d bill lines are waiting", e.Max) }

// ErrClosed means that the biller takes no lines any more.
type ErrClosed struct{}

// Error implements error.
func (e *ErrClosed) Error() string { return "billing has ended" }

// idBytes is the size of a keyed line's id.
const idBytes = 12

// secondsPerDay is the length of a period of the totals.
const secondsPerDay = 24 * 60 * 60

// Line is what one request costs its team.
type Line struct {
	// RequestID is that of the run; a node bills it once.
	RequestID api.RequestID
	// Key is the caller's own key of a request that may be repeated, so that a run at another node under the same
	// key is not billed again; empty for all others.
	Key          api.IdempotencyKey
	Team         api.Team
	Service      api.Service
	Version      api.VersionID
	PromptTokens api.Tokens
	AnswerTokens api.Tokens
	Cost         api.MicroUSD
	At           time.Time
	// IsWhole tells that the caller has none of the answer before its end; the end of a stream may wait a little.
	IsWhole bool
}

// kind is what the requests of one sum have in common.
type kind struct {
	team, service, model, version string
	day                           int64
}

// sum returns a line as the sum of one request.
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

// keyID returns the id under which repeats of a line's key are known.
func (l Line) keyID() []byte {
	hash := idem.HashKey(l.Team, l.Key)
	return hash[:idBytes]
}

// DayOf returns the day of a time, counted from 1970-01-01 in UTC.
func DayOf(t time.Time) int64 { return t.Unix() / secondsPerDay }

func kindOf(s *billingpb.Sum) kind {
	return kind{team: s.Team, service: s.Service, model: s.Model, version: s.Version, day: s.Day}
}

// Accumulator adds up sums by what their requests have in common.
type Accumulator struct {
	// sums is in the order in which the kinds came.
	sums  []*billingpb.Sum
	index map[kind]int
}

// Add adds a sum, which it does not keep.
func (s *Accumulator) Add(added *billingpb.Sum) {
	if s.index == nil {
		s.index = make(map[kind]int)
	}
	k := kindOf(added)
	i, ok := s.index[k]
	if !ok {
		s.index[k] = len(s.sums)
		s.sums = append(s.sums, cloneSum(added))
		return
	}
	sum := s.sums[i]
	sum.Requests += added.Requests
	sum.PromptTokens += added.PromptTokens
	sum.AnswerTokens += added.AnswerTokens
	sum.CostMicroUsd += added.CostMicroUsd
}

// Sums returns the sums, one of each kind.
func (s *Accumulator) Sums() []*billingpb.Sum { return s.sums }

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

// batchOf returns the lines as the batch with a number.
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

// merge returns adjacent segments, of which there is at least one, as one; they are not changed.
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
