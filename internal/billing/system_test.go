package billing_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/monsoonrail/monsoonrail/internal/billing"
	"github.com/monsoonrail/monsoonrail/internal/billing/billingpb"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var quiet = &log.Logger{Handler: discard.New()}

// errHold is the error of a failed call between nodes.
type errHold struct{}

func (errHold) Error() string { return "peer not reached" }

// node is one incarnation of a node.
type node struct {
	biller      *billing.Biller
	batchHolder *billing.BatchHolder
	name        api.NodeID
	incarnation api.Incarnation
	stop        context.CancelFunc
	tasks       sync.WaitGroup
}

// system is a fleet of nodes with a fake key-value service.
type system struct {
	*qt.C
	service *kvfake.Service
	mu      sync.Mutex
	nodes   []*node
	started int
	// failingHolds is how many of the next calls between nodes fail; every other one fails after it took effect.
	failingHolds int
	// suspects are nodes that run but are considered failed by the others.
	suspects map[api.NodeID]bool
	// holds counts the calls to Hold.
	holds int
	// interval is the HoldInterval of nodes started from now on.
	interval time.Duration
}

// setHoldInterval restarts the first node with a hold interval.
func (s *system) setHoldInterval(interval time.Duration) {
	s.interval = interval
	s.restart(0)
}

func newSystem(c *qt.C, count int) *system {
	s := &system{C: c, service: kvfake.New(), suspects: map[api.NodeID]bool{}}
	for i := range count {
		n := s.start(i)
		s.mu.Lock()
		s.nodes = append(s.nodes, n)
		s.mu.Unlock()
	}
	return s
}

func (s *system) start(i int) *node {
	s.started++
	ctx, stop := context.WithCancel(context.Background())
	n := &node{name: api.NodeID(fmt.Sprintf("n%d", i)), incarnation: api.Incarnation(fmt.Sprintf("i%d", s.started)), stop: stop}
	n.batchHolder = billing.NewBatchHolder(billing.BatchHolderOptions{Store: s.service.Store(), IsAlive: s.isAlive, Log: quiet})
	n.biller = billing.NewBiller(billing.Options{
		Node:         n.name,
		Incarnation:  n.incarnation,
		Store:        s.service.Store(),
		HoldClient:   s,
		Peers:        func() []api.NodeID { return s.peersOf(n.name) },
		HoldInterval: s.interval,
		Rand:         rand.New(rand.NewPCG(1, uint64(s.started))),
		Log:          quiet,
	})
	for _, run := range []func(context.Context) error{n.biller.RunHold, n.biller.RunFlush, n.batchHolder.Run} {
		n.tasks.Go(func() { _ = run(ctx) })
	}
	return n
}

// end stops a node's background tasks without a shutdown; the node writes nothing more.
func (n *node) end() {
	n.stop()
	n.tasks.Wait()
}

// restart replaces a node by a new incarnation.
func (s *system) restart(i int) {
	s.nodes[i].end()
	next := s.start(i)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[i] = next
}

func (s *system) peersOf(name api.NodeID) (peers []api.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		if n != nil && n.name != name && !s.suspects[n.name] {
			peers = append(peers, n.name)
		}
	}
	return peers
}

func (s *system) isAlive(name api.NodeID, incarnation api.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		if n.name == name {
			return n.incarnation == incarnation && !s.suspects[name]
		}
	}
	return false
}

// Hold implements billing.HoldClient; it copies messages as the network would.
func (s *system) Hold(_ context.Context, peer api.NodeID, req *billingpb.HoldRequest) (*billingpb.HoldResponse, error) {
	s.mu.Lock()
	s.holds++
	fails := s.failingHolds > 0
	losesAnswer := s.failingHolds%2 == 0
	s.failingHolds = max(0, s.failingHolds-1)
	var holder *billing.BatchHolder
	for _, n := range s.nodes {
		if n.name == peer {
			holder = n.batchHolder
		}
	}
	s.mu.Unlock()
	if fails && !losesAnswer {
		return nil, errHold{}
	}
	resp, err := holder.Hold(proto.Clone(req).(*billingpb.HoldRequest))
	if fails {
		return nil, errHold{}
	}
	return resp, err
}

// billed counts the requests of each service in all segments; tests give each line its own service.
func (s *system) billed() map[api.Service]int64 {
	listed, err := s.service.Store().List(context.Background(), kv.ListOptions{Prefix: billing.ShardPrefix})
	s.Assert(err, qt.IsNil)
	counts := map[api.Service]int64{}
	for _, pair := range listed.Pairs {
		segment, err := billing.DecodeSegment(pair.Value)
		s.Assert(err, qt.IsNil)
		for _, sum := range segment.Sums {
			counts[api.Service(sum.Service)] += sum.Requests
		}
		for _, keyed := range segment.Keyed {
			counts[api.Service(keyed.Sum.Service)] += keyed.Sum.Requests
		}
	}
	return counts
}

func inBubble(t *testing.T, count int, f func(s *system)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(qt.New(t), count)
		defer func() {
			for _, n := range s.nodes {
				n.end()
			}
			s.service.Wait()
		}()
		f(s)
	})
}

func line(number int) billing.Line {
	id := fmt.Sprintf("r%d", number)
	l := billing.Line{RequestID: api.RequestID(id), Team: "carrasco", Service: api.Service(id), AnswerTokens: 7, At: time.Now()}
	if number%3 == 0 {
		l.Key = api.IdempotencyKey(id)
	}
	return l
}
