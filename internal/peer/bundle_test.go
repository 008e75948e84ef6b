package peer_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/peer/peerpb"
)

// FuzzBundle feeds a node arbitrary messages of a peer that holds the key.
func FuzzBundle(f *testing.F) {
	seed, err := proto.Marshal(&peerpb.Bundle{
		Sender:  &peerpb.Sender{Protocol: 1, MinProtocol: 1, Node: "a", Incarnation: "i", Revision: 3},
		Members: []*peerpb.Member{{Node: "a", Incarnation: "i", FailureDomain: "d0"}, {}},
		Pulses:  &peerpb.Pulses{Ids: []uint32{7}, Heartbeats: []uint64{1}, Loads: []uint32{1}}, Unknown: []uint32{7},
		Topics: []*peerpb.TopicPart{{Name: "words"}, {Name: "none", Payload: []byte("x")}},
	})
	qt.Assert(f, err, qt.IsNil)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		bundle := new(peerpb.Bundle)
		if proto.Unmarshal(data, bundle) != nil {
			return
		}
		exchange, err := peer.New(peer.Options{
			Self: peer.Member{Node: "n", Incarnation: "self", FailureDomain: "d0"}, Keys: peer.Keys{[]byte("k")}, Seeds: func() []peer.Seed { return nil },
			Network: memnet.New().Host("10.0.0.1"), Log: &log.Logger{Handler: memory.New()}, Metrics: metrics.NewRegistry(),
			Rand: rand.New(rand.NewPCG(1, 1)),
		})
		qt.Assert(t, err, qt.IsNil)
		peer.Serve(exchange, bundle)
		members := exchange.Members()
		qt.Assert(t, slices.ContainsFunc(members, func(m peer.Member) bool { return m.Incarnation == "self" }), qt.IsTrue)
	})
}
