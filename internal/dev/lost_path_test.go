package dev_test

import (
	"bufio"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/peer"
)

// TestNodesWithoutPathsToServersAnswer guards against nodes whose callers are rejected since the node's own links to all servers are lost, although other nodes
// reach the servers.
func TestNodesWithoutPathsToServersAnswer(t *testing.T) {
	const callers, engines, plains = 24, 6, 4
	for _, test := range []struct {
		name string
		lose func(network *memnet.Network, node, server string)
	}{
		{"links are silent", (*memnet.Network).Blackhole},
		{"connections are reset, and refused", func(network *memnet.Network, node, server string) {
			network.Reset(node, server)
			network.Refuse(node, server)
		}},
		{"new connections are refused", (*memnet.Network).Refuse},
		{"new connections are silent", (*memnet.Network).BlackholeDials},
	} {
		for _, path := range []string{"/v1/chat/completions", "/v1/services/forge-app/status", "/v1/services/forge-app/push"} {
			t.Run(test.name+" "+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newBench(t, func(o *dev.Options) { o.Engines, o.PlainServers = engines, plains })
					defer b.close()
					call := func(i int) streamResult {
						began := time.Now()
						body := fmt.Sprint("call ", i)
						if path == "/v1/chat/completions" {
							body = fmt.Sprintf(longQuestion, i)
						}
						resp, raw := b.do(http.MethodPost, b.system.NodeURL(0)+path, nil, body)
						return streamResult{status: resp.StatusCode, body: string(raw), took: time.Since(began)}
					}
					for i := range callers {
						call(i)
					}
					for i := range engines {
						test.lose(b.net, nodeIP(0), engineIP(i))
					}
					for i := range plains {
						test.lose(b.net, nodeIP(0), plainIP(i))
					}
					time.Sleep(3 * time.Second)
					results := make([]streamResult, callers)
					var calling sync.WaitGroup
					for i := range results {
						calling.Go(func() {
							time.Sleep(time.Duration(i) * 200 * time.Millisecond)
							results[i] = call(callers + i)
						})
					}
					calling.Wait()
					for i, result := range results {
						qt.Check(t, result.status, qt.Equals, http.StatusOK, qt.Commentf("call %d after %s: %s", i, result.took, tail(result.body)))
					}
					_, metrics := b.do(http.MethodGet, b.system.NodeURL(0)+"/metrics", map[string]string{"Authorization": "Bearer " + dev.OperatorKey}, "")
					qt.Check(t, string(metrics), qt.Not(qt.Contains), "server_deaths", qt.Commentf("a lost link is no server's crash"))
					t.Logf("slowest answer after %s", longest(results))
				})
			})
		}
	}
}

// TestStreamsOutlastTheStopOfANodeThatHelps stops a node in turn, through which another one without paths to servers reaches them.
func TestStreamsOutlastTheStopOfANodeThatHelps(t *testing.T) {
	const callers = 24
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		for i := range b.system.Engines() {
			b.net.Blackhole(nodeIP(0), engineIP(i))
		}
		time.Sleep(3 * time.Second)
		for i, result := range b.streamsThrough(1, callers, func() {
			time.Sleep(midway)
			b.system.DrainNode(1)
		}) {
			qt.Check(t, result.status, qt.Equals, http.StatusOK, qt.Commentf("stream %d: %s", i, tail(result.body)))
			qt.Check(t, result.isComplete(), qt.IsTrue, qt.Commentf("stream %d after %s: %s", i, result.took, tail(result.body)))
		}
	})
}

// TestOnlyNodesOpenTunnels asks a node for connections without the signature of another node, or to an address that is no server's.
func TestOnlyNodesOpenTunnels(t *testing.T) {
	signed := func(key, address string) http.Header { return peer.Keys{[]byte(key)}.SignConnect(address) }
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		server := b.system.Servers()[0].Address
		for _, test := range []struct {
			name, address string
			header        http.Header
			status        int
		}{
			{"unsigned", server, nil, http.StatusUnauthorized},
			{"signed with another key", server, signed("another-secret-of-16", server), http.StatusUnauthorized},
			{"signed for another address", server, signed(dev.PeerSecret, "10.0.0.1:80"), http.StatusUnauthorized},
			{"no server's address", "127.1.0.1:2379", signed(dev.PeerSecret, "127.1.0.1:2379"), http.StatusNotFound},
			{"signed", server, signed(dev.PeerSecret, server), http.StatusOK},
		} {
			conn, err := b.net.Host(callerIP).DialContext(t.Context(), "tcp", nodeIP(0)+":8081")
			qt.Assert(t, err, qt.IsNil)
			req := &http.Request{Method: http.MethodConnect, URL: &url.URL{Opaque: test.address}, Host: test.address, Header: test.header}
			qt.Assert(t, req.Write(conn), qt.IsNil)
			resp, err := http.ReadResponse(bufio.NewReader(conn), req)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, test.status, qt.Commentf("%s", test.name))
			_ = conn.Close()
		}
	})
}
