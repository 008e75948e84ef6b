package noderpc_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/billing"
	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/internal/claim"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/noderpc"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	nearIP = "10.0.0.1"
	farIP  = "10.0.0.2"
)

var quiet = &log.Logger{Handler: discard.New()}

// pair consists of a node that calls and a node that serves.
type pair struct {
	*qt.C
	network    *memnet.Network
	service    *kvfake.Service
	billHolder *billing.BatchHolder
	// remoteBatcher belongs to the node that serves, and localBatcher to the node that calls.
	remoteBatcher, localBatcher *claim.Batcher
	client                      *noderpc.Client
}

// inBubble runs f with a pair. The node that serves uses handler, or the default one if it is nil.
func inBubble(t *testing.T, handler http.Handler, f func(p *pair)) {
	synctest.Test(t, func(t *testing.T) {
		p := &pair{C: qt.New(t), network: memnet.New(), service: kvfake.New()}
		ctx, cancel := context.WithCancel(context.Background())
		p.billHolder = billing.NewBatchHolder(billing.BatchHolderOptions{Store: p.service.Store(), Log: quiet})
		p.remoteBatcher = claim.NewBatcher(claim.BatcherOptions{Store: p.service.Store(), Log: quiet})
		p.localBatcher = claim.NewBatcher(claim.BatcherOptions{Store: p.service.Store(), Log: quiet})
		for _, batcher := range []*claim.Batcher{p.remoteBatcher, p.localBatcher} {
			go func() { _ = batcher.Run(ctx) }()
		}
		if handler == nil {
			_, handler = noderpc.NewHandler(noderpc.ServerOptions{BillHolder: p.billHolder, ClaimCommitter: p.remoteBatcher})
		}
		l, err := p.network.Host(farIP).Listen(ctx, ":81")
		p.Assert(err, qt.IsNil)
		web := &http.Server{Handler: handler}
		go func() { _ = web.Serve(l) }()
		transport := tcp.NewTransport(p.network.Host(nearIP))
		p.client = noderpc.NewClient(noderpc.ClientOptions{
			HTTP:    &http.Client{Transport: transport},
			FindURL: func(node api.NodeID) (string, bool) { return "http://" + farIP + ":81", node == "far" },
		})
		defer func() {
			cancel()
			transport.CloseIdleConnections()
			_ = web.Close()
			time.Sleep(time.Second)
		}()
		f(p)
	})
}

func (p *pair) claims() *claim.Claimer {
	return claim.New(claim.Options{
		Node:        "near",
		Incarnation: "i1",
		Local:       p.localBatcher,
		Remote:      p.client,
		Members:     func() []api.NodeID { return []api.NodeID{"far"} },
	})
}

func request(number int) claim.Request {
	return claim.Request{Team: "carrasco", Key: "order-17", RequestID: api.RequestID(fmt.Sprint(number))}
}

func TestClaimsAreMadeByBatchingNode(t *testing.T) {
	inBubble(t, nil, func(p *pair) {
		ctx := context.Background()
		claimed, err := p.claims().Claim(ctx, request(1))
		p.Assert(err, qt.IsNil)
		p.Assert(claimed, qt.Equals, claim.Ownership{IsNew: true, Owner: claim.Owner{Node: "near", Incarnation: "i1", RequestID: "1"}})
		p.Assert(p.localBatcher.Stats().Transactions, qt.Equals, int64(0))
		again, err := p.claims().Claim(ctx, request(2))
		p.Assert(err, qt.IsNil)
		p.Assert(again, qt.Equals, claim.Ownership{Owner: claimed.Owner})
	})
}

// TestClaimsContinueWithoutBatchingNode cuts off the batching node after it made a claim: the calling node finds that it owns
// the key.
func TestClaimsContinueWithoutBatchingNode(t *testing.T) {
	inBubble(t, nil, func(p *pair) {
		p.service.SetLatency(100 * time.Millisecond)
		time.AfterFunc(10*time.Millisecond, func() { p.network.Silence(nearIP, farIP) })
		claimed, err := p.claims().Claim(context.Background(), request(1))
		p.Assert(err, qt.IsNil)
		p.Assert(claimed.IsNew, qt.IsTrue)
		p.Assert(p.remoteBatcher.Stats().Won, qt.Equals, int64(1))
		p.Assert(p.localBatcher.Stats().Won, qt.Equals, int64(1))
	})
}

// TestClaimsFallBackToLocalWithOlderRelease calls a node that does not implement claims yet.
func TestClaimsFallBackToLocalWithOlderRelease(t *testing.T) {
	inBubble(t, http.NotFoundHandler(), func(p *pair) {
		claimed, err := p.claims().Claim(context.Background(), request(1))
		p.Assert(err, qt.IsNil)
		p.Assert(claimed.IsNew, qt.IsTrue)
		p.Assert(p.localBatcher.Stats().Won, qt.Equals, int64(1))
	})
}

// TestStoreOutageFailsClaimWithoutLocalRetry checks that the calling node does not retry a claim that the batching node could
// not make.
func TestStoreOutageFailsClaimWithoutLocalRetry(t *testing.T) {
	inBubble(t, nil, func(p *pair) {
		p.service.StartOutage(kvfake.FaultNoLeader)
		_, err := p.claims().Claim(context.Background(), request(1))
		p.Assert(err, qt.Satisfies, claim.IsErrUnavailable)
		p.Assert(p.localBatcher.Stats().Failed, qt.Equals, int64(0))
	})
}

func TestInvalidClaimsAreRejected(t *testing.T) {
	inBubble(t, nil, func(p *pair) {
		_, err := p.client.CommitAt(context.Background(), "far", claim.Entry{Key: "lease/holder/x", Record: claim.Record{Node: "n", Nonce: "1"}})
		p.Assert(err, qt.IsNotNil)
		p.Assert(p.remoteBatcher.Stats().Transactions, qt.Equals, int64(0))
	})
}

func TestBillsAreHeld(t *testing.T) {
	inBubble(t, nil, func(p *pair) {
		biller := billing.NewBiller(billing.Options{
			Node:        "near",
			Incarnation: "i1",
			Store:       p.service.Store(),
			HoldClient:  p.client,
			Peers:       func() []api.NodeID { return []api.NodeID{"gone", "far"} },
			Rand:        rand.New(rand.NewPCG(1, 2)),
			Log:         quiet,
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- biller.RunHold(ctx) }()
		p.Assert(biller.Add(ctx, billing.Line{RequestID: "r", Team: "carrasco", At: time.Now()}), qt.IsNil)
		p.Assert(p.billHolder.HeldSize(), qt.Equals, 1)
		p.Assert(biller.Stats().Unprotected, qt.Equals, int64(0))
		cancel()
		<-done
	})
}

// FuzzHoldRequest sends two arbitrary hold requests to a bill holder.
func FuzzHoldRequest(f *testing.F) {
	f.Add(uint64(1), uint64(1), uint64(2), uint64(3), uint64(9))
	f.Fuzz(func(t *testing.T, next, first, last, secondFirst, secondLast uint64) {
		keeper := billing.NewBatchHolder(billing.BatchHolderOptions{Log: quiet})
		for range 2 {
			resp, err := keeper.Hold(&billingpb.HoldRequest{
				Incarnation: "i",
				Next:        next,
				Batches: []*billingpb.Segment{
					{First: first, Last: last, Sums: []*billingpb.Sum{{Requests: 1}}},
					{First: secondFirst, Last: secondLast, Sums: []*billingpb.Sum{{Requests: 1}}},
				},
			})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, keeper.HeldSize() >= 0 && keeper.HeldSize() <= 2, qt.IsTrue)
			if resp.Held > max(last, secondLast, max(1, next)-1) {
				t.Fatalf("says that it holds %d", resp.Held)
			}
		}
	})
}

// BenchmarkAddLine measures the time until a peer holds a bill line, over loopback, with 1 and 64 concurrent callers.
func BenchmarkAddLine(b *testing.B) {
	for _, parallel := range []int{1, 64} {
		b.Run(fmt.Sprint(parallel), func(b *testing.B) {
			service := kvfake.New()
			keeper := billing.NewBatchHolder(billing.BatchHolderOptions{Store: service.Store(), Log: quiet})
			_, handler := noderpc.NewHandler(noderpc.ServerOptions{BillHolder: keeper})
			web := httptest.NewServer(handler)
			defer web.Close()
			client := noderpc.NewClient(noderpc.ClientOptions{
				HTTP:    web.Client(),
				FindURL: func(api.NodeID) (string, bool) { return web.URL, true },
			})
			biller := billing.NewBiller(billing.Options{
				Node:        "near",
				Incarnation: "i1",
				Store:       service.Store(),
				HoldClient:  client,
				Peers:       func() []api.NodeID { return []api.NodeID{"far"} },
				// A long timeout keeps delays on a busy machine from ending the waits.
				HoldTimeout: time.Minute,
				Rand:        rand.New(rand.NewPCG(1, 2)),
				Log:         quiet,
			})
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 2)
			go func() { done <- biller.RunHold(ctx) }()
			go func() { done <- biller.RunFlush(ctx) }()
			var number atomic.Int64
			b.ReportAllocs()
			var callers sync.WaitGroup
			for range parallel {
				callers.Go(func() {
					for i := number.Add(1); i <= int64(b.N); i = number.Add(1) {
						line := billing.Line{RequestID: api.RequestID(fmt.Sprint(i)), Team: "t", Service: "s", At: time.Now()}
						if err := biller.Add(ctx, line); err != nil {
							b.Error(err)
						}
					}
				})
			}
			callers.Wait()
			cancel()
			<-done
			<-done
		})
	}
}
