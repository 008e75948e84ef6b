package claim_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/claim"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/idem"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var quiet = &log.Logger{Handler: discard.New()}

// nodes are the nodes of a fleet, each with its own Batcher.
type nodes struct {
	*qt.C
	service  *kvfake.Service
	batchers map[api.NodeID]*claim.Batcher
	claimers []*claim.Claimer
	names    []api.NodeID
	// nextFault returns the fault of the next call between nodes.
	nextFault func() remoteFault
	stop      context.CancelFunc
	ended     chan error
	requests  int
}

type remoteFault int

const (
	remoteWorks remoteFault = iota
	remoteLosesRequest
	remoteLosesAnswer
)

// errRemote is the error of a failed call between nodes.
type errRemote struct{}

func (errRemote) Error() string { return "call between nodes failed" }

// CommitAt implements claim.RemoteCommitter.
func (n *nodes) CommitAt(ctx context.Context, node api.NodeID, entry claim.Entry) (claim.CommitResult, error) {
	fault := n.nextFault()
	if fault == remoteLosesRequest {
		return claim.CommitResult{}, errRemote{}
	}
	result, err := n.batchers[node].Commit(ctx, entry)
	if fault == remoteLosesAnswer {
		return claim.CommitResult{}, errRemote{}
	}
	return result, err
}

func start(c *qt.C, count int, opts claim.BatcherOptions) *nodes {
	ctx, stop := context.WithCancel(context.Background())
	n := &nodes{
		C:         c,
		service:   kvfake.New(),
		batchers:  make(map[api.NodeID]*claim.Batcher),
		nextFault: func() remoteFault { return remoteWorks },
		stop:      stop,
		ended:     make(chan error, count),
	}
	opts.Store, opts.Log = n.service.Store(), quiet
	for i := range count {
		name := api.NodeID(fmt.Sprintf("n%d", i))
		batcher := claim.NewBatcher(opts)
		n.names = append(n.names, name)
		n.batchers[name] = batcher
		n.claimers = append(n.claimers, nil)
		n.restart(i)
		go func() { n.ended <- batcher.Run(ctx) }()
	}
	return n
}

// restart replaces a node by a new incarnation with no local state.
func (n *nodes) restart(i int) {
	n.requests++
	n.claimers[i] = claim.New(claim.Options{
		Node:            n.names[i],
		Incarnation:     api.Incarnation(fmt.Sprintf("%s-%d", n.names[i], n.requests)),
		Local:           n.batchers[n.names[i]],
		Remote:          n,
		Members:         func() []api.NodeID { return n.names },
		BatchingNodes:   2,
		MaxRecentClaims: 4,
	})
}

func inBubble(t *testing.T, count int, opts claim.BatcherOptions, f func(n *nodes)) {
	synctest.Test(t, func(t *testing.T) {
		n := start(qt.New(t), count, opts)
		defer func() {
			n.stop()
			for range n.names {
				<-n.ended
			}
			n.service.Wait()
		}()
		f(n)
	})
}

func (n *nodes) request(key string) claim.Request {
	n.requests++
	return claim.Request{
		Team:      "carrasco",
		Key:       api.IdempotencyKey(key),
		RequestID: api.RequestID(fmt.Sprintf("r%d", n.requests)),
	}
}

func TestClaimOnce(t *testing.T) {
	inBubble(t, 2, claim.BatcherOptions{}, func(n *nodes) {
		ctx := context.Background()
		first := n.request("order-17")
		won, err := n.claimers[0].Claim(ctx, first)
		n.Assert(err, qt.IsNil)
		n.Assert(won.IsNew, qt.IsTrue)
		for i, c := range n.claimers {
			again, err := c.Claim(ctx, n.request("order-17"))
			n.Assert(err, qt.IsNil)
			n.Assert(again, qt.Equals, claim.Ownership{Owner: won.Owner}, qt.Commentf("node %d", i))
			other := n.request("order-17")
			other.Fingerprint[0] = 1
			_, err = c.Claim(ctx, other)
			n.Assert(err, qt.Satisfies, idem.IsErrKeyReused)
		}
		n.claimers[0].Release(first)
		again, err := n.claimers[1].Claim(ctx, n.request("order-17"))
		n.Assert(err, qt.IsNil)
		n.Assert(again.IsNew, qt.IsFalse)
		again, err = n.claimers[0].Claim(ctx, n.request("order-17"))
		n.Assert(err, qt.IsNil)
		n.Assert(again.IsNew, qt.IsTrue)
	})
}

// TestBatchWithConflicts has claimed and free keys in one batch.
func TestBatchWithConflicts(t *testing.T) {
	inBubble(t, 1, claim.BatcherOptions{MinInterval: time.Second}, func(n *nodes) {
		ctx := context.Background()
		for _, key := range []api.IdempotencyKey{"a", "b"} {
			_, err := n.service.Store().Commit(ctx, kv.Txn{Then: []kv.Op{{
				Kind:  kv.OpPut,
				Key:   claim.KeyOf("carrasco", key),
				Value: []byte(`{"Node":"n9","Nonce":"1"}`),
			}}})
			n.Assert(err, qt.IsNil)
		}
		_, err := n.claimers[0].Claim(ctx, n.request("z"))
		n.Assert(err, qt.IsNil)
		before := n.batchers["n0"].Stats().Transactions
		results := make(chan string, 6)
		for _, key := range []string{"a", "c", "d", "b", "e"} {
			req := n.request(key)
			go func() {
				claimed, err := n.claimers[0].Claim(ctx, req)
				results <- fmt.Sprint(key, claimed.IsNew, err)
			}()
		}
		got := map[string]bool{}
		for range 5 {
			got[<-results] = true
		}
		n.Assert(got, qt.DeepEquals, map[string]bool{
			"afalse <nil>": true, "bfalse <nil>": true, "ctrue <nil>": true, "dtrue <nil>": true, "etrue <nil>": true,
		})
		n.Assert(n.batchers["n0"].Stats().Transactions-before, qt.Equals, int64(2))
	})
}

func TestRepeatedKeyInOneBatch(t *testing.T) {
	inBubble(t, 1, claim.BatcherOptions{}, func(n *nodes) {
		batcher := n.batchers["n0"]
		results := make(chan claim.CommitResult, 3)
		for i := range 3 {
			entry := claim.Entry{Key: "claim/k", Record: claim.Record{Nonce: fmt.Sprint(i)}}
			go func() {
				result, err := batcher.Commit(context.Background(), entry)
				n.Check(err, qt.IsNil)
				results <- result
			}()
		}
		won := 0
		for range 3 {
			if (<-results).IsWon {
				won++
			}
		}
		n.Assert(won, qt.Equals, 1)
	})
}

func TestLostAnswers(t *testing.T) {
	inBubble(t, 1, claim.BatcherOptions{}, func(n *nodes) {
		ctx := context.Background()
		_, err := n.claimers[0].Claim(ctx, n.request("first"))
		n.Assert(err, qt.IsNil)
		n.service.FailNext(kvfake.CallWrite, kvfake.FaultLoseResponse, 1)
		claimed, err := n.claimers[0].Claim(ctx, n.request("k"))
		n.Assert(err, qt.IsNil)
		n.Assert(claimed.IsNew, qt.IsTrue)
		// All attempts of the write lose their responses: the request does not run, but a retry of it does, once.
		n.service.FailNext(kvfake.CallWrite, kvfake.FaultLoseResponse, 3)
		_, err = n.claimers[0].Claim(ctx, n.request("l"))
		n.Assert(err, qt.Satisfies, claim.IsErrUnavailable)
		claimed, err = n.claimers[0].Claim(ctx, n.request("l"))
		n.Assert(err, qt.IsNil)
		n.Assert(claimed.IsNew, qt.IsTrue)
	})
}

// TestOutage checks that claims fail with ErrUnavailable within the timeout in each kind of outage, and succeed after
// it.
func TestOutage(t *testing.T) {
	for _, fault := range []kvfake.Fault{kvfake.FaultNoLeader, kvfake.FaultLoseRequest, kvfake.FaultHang} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			inBubble(t, 3, claim.BatcherOptions{}, func(n *nodes) {
				n.service.StartOutage(fault)
				began := time.Now()
				for _, c := range n.claimers {
					_, err := c.Claim(context.Background(), n.request("k"))
					n.Assert(err, qt.Satisfies, claim.IsErrUnavailable)
				}
				n.Assert(time.Since(began) <= 3*claim.DefaultTimeout, qt.IsTrue)
				n.service.EndOutage()
				time.Sleep(claim.DefaultTimeout)
				claimed, err := n.claimers[0].Claim(context.Background(), n.request("k"))
				n.Assert(err, qt.IsNil)
				n.Assert(claimed.IsNew, qt.IsTrue)
			})
		})
	}
}

func TestQueueIsBounded(t *testing.T) {
	inBubble(t, 1, claim.BatcherOptions{Queue: 8}, func(n *nodes) {
		n.service.StartOutage(kvfake.FaultHang)
		failed := make(chan error, 40)
		for range 40 {
			req := n.request(fmt.Sprint(n.requests))
			go func() {
				_, err := n.claimers[0].Claim(context.Background(), req)
				failed <- err
			}()
		}
		for range 40 {
			n.Assert(<-failed, qt.Satisfies, claim.IsErrUnavailable)
		}
	})
}

// TestRetention checks that claims are kept for at least a day, and that the claims that all nodes make within an hour share one lease
// and so expire together.
func TestRetention(t *testing.T) {
	inBubble(t, 2, claim.BatcherOptions{}, func(n *nodes) {
		time.Sleep(30 * time.Minute)
		leases := map[kv.LeaseID]bool{}
		store := n.service.Store()
		for i, key := range []string{"a", "b", "c", "d", "e"} {
			claimed, err := n.claimers[i%2].Claim(context.Background(), n.request(key))
			n.Assert(err, qt.IsNil)
			n.Assert(claimed.IsNew, qt.IsTrue)
			pair, err := store.Get(context.Background(), claim.KeyOf("carrasco", api.IdempotencyKey(key)))
			n.Assert(err, qt.IsNil)
			leases[pair.Lease] = true
		}
		n.Assert(leases, qt.HasLen, 1)
		count := func() int {
			listed, err := store.List(context.Background(), kv.ListOptions{Prefix: "claim/"})
			n.Assert(err, qt.IsNil)
			return len(listed.Pairs)
		}
		time.Sleep(claim.DefaultRetention)
		n.Assert(count(), qt.Equals, 5)
		time.Sleep(time.Hour)
		n.Assert(count(), qt.Equals, 0)
	})
}

// TestBatchersRestoreClaimsAfterRollback restores the key-value service from an older snapshot, which loses claims; the
// batching nodes have them cached and must write them again.
func TestBatchersRestoreClaimsAfterRollback(t *testing.T) {
	inBubble(t, 2, claim.BatcherOptions{}, func(n *nodes) {
		ctx := context.Background()
		_, err := n.claimers[0].Claim(ctx, n.request("before"))
		n.Assert(err, qt.IsNil)
		snapshot := n.service.Snapshot()
		keys := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		for _, key := range keys {
			claimed, err := n.claimers[0].Claim(ctx, n.request(key))
			n.Assert(err, qt.IsNil)
			n.Assert(claimed.IsNew, qt.IsTrue)
		}
		n.service.Restore(snapshot)
		for i := range 20 {
			_, err := n.claimers[1].Claim(ctx, n.request(fmt.Sprint("after", i)))
			n.Assert(err, qt.IsNil)
		}
		time.Sleep(time.Second)
		for _, key := range keys {
			claimed, err := n.claimers[1].Claim(ctx, n.request(key))
			n.Assert(err, qt.IsNil)
			n.Assert(claimed.IsNew, qt.IsFalse)
			pair, err := n.service.Store().Get(ctx, claim.KeyOf("carrasco", api.IdempotencyKey(key)))
			n.Assert(err, qt.IsNil)
			n.Assert(pair.Version > 0, qt.IsTrue, qt.Commentf("%s was not put back", key))
		}
	})
}

// TestOwnerRestoresClaimsAfterRollback restores the key-value service from an older snapshot after the batching node of
// a claim has left; the owner must make the claim again.
func TestOwnerRestoresClaimsAfterRollback(t *testing.T) {
	inBubble(t, 2, claim.BatcherOptions{}, func(n *nodes) {
		ctx, cancel := context.WithCancel(context.Background())
		own := claim.New(claim.Options{Node: "n0", Incarnation: "own", Local: n.batchers["n0"], Members: func() []api.NodeID { return nil }})
		restorer := claim.NewRestorer(claim.RestorerOptions{
			Store: n.service.Store(), Claimer: own, Batcher: n.batchers["n0"], Log: quiet,
		})
		done := make(chan error)
		go func() { done <- restorer.Run(ctx) }()
		snapshot := n.service.Snapshot()
		won, err := own.Claim(ctx, n.request("k"))
		n.Assert(err, qt.IsNil)
		n.Assert(won.IsNew, qt.IsTrue)
		time.Sleep(2 * claim.DefaultCheckInterval)
		n.service.Restore(snapshot)
		time.Sleep(2 * claim.DefaultCheckInterval)
		// Another batching node has nothing cached and gets the claim from the key-value service.
		result, err := n.batchers["n1"].Commit(ctx, claim.Entry{Key: claim.KeyOf("carrasco", "k"), Record: claim.Record{Nonce: "other"}})
		n.Assert(err, qt.IsNil)
		n.Assert(result.Existing.Incarnation, qt.Equals, api.Incarnation("own"))
		cancel()
		<-done
	})
}
