package noderpc_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/monsoonrail/monsoonrail/internal/claim"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/noderpc"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// callCounts counts the calls of each kind that the remote node received.
type callCounts struct {
	batches, single atomic.Int64
	// isOld simulates a node of an older release, which does not implement batches.
	isOld bool
	next  http.Handler
}

func (c *callCounts) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasSuffix(r.URL.Path, "/CommitClaim"):
		c.single.Add(1)
	case strings.HasSuffix(r.URL.Path, "/CommitClaims"):
		c.batches.Add(1)
		if c.isOld {
			http.NotFound(w, r)
			return
		}
	}
	c.next.ServeHTTP(w, r)
}

// inBubbleWithCallCounts runs f with a remote node that makes claims and counts the calls.
func inBubbleWithCallCounts(t *testing.T, isOld bool, f func(p *pair, counts *callCounts)) {
	counts := &callCounts{isOld: isOld}
	inBubble(t, counts, func(p *pair) {
		_, counts.next = noderpc.NewHandler(noderpc.ServerOptions{ClaimCommitter: p.remoteBatcher})
		f(p, counts)
	})
}

func numbered(i int) claim.Request {
	return claim.Request{Team: "carrasco", Key: api.IdempotencyKey(fmt.Sprint("order-", i)), RequestID: api.RequestID(uuid.NewString())}
}

// claimAll claims numbered keys concurrently and returns how many of the claims are new.
func claimAll(p *pair, claims *claim.Claimer, count int) (won int64) {
	var callers sync.WaitGroup
	var isNew atomic.Int64
	for i := range count {
		callers.Go(func() {
			claimed, err := claims.Claim(context.Background(), numbered(i))
			p.Check(err, qt.IsNil)
			if claimed.IsNew {
				isNew.Add(1)
			}
		})
	}
	callers.Wait()
	return isNew.Load()
}

func TestClaimsShareCalls(t *testing.T) {
	inBubbleWithCallCounts(t, false, func(p *pair, counts *callCounts) {
		const count = 300
		p.Assert(claimAll(p, p.claims(), count), qt.Equals, int64(count))
		p.Assert(p.remoteBatcher.Stats().Won, qt.Equals, int64(count))
		p.Assert(counts.batches.Load() <= 4, qt.IsTrue, qt.Commentf("%d calls", counts.batches.Load()))
		p.Assert(counts.single.Load(), qt.Equals, int64(0))
		// Claims by another node return the owner of each key.
		p.Assert(claimAll(p, p.claims(), count), qt.Equals, int64(0))
	})
}

// TestSingleClaimsWithOlderRelease checks that claims to a node that does not implement batches are sent one by one, and that
// batches are rarely tried again.
func TestSingleClaimsWithOlderRelease(t *testing.T) {
	inBubbleWithCallCounts(t, true, func(p *pair, c *callCounts) {
		claims := p.claims()
		p.Assert(claimAll(p, claims, 10), qt.Equals, int64(10))
		p.Assert(claimAll(p, p.claims(), 20), qt.Equals, int64(10))
		p.Assert(p.remoteBatcher.Stats().Won, qt.Equals, int64(20))
		p.Assert(p.localBatcher.Stats().Transactions, qt.Equals, int64(0))
		p.Assert(c.single.Load(), qt.Equals, int64(30))
		// The second batch may have been opened before the first was rejected.
		p.Assert(c.batches.Load() <= 2, qt.IsTrue)
	})
}

// TestEachKeyHasOneOwnerIfBatchAnswersAreLost drops the responses to batches of two nodes that claim the same keys: each key
// must belong to one node only.
func TestEachKeyHasOneOwnerIfBatchAnswersAreLost(t *testing.T) {
	inBubbleWithCallCounts(t, false, func(p *pair, c *callCounts) {
		p.service.SetLatency(20 * time.Millisecond)
		time.AfterFunc(30*time.Millisecond, func() { p.network.Silence(nearIP, farIP) })
		const count = 200
		other := claim.New(claim.Options{
			Node: "other", Incarnation: "i2", Local: p.localBatcher, Remote: p.client, Members: func() []api.NodeID { return []api.NodeID{"far"} },
		})
		var nodes sync.WaitGroup
		var won atomic.Int64
		for _, claims := range []*claim.Claimer{p.claims(), other} {
			nodes.Go(func() { won.Add(claimAll(p, claims, count)) })
		}
		nodes.Wait()
		p.Assert(won.Load(), qt.Equals, int64(count))
		p.Assert(p.remoteBatcher.Stats().Won > 0 && p.localBatcher.Stats().Won > 0, qt.IsTrue)
	})
}

// TestBatchOutlivesItsFirstCaller cancels the caller that opened a batch before the batch is sent: the other claims must still
// be made.
func TestBatchOutlivesItsFirstCaller(t *testing.T) {
	inBubbleWithCallCounts(t, false, func(p *pair, c *callCounts) {
		p.Assert(claimAll(p, p.claims(), 1), qt.Equals, int64(1))
		canceled, cancel := context.WithCancel(context.Background())
		var callers sync.WaitGroup
		for i, ctx := range []context.Context{canceled, context.Background()} {
			time.Sleep(time.Millisecond)
			callers.Go(func() {
				result, err := p.client.CommitAt(ctx, "far", claim.Entry{
					Key: claim.KeyOf("t", api.IdempotencyKey(fmt.Sprint(i))), Record: claim.Record{Node: "near", Nonce: fmt.Sprint(i)},
				})
				p.Check(err != nil || result.IsWon, qt.IsTrue)
				p.Check(err == nil || ctx == canceled, qt.IsTrue)
			})
		}
		time.Sleep(time.Millisecond)
		cancel()
		callers.Wait()
		p.Assert(c.batches.Load(), qt.Equals, int64(2))
	})
}

// TestStoreOutageFailsBatchWithoutLocalRetry checks that each claim of a batch fails with the batching node's store error, and
// that the local batcher does not try again.
func TestStoreOutageFailsBatchWithoutLocalRetry(t *testing.T) {
	inBubbleWithCallCounts(t, false, func(p *pair, c *callCounts) {
		p.service.StartOutage(kvfake.FaultNoLeader)
		claims := p.claims()
		for i := range 5 {
			_, err := claims.Claim(context.Background(), numbered(i))
			p.Assert(err, qt.Satisfies, claim.IsErrUnavailable)
		}
		p.Assert(p.localBatcher.Stats().Failed, qt.Equals, int64(0))
	})
}
