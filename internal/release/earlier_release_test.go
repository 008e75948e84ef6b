// Package release tests that nodes of this release understand those of an earlier one, beside which they run while an upgrade replaces one after the
// other. testdata holds, by the commit of the earlier release, what its nodes store and what they send to each other.
package release_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/crashes"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/nodelist"
	"github.com/monsoonrail/monsoonrail/internal/relay"
	"github.com/monsoonrail/monsoonrail/internal/reportrelay"
	"github.com/monsoonrail/monsoonrail/internal/rolloutrpc"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/selfreport"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/internal/tunnel"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
	"github.com/monsoonrail/monsoonrail/internal/writerelay"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const earlier = "testdata/24729d1"

// What the nodes of the earlier release have stored and said.
var (
	node   = nodelist.Node{ID: "node-a", FailureDomain: "z1", Callers: "10.0.0.1:80", Peers: "10.0.0.1:83", CPU: 0.4, Bandwidth: 1e7}
	crash  = crashes.Report{Suspect: "part/models/aa", Request: "request-1", Crashes: 2, IsCleared: true}
	shared = selfreport.Shared{Server: "m1", Start: 1700000000000, IsLeaving: true, Limit: 2.5, HasLimit: true}
	begun  = versionrollout.StartRecord{Order: 31, Target: "v2", Duration: 14 * time.Second, UnixMilli: 1700000000123}
)

// read returns a file of the earlier release.
func read(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(earlier, name))
	qt.Assert(t, err, qt.IsNil)
	return data
}

// decodeStored decodes a value that nodes store.
func decodeStored(pair kv.Pair) (any, error) {
	switch {
	case strings.HasPrefix(pair.Key, nodelist.Prefix):
		return nodelist.Decode(pair)
	case strings.HasPrefix(pair.Key, crashes.KeyPrefix):
		return crashes.Decode(pair)
	case strings.HasPrefix(pair.Key, selfreport.KeyPrefix):
		return selfreport.DecodeShared(pair.Value)
	default:
		_, start, err := versionrollout.DecodeStart(pair)
		return start, err
	}
}

// TestStoreOfAnEarlierRelease checks that this release finds what the earlier one has stored, under the same keys.
func TestStoreOfAnEarlierRelease(t *testing.T) {
	var values map[string]json.RawMessage
	qt.Assert(t, json.Unmarshal(read(t, "store.json"), &values), qt.IsNil)
	found := make(map[string]any)
	for key, value := range values {
		stored, err := decodeStored(kv.Pair{Key: key, Value: value})
		qt.Check(t, err, qt.IsNil, qt.Commentf(key))
		found[key] = stored
	}
	qt.Assert(t, found, qt.DeepEquals, map[string]any{
		nodelist.Prefix + "node-a": node, crash.Key(): crash, shared.Key(): shared, versionrollout.StartKey("models"): begun,
	})
}

// copied is the copy of the store that a node serves to others; it records what it was asked.
type copied struct {
	relay.Mirror
	after kv.Version
	wait  time.Duration
}

func (c *copied) Listing() (kv.ListResult, error) { return kv.ListResult{Revision: 40}, nil }

func (c *copied) Changes(_ context.Context, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	c.after, c.wait = after, wait
	return kv.WatchBatch{Revision: 42}, nil
}

// collector records a node's report about a roll-out.
type collector struct {
	service route.Service
	node    api.NodeID
	report  versionrollout.NodeReport
}

func (c *collector) SetReport(service route.Service, node api.NodeID, report versionrollout.NodeReport) versionrollout.Collected {
	c.service, c.node, c.report = service, node, report
	return versionrollout.Collected{Sessions: []uint64{3}}
}

// store records the calls that a node makes for another one.
type store struct{ calls []string }

func (s *store) record(format string, args ...any) {
	s.calls = append(s.calls, fmt.Sprintf(format, args...))
}

func (s *store) Grant(_ context.Context, ttl time.Duration) (kv.Lease, error) {
	s.record("grant %v", ttl)
	return kv.Lease{ID: 7, TTL: ttl}, nil
}

func (s *store) KeepAlive(_ context.Context, id kv.LeaseID) (kv.Lease, error) {
	s.record("keep %d", id)
	return kv.Lease{ID: id}, nil
}

func (s *store) Commit(_ context.Context, txn kv.Txn) (kv.TxnResult, error) {
	s.record("commit %v %s lease %d", txn.If, txn.Then[0].Key, txn.Then[0].Lease)
	return kv.TxnResult{Succeeded: true}, nil
}

func (s *store) Revoke(_ context.Context, id kv.LeaseID) error {
	s.record("revoke %d", id)
	return nil
}

// TestCallsOfAnEarlierRelease makes each call as nodes of the earlier release make it: this release understands all of it.
func TestCallsOfAnEarlierRelease(t *testing.T) {
	mirror, collected, calls := new(copied), new(collector), new(store)
	var heard []selfreport.Shared
	mux := http.NewServeMux()
	relay.Handle(mux, mirror, func(relay.Served, int) {})
	rolloutrpc.Handle(mux, collected)
	writerelay.Handle(mux, calls)
	reportrelay.Handle(mux, func(report selfreport.Shared) { heard = append(heard, report) })
	for _, name := range []string{
		"list", "poll", "rollout_report", "server_report", "write_grant", "write_keep_alive", "write_entry", "write_commit", "write_revoke",
	} {
		first, body, _ := strings.Cut(string(read(t, name+".request")), "\n")
		method, path, _ := strings.Cut(first, " ")
		answer := httptest.NewRecorder()
		mux.ServeHTTP(answer, httptest.NewRequest(method, path, strings.NewReader(body)))
		qt.Check(t, answer.Code < http.StatusMultipleChoices, qt.IsTrue, qt.Commentf("%s: status %d", name, answer.Code))
	}
	qt.Check(t, *mirror, qt.Equals, copied{after: 40, wait: 300 * time.Millisecond})
	qt.Check(t, collected.service, qt.Equals, route.Service("models"))
	qt.Check(t, collected.node, qt.Equals, api.NodeID("node-a"))
	qt.Check(t, collected.report, qt.DeepEquals, rolloutReport())
	told := shared
	told.Pause = 1500 * time.Millisecond
	qt.Check(t, heard, qt.DeepEquals, []selfreport.Shared{told})
	qt.Check(t, calls.calls, qt.DeepEquals, []string{
		"grant 9s", "keep 7", "commit [] monsoonrail/nodes/node-a lease 7",
		"commit [{monsoonrail/rollouts/models 0} {op/rollout/models 31}] monsoonrail/rollouts/models lease 0", "revoke 7",
	})
}

// rolloutReport returns the report that a node of the earlier release has sent.
func rolloutReport() versionrollout.NodeReport {
	evidence := versionrollout.NewEvidence()
	evidence.Target["call"] = versionrollout.Counts{Answers: 9, Failures: 2, Slow: 1}
	evidence.Others["call"] = versionrollout.Counts{Answers: 90}
	return versionrollout.NodeReport{
		Order: 31, Evidence: evidence, Traffic: versionrollout.Traffic{Attempts: 99, Target: 9, Running: 3, Answered: 6},
		PeakLoad: 0.75, AtOld: 4, Sessions: []uint64{3},
	}
}

// answering returns the address of a node that gives an answer of the earlier release.
func answering(t *testing.T, name string) string {
	first, body, _ := strings.Cut(string(read(t, name+".response")), "\n")
	status, err := strconv.Atoi(first)
	qt.Assert(t, err, qt.IsNil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		if status != http.StatusNoContent {
			_, _ = io.WriteString(w, body)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// unreachable is a store that fails all calls.
type unreachable struct{}

func (unreachable) Grant(context.Context, time.Duration) (kv.Lease, error) { return kv.Lease{}, io.EOF }
func (unreachable) KeepAlive(context.Context, kv.LeaseID) (kv.Lease, error) {
	return kv.Lease{}, io.EOF
}
func (unreachable) Commit(context.Context, kv.Txn) (kv.TxnResult, error) {
	return kv.TxnResult{}, io.EOF
}
func (unreachable) Revoke(context.Context, kv.LeaseID) error { return io.EOF }

// TestAnswersOfAnEarlierRelease makes each call to a node that answers as those of the earlier release do.
func TestAnswersOfAnEarlierRelease(t *testing.T) {
	ctx, client := context.Background(), http.DefaultClient
	listed, err := (&relay.Client{Address: answering(t, "list"), Client: client}).List(ctx, "")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, listed.Pairs, qt.HasLen, 4)
	qt.Check(t, listed.Revision, qt.Equals, kv.Version(40))
	qt.Check(t, listed.SinceOutage, qt.Equals, 2*time.Second)
	first, err := decodeStored(listed.Pairs[0])
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, first, qt.Equals, any(node))

	batch, err := (&relay.Client{Address: answering(t, "poll"), Client: client}).Poll(ctx, "", 40, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, batch.Events, qt.HasLen, 3)
	qt.Check(t, batch.Revision, qt.Equals, kv.Version(42))
	qt.Check(t, batch.Events[1].Deleted, qt.IsTrue)
	qt.Check(t, string(batch.Events[2].Pair.Value), qt.Equals, strings.Repeat("large ", 1000))

	collected, err := rolloutrpc.Send(ctx, client, answering(t, "rollout_report"), rolloutrpc.Report{Service: "models", Node: "node-b", Report: rolloutReport()})
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, collected.Sessions, qt.DeepEquals, []uint64{3, 1 << 63})
	qt.Check(t, reportrelay.Tell(ctx, client, answering(t, "server_report"), shared), qt.IsNil)

	relayed := func(name string) *writerelay.Store {
		address := answering(t, name)
		return &writerelay.Store{Direct: unreachable{}, Client: client, Relays: func() []string { return []string{address} }}
	}
	lease, err := relayed("write_grant").Grant(ctx, 9*time.Second)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, lease, qt.Equals, kv.Lease{ID: 7, TTL: 9 * time.Second})
	lease, err = relayed("write_keep_alive").KeepAlive(ctx, 7)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, lease.ID, qt.Equals, kv.LeaseID(7))
	for _, name := range []string{"write_entry", "write_commit"} {
		result, err := relayed(name).Commit(ctx, kv.Txn{Then: []kv.Op{{Kind: kv.OpPut, Key: nodelist.Prefix + "node-b", Value: []byte("{}"), Lease: 7}}})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, result.Succeeded, qt.IsTrue)
	}
	qt.Check(t, relayed("write_revoke").Revoke(ctx, 7), qt.IsNil)
}

// TestConnectionsWithAnEarlierRelease opens a connection to a server for a node of the earlier release, and one through such a node.
func TestConnectionsWithAnEarlierRelease(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer server.Close()
	address := server.Addr().String()

	handler := tunnel.NewHandler(tunnel.HandlerOptions{
		Network: tcp.System{}, Paths: new(tunnel.Paths), TakesRequests: func(wanted string) bool { return wanted == address }, IsStopping: func() bool { return false },
	})
	defer handler.Close()
	helper := httptest.NewServer(handler)
	defer helper.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(helper.URL, "http://"))
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	_, err = conn.Write(bytes.ReplaceAll(read(t, "connect.request"), []byte("10.1.0.2:80"), []byte(address)))
	qt.Assert(t, err, qt.IsNil)
	status, err := bufio.NewReader(conn).ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, status, qt.Equals, "HTTP/1.1 200 Connection established\r\n")

	earlierNode, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer earlierNode.Close()
	asked := make(chan string, 1)
	go func() {
		conn, err := earlierNode.Accept()
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			asked <- req.Method + " " + req.Host
		}
		_, _ = conn.Write(read(t, "connect.response"))
	}()
	nodes := []nodelist.Node{{ID: "node-a", FailureDomain: "z2", Peers: earlierNode.Addr().String()}}
	dialer := tunnel.NewDialer(tunnel.DialerOptions{
		Network: tcp.System{}, Paths: new(tunnel.Paths), CountTunnel: func(tcp.DialOutcome) {},
		Helpers: tunnel.NewHelpers("node-b", "z1", nil, func() *[]nodelist.Node { return &nodes }),
	})
	defer dialer.Close()
	// Nothing listens there, so that the connection is opened through the other node.
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	lost := refusing.Addr().String()
	qt.Assert(t, refusing.Close(), qt.IsNil)
	through, err := dialer.DialContext(context.Background(), "tcp", lost)
	qt.Assert(t, err, qt.IsNil)
	defer through.Close()
	qt.Check(t, <-asked, qt.Equals, "CONNECT "+lost)
}
