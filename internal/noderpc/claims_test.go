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

// calls counts those that a far node with a batcher of its own was sent, by name.
type calls struct {
	batches, single atomic.Int64
	// isOld makes the node one of the release before, which does not know batches.
	isOld bool
	next  http.Handler
}

func (c *calls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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

// inBubbleOf runs f with a far node that serves claims and counts the calls.
func inBubbleOf(t *testing.T, isOld bool, f func(p *pair, c *calls)) {
	counted := &calls{isOld: isOld}
	inBubble(t, counted, func(p *pair) {
		_, counted.next = noderpc.NewHandler(noderpc.ServerOptions{ClaimCommitter: p.gatherer})
		f(p, counted)
	})
}

func numbered(i int) claim.Request {
	return claim.Request{Team: "carrasco", Key: api.IdempotencyKey(fmt.Sprint("order-", i)), RequestID: api.RequestID(uuid.NewString())}
}

// claimAll makes claims of numbered keys at once and counts those that are new.
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
	inBubbleOf(t, false, func(p *pair, c *calls) {
		const count = 300
		p.Assert(claimAll(p, p.claims(), count), qt.Equals, int64(count))
		p.Assert(p.gatherer.Stats().Won, qt.Equals, int64(count))
		p.Assert(c.batches.Load() <= 4, qt.IsTrue, qt.Commentf("%d calls", c.batches.Load()))
		p.Assert(c.single.Load(), qt.Equals, int64(0))
		// Another node is told of the owner of each.
		p.Assert(claimAll(p, p.claims(), count), qt.Equals, int64(0))
	})
}

// TestClaimsAtAnOldRelease meets a node that knows only the call for one claim: it is used, and batches are tried rarely.
func TestClaimsAtAnOldRelease(t *testing.T) {
	inBubbleOf(t, true, func(p *pair, c *calls) {
		claims := p.claims()
		p.Assert(claimAll(p, claims, 10), qt.Equals, int64(10))
		p.Assert(claimAll(p, p.claims(), 20), qt.Equals, int64(10))
		p.Assert(p.gatherer.Stats().Won, qt.Equals, int64(20))
		p.Assert(p.own.Stats().Transactions, qt.Equals, int64(0))
		p.Assert(c.single.Load(), qt.Equals, int64(30))
		// The second batch had begun to gather before the first was refused.
		p.Assert(c.batches.Load() <= 2, qt.IsTrue)
	})
}

// TestLostBatchesRunOnce loses the answers to batches of two nodes that want the same keys: each key is one node's.
func TestLostBatchesRunOnce(t *testing.T) {
	inBubbleOf(t, false, func(p *pair, c *calls) {
		p.service.SetLatency(20 * time.Millisecond)
		time.AfterFunc(30*time.Millisecond, func() { p.network.Silence(nearIP, farIP) })
		const count = 200
		other := claim.New(claim.Options{
			Node: "other", Incarnation: "i2", Local: p.own, Remote: p.client, Members: func() []api.NodeID { return []api.NodeID{"far"} },
		})
		var nodes sync.WaitGroup
		var won atomic.Int64
		for _, claims := range []*claim.Claimer{p.claims(), other} {
			nodes.Go(func() { won.Add(claimAll(p, claims, count)) })
		}
		nodes.Wait()
		p.Assert(won.Load(), qt.Equals, int64(count))
		p.Assert(p.gatherer.Stats().Won > 0 && p.own.Stats().Won > 0, qt.IsTrue)
	})
}

// TestBatchOutlivesItsFirstCaller has the caller that begins a batch go before it is sent.
func TestBatchOutlivesItsFirstCaller(t *testing.T) {
	inBubbleOf(t, false, func(p *pair, c *calls) {
		p.Assert(claimAll(p, p.claims(), 1), qt.Equals, int64(1))
		gone, cancel := context.WithCancel(context.Background())
		var callers sync.WaitGroup
		for i, ctx := range []context.Context{gone, context.Background()} {
			time.Sleep(time.Millisecond)
			callers.Go(func() {
				result, err := p.client.CommitAt(ctx, "far", claim.Entry{
					Key: claim.KeyOf("t", api.IdempotencyKey(fmt.Sprint(i))), Record: claim.Record{Node: "near", Nonce: fmt.Sprint(i)},
				})
				p.Check(err != nil || result.IsWon, qt.IsTrue)
				p.Check(err == nil || ctx == gone, qt.IsTrue)
			})
		}
		time.Sleep(time.Millisecond)
		cancel()
		callers.Wait()
		p.Assert(c.batches.Load(), qt.Equals, int64(2))
	})
}

// TestOutageOfABatch is told to each claim as what the gatherer met, so that none is tried anew.
func TestOutageOfABatch(t *testing.T) {
	inBubbleOf(t, false, func(p *pair, c *calls) {
		p.service.StartOutage(kvfake.FaultNoLeader)
		claims := p.claims()
		for i := range 5 {
			_, err := claims.Claim(context.Background(), numbered(i))
			p.Assert(err, qt.Satisfies, claim.IsErrUnavailable)
		}
		p.Assert(p.own.Stats().Failed, qt.Equals, int64(0))
	})
}
