package standalone_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/standalone"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

const (
	nodeIP   = "10.0.0.1"
	firstIP  = "10.0.1.1"
	secondIP = "10.0.1.2"
)

// bench is a key-value service whose gateway is reachable at two addresses.
type bench struct {
	*qt.C
	ctx     context.Context
	network *memnet.Network
	service *kvfake.Service
	store   kv.Store
	close   func()
}

func newBench(c *qt.C) *bench {
	b := &bench{C: c, ctx: context.Background(), network: memnet.New(), service: kvfake.New()}
	server := &http.Server{Handler: b.service}
	for _, ip := range []string{firstIP, secondIP} {
		l, err := b.network.Host(ip).Listen(b.ctx, ":2379")
		c.Assert(err, qt.IsNil)
		go func() { _ = server.Serve(l) }()
	}
	transport := tcp.NewTransport(b.network.Host(nodeIP))
	b.store = standalone.NewStore(standalone.StoreOptions{
		Endpoints: []string{"http://" + firstIP + ":2379", "http://" + secondIP + ":2379"},
		Client:    &http.Client{Transport: transport},
	})
	b.close = func() {
		transport.CloseIdleConnections()
		_ = server.Close()
		// The server delays the closing of its connections.
		time.Sleep(time.Second)
	}
	return b
}

func inBubble(t *testing.T, f func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(qt.New(t))
		defer b.close()
		f(b)
	})
}

func put(key, value string) kv.Txn {
	return kv.Txn{Then: []kv.Op{{Kind: kv.OpPut, Key: key, Value: []byte(value)}}}
}

func (b *bench) value(key string) string {
	pair, err := b.service.Store().Get(b.ctx, key)
	b.Assert(err, qt.IsNil)
	return string(pair.Value)
}

// TestGatewayAgainstOracle compares the results of random transactions and reads with those of a map.
func TestGatewayAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(qt.New(t))
			defer b.close()
			checkAgainstOracle(rt, b)
		})
	})
}

func checkAgainstOracle(rt *rapid.T, b *bench) {
	oracle := map[string]kv.Pair{}
	key := rapid.SampledFrom([]string{"a/1", "a/2", "a/\xff", "b"})
	for range rapid.IntRange(1, 20).Draw(rt, "steps") {
		guard, target := key.Draw(rt, "guard"), key.Draw(rt, "target")
		expected := oracle[guard].Version
		if rapid.Bool().Draw(rt, "stale") {
			expected++
		}
		value := rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(rt, "value")
		op := kv.Op{Kind: kv.OpPut, Key: target, Value: value}
		if rapid.Bool().Draw(rt, "delete") {
			op = kv.Op{Kind: kv.OpDelete, Key: target}
		}
		result, err := b.store.Commit(b.ctx, kv.Txn{
			If:   []kv.Compare{{Key: guard, Version: expected}},
			Then: []kv.Op{op},
			Else: []kv.Op{{Kind: kv.OpGet, Key: guard}},
		})
		b.Assert(err, qt.IsNil)
		b.Assert(result.Succeeded, qt.Equals, expected == oracle[guard].Version)
		switch {
		case !result.Succeeded:
			b.Assert(result.Pairs[0].Version, qt.Equals, oracle[guard].Version)
		case op.Kind == kv.OpPut:
			oracle[target] = kv.Pair{Key: target, Value: value, Version: result.Revision}
		default:
			delete(oracle, target)
		}
		b.checkList(oracle)
	}
}

func (b *bench) checkList(oracle map[string]kv.Pair) {
	listed, err := b.store.List(b.ctx, kv.ListOptions{Prefix: "a/"})
	b.Assert(err, qt.IsNil)
	var got, want []string
	for _, pair := range listed.Pairs {
		got = append(got, fmt.Sprintf("%q=%q@%d", pair.Key, pair.Value, pair.Version))
	}
	for _, pair := range oracle {
		if strings.HasPrefix(pair.Key, "a/") {
			want = append(want, fmt.Sprintf("%q=%q@%d", pair.Key, pair.Value, pair.Version))
		}
	}
	slices.Sort(want)
	b.Assert(got, qt.DeepEquals, want)
}

// TestGatewayOutcomes checks the error, the effect on the store and the outcome of a read for each kind of fault.
func TestGatewayOutcomes(t *testing.T) {
	tests := []struct {
		name         string
		fault        kvfake.Fault
		isErr        func(error) bool
		takesEffect  bool
		readSucceeds bool
	}{
		{name: "lost answer", fault: kvfake.FaultLoseResponse, isErr: kv.IsErrUnknownOutcome, takesEffect: true, readSucceeds: true},
		{name: "lost request", fault: kvfake.FaultLoseRequest, isErr: kv.IsErrUnknownOutcome, readSucceeds: true},
		{name: "hang", fault: kvfake.FaultHang, isErr: kv.IsErrUnknownOutcome, readSucceeds: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(b *bench) {
				b.service.FailNext(kvfake.CallWrite, test.fault, 1)
				_, err := b.store.Commit(b.ctx, put("k", "v"))
				b.Assert(test.isErr(err), qt.IsTrue, qt.Commentf("%v", err))
				b.Assert(b.value("k") == "v", qt.Equals, test.takesEffect)
				b.service.FailNext(kvfake.CallRead, test.fault, 1)
				_, err = b.store.Get(b.ctx, "k")
				b.Assert(err == nil, qt.Equals, test.readSucceeds, qt.Commentf("%v", err))
			})
		})
	}
}

func TestGatewayFailsOver(t *testing.T) {
	inBubble(t, func(b *bench) {
		b.network.Kill(firstIP)
		_, err := b.store.Commit(b.ctx, put("k", "1"))
		b.Assert(err, qt.IsNil)
		b.service.FailNext(kvfake.CallWrite, kvfake.FaultNoLeader, 1)
		b.network.Kill(secondIP)
		_, err = b.store.Commit(b.ctx, put("k", "2"))
		b.Assert(err, qt.Satisfies, kv.IsErrUnavailable)
		b.Assert(b.value("k"), qt.Equals, "1")
	})
}

func TestGatewayRejections(t *testing.T) {
	inBubble(t, func(b *bench) {
		b.service.StartOutage(kvfake.FaultNoLeader)
		_, err := b.store.Commit(b.ctx, put("k", "v"))
		b.Assert(err, qt.Satisfies, kv.IsErrUnavailable)
		b.service.EndOutage()
		_, err = b.store.Commit(b.ctx, put("k", strings.Repeat("x", 1<<20+1)))
		b.Assert(err, qt.Satisfies, kv.IsErrTooLarge)
		_, err = b.store.Commit(b.ctx, kv.Txn{Then: slices.Repeat(put("k", "v").Then, 2)})
		b.Assert(err, qt.Satisfies, kv.IsErrRejected)
		b.service.SetRates(1, 1)
		_, err = b.store.Commit(b.ctx, put("k", "v"))
		b.Assert(err, qt.IsNil)
		_, err = b.store.Commit(b.ctx, put("k", "w"))
		b.Assert(err, qt.Satisfies, kv.IsErrUnavailable)
		b.Assert(b.value("k"), qt.Equals, "v")
	})
}

// TestGatewaySilentConnections checks that calls succeed after the pool's idle connections went silent, with one timeout at most.
func TestGatewaySilentConnections(t *testing.T) {
	inBubble(t, func(b *bench) {
		_, err := b.store.Commit(b.ctx, put("k", "v"))
		b.Assert(err, qt.IsNil)
		b.network.Silence(nodeIP, firstIP)
		began := time.Now()
		_, err = b.store.Get(b.ctx, "k")
		b.Assert(err, qt.IsNil)
		b.Assert(time.Since(began), qt.Equals, standalone.DefaultTimeout)
		_, err = b.store.Commit(b.ctx, put("k", "w"))
		b.Assert(err, qt.IsNil)
	})
}

func TestGatewayLeases(t *testing.T) {
	inBubble(t, func(b *bench) {
		lease, err := b.store.Grant(b.ctx, 10*time.Second)
		b.Assert(err, qt.IsNil)
		b.Assert(lease.TTL, qt.Equals, 10*time.Second)
		txn := put("k", "v")
		txn.Then[0].Lease = lease.ID
		_, err = b.store.Commit(b.ctx, txn)
		b.Assert(err, qt.IsNil)
		time.Sleep(9 * time.Second)
		_, err = b.store.KeepAlive(b.ctx, lease.ID)
		b.Assert(err, qt.IsNil)
		time.Sleep(9 * time.Second)
		b.Assert(b.value("k"), qt.Equals, "v")
		time.Sleep(2 * time.Second)
		b.Assert(b.value("k"), qt.Equals, "")
		_, err = b.store.KeepAlive(b.ctx, lease.ID)
		b.Assert(err, qt.Satisfies, kv.IsErrLeaseNotFound)
		b.Assert(b.store.Revoke(b.ctx, lease.ID), qt.Satisfies, kv.IsErrLeaseNotFound)
		_, err = b.store.Commit(b.ctx, txn)
		b.Assert(err, qt.Satisfies, kv.IsErrLeaseNotFound)
	})
}
