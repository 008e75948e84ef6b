package billfold

import (
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/monsoonrail/monsoonrail/internal/billing"
	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// totalPrefix is the key prefix of totals.
	totalPrefix = "bill/total/"
	// totalBuckets is the number of keys that the teams of a day are distributed over, so that a transaction changes
	// few keys and a value stays far below the key-value service's size limit.
	totalBuckets = 16
)

// totalKey identifies the totals of some teams on one day.
type totalKey struct {
	day    int64
	bucket uint64
	// suffix is the totalSuffix of the scope.
	suffix string
}

// String returns the key in the key-value service.
func (k totalKey) String() string {
	return fmt.Sprintf("%s%07d/%02d%s", totalPrefix, k.day, k.bucket, k.suffix)
}

func totalKeyOf(sum *billingpb.Sum, suffix string) totalKey {
	return totalKey{day: sum.Day, bucket: xxhash.Sum64String(sum.Team) % totalBuckets, suffix: suffix}
}

// addSums returns a new list with the sums of all lists added up.
func addSums(lists ...[]*billingpb.Sum) []*billingpb.Sum {
	var sums billing.Accumulator
	for _, list := range lists {
		for _, sum := range list {
			sums.Add(sum)
		}
	}
	return sums.Sums()
}

// encode encodes sums as a total of the scope. Older releases read the totals of the legacy scope, which is why these
// are not in columns.
func (s Scope) encode(sums []*billingpb.Sum) ([]byte, error) {
	if s.totalSuffix == "" {
		return proto.Marshal(&billingpb.Totals{Sums: sums})
	}
	return proto.Marshal(&billingpb.Totals{Columns: billing.ToColumns(sums, nil)})
}

func decodeTotal(pair kv.Pair) ([]*billingpb.Sum, error) {
	var totals billingpb.Totals
	if err := proto.Unmarshal(pair.Value, &totals); err != nil {
		return nil, &ErrInvalidTotal{Key: pair.Key, Cause: err}
	}
	sums, _, err := billing.FromColumns(totals.Columns)
	if err != nil {
		return nil, &ErrInvalidTotal{Key: pair.Key, Cause: err}
	}
	return append(totals.Sums, sums...), nil
}

// ErrInvalidTotal means that a stored total can't be decoded. Nothing is folded into it until an operator has repaired
// it.
type ErrInvalidTotal struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *ErrInvalidTotal) Error() string { return fmt.Sprintf("bad total %s: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *ErrInvalidTotal) Unwrap() error { return e.Cause }

// Total is a team's usage of one version of a service on one day, with its cost.
type Total struct {
	Team         api.Team
	Service      api.Service
	Version      api.VersionID
	Requests     int64
	PromptTokens api.Tokens
	AnswerTokens api.Tokens
	Cost         api.MicroUSD
}

// totalPageSize bounds the totals of one read.
const totalPageSize = 256

// Totals returns the folded totals of a day (see billing.DayOf), summed over all scopes.
func Totals(ctx context.Context, store Store, day int64) ([]Total, error) {
	var sums billing.Accumulator
	opts := kv.ListOptions{Prefix: fmt.Sprintf("%s%07d/", totalPrefix, day), Limit: totalPageSize}
	for {
		listed, err := store.List(ctx, opts)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		for _, pair := range listed.Pairs {
			decoded, err := decodeTotal(pair)
			if err != nil {
				return nil, Error.Wrap(err)
			}
			for _, sum := range decoded {
				sums.Add(sum)
			}
		}
		if !listed.More {
			return totalsOf(sums.Sums()), nil
		}
		opts.From = listed.Pairs[len(listed.Pairs)-1].Key + "\x00"
	}
}

func totalsOf(sums []*billingpb.Sum) []Total {
	var totals []Total
	for _, sum := range sums {
		totals = append(totals, Total{
			Team:         api.Team(sum.Team),
			Service:      api.Service(sum.Service),
			Version:      api.VersionID{Model: sum.Model, Version: sum.Version},
			Requests:     sum.Requests,
			PromptTokens: api.Tokens(sum.PromptTokens),
			AnswerTokens: api.Tokens(sum.AnswerTokens),
			Cost:         api.MicroUSD(sum.CostMicroUsd),
		})
	}
	return totals
}
