package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
)

// lostPath is a way in which a node loses its links to servers.
type lostPath struct {
	name string
	cut  func(network *memnet.Network, node, server string)
}

var lostPaths = []lostPath{
	{"silent", (*memnet.Network).Blackhole},
	{"silent for new connections", (*memnet.Network).BlackholeDials},
	{"refused, open connections live on", (*memnet.Network).Refuse},
	{"refused and reset", func(network *memnet.Network, node, server string) {
		network.Refuse(node, server)
		network.Reset(node, server)
	}},
	{"unreachable and reset", (*memnet.Network).Cut},
	{"one way, answers are lost", func(network *memnet.Network, node, server string) {
		network.BlackholeDials(node, server)
		network.SilenceOneWay(server, node)
	}},
}

// serverIPs returns the addresses of all servers.
func (f *testFleet) serverIPs() []string {
	ips := []string{"10.2.0.1"}
	for i := range f.models {
		ips = append(ips, fmt.Sprintf("10.1.0.%d", i+1))
	}
	return ips
}

// cutNode makes a node lose its links to all servers.
func (f *testFleet) cutNode(node int, path lostPath) {
	for _, ip := range f.serverIPs() {
		path.cut(f.network, f.nodes[node].ip, ip)
	}
}

// healNode restores a node's links to all servers.
func (f *testFleet) healNode(node int) {
	for _, ip := range f.serverIPs() {
		f.network.Heal(f.nodes[node].ip, ip)
	}
}

// sendMixed sends streams, calls and reads in turn, one each interval, and returns the answers in the order in which they were sent.
func (f *testFleet) sendMixed(count int, interval time.Duration, nodes ...int) []answer {
	answers := make([]answer, count)
	var running sync.WaitGroup
	for i := range count {
		running.Go(func() {
			path := []string{"/s/", "/c/", "/r/"}[i%3]
			answers[i] = f.send(context.Background(), nodes[i%len(nodes)], path+fmt.Sprint(i), "key-1")
		})
		time.Sleep(interval)
	}
	running.Wait()
	return answers
}

// checkServed checks that all answers are whole, and that no request that must run once has run twice.
func (f *testFleet) checkServed(answers []answer) {
	f.c.Helper()
	for i, got := range answers {
		f.c.Check(got.err, qt.IsNil, qt.Commentf("request %d", i))
		f.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("request %d", i))
	}
	f.checkCallsRanOnce()
}

// checkCallsRanOnce checks that no call has run twice.
func (f *testFleet) checkCallsRanOnce() {
	f.c.Helper()
	runs := make(map[string]int)
	for _, run := range f.calls.Runs() {
		if strings.HasPrefix(run.Path, "/c/") {
			runs[run.ID]++
		}
	}
	for id, count := range runs {
		f.c.Check(count, qt.Equals, 1, qt.Commentf(id))
	}
}

// TestNodesWithoutLinksToServersServe guards against nodes that turn their callers away because their own links to all servers are lost, while other
// nodes reach the servers: from contactTime after the loss on, all first tries must be answered, also where a whole failure domain is affected.
func TestNodesWithoutLinksToServersServe(t *testing.T) {
	for _, path := range lostPaths {
		for _, cut := range [][]int{{0}, {0, 1}, {0, 2, 3}} {
			t.Run(fmt.Sprintf("%s, nodes %v", path.name, cut), func(t *testing.T) {
				withTestFleet(t, func(f *testFleet) {
					f.startIn("10.0.0.3", "z2")
					f.startIn("10.0.0.4", "z2")
					f.startIn("10.0.0.5", "z3")
					time.Sleep(startTime)
					f.checkServed(f.sendMixed(30, 50*time.Millisecond, 0, 1, 2, 3, 4))
					for _, node := range cut {
						f.cutNode(node, path)
					}
					f.sendMixed(int(contactTime/(100*time.Millisecond)), 100*time.Millisecond, cut...)
					f.checkServed(f.sendMixed(60, 50*time.Millisecond, cut...))
					f.checkServed(f.sendMixed(30, 50*time.Millisecond, 4))
					for _, node := range cut {
						f.healNode(node)
					}
					f.checkServed(f.sendMixed(30, 50*time.Millisecond, cut...))
				})
			})
		}
	}
}

// TestLostLinksToSomeServersFailNoRequest lets a node lose its links to one of two model servers only.
func TestLostLinksToSomeServersFailNoRequest(t *testing.T) {
	for _, path := range lostPaths {
		t.Run(path.name, func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				f.checkServed(f.sendMixed(30, 50*time.Millisecond, 0))
				path.cut(f.network, f.nodes[0].ip, "10.1.0.1")
				f.sendMixed(int(contactTime/(100*time.Millisecond)), 100*time.Millisecond, 0)
				f.checkServed(f.sendMixed(60, 50*time.Millisecond, 0))
			})
		})
	}
}

// TestLostLinksMakeNoRequestSuspect guards against sound requests that are taken for the cause of crashes because a node's links to all servers broke
// while it ran them: the same requests must be answered later, at this node and at another one.
func TestLostLinksMakeNoRequestSuspect(t *testing.T) {
	for _, path := range lostPaths {
		t.Run(path.name, func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				f.parts = "aa:10,own:20"
				for range 3 {
					done := make(chan struct{})
					go func() {
						defer close(done)
						f.send(context.Background(), 0, "/once/1", "key-1")
					}()
					time.Sleep(300 * time.Millisecond)
					f.cutNode(0, path)
					<-done
					f.healNode(0)
				}
				for node := range f.nodes {
					got := f.send(context.Background(), node, "/once/1", "key-1")
					f.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("node %d", node))
					f.c.Check(got.body, qt.Equals, platformfake.Stream("/once/1", 10))
				}
			})
		})
	}
}

// TestAttemptsThatAreNotSentTakeNoRetryBudget guards against a retry budget that is used up by connections that don't open: nothing reached a server.
func TestAttemptsThatAreNotSentTakeNoRetryBudget(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		for node := range f.nodes {
			f.network.Refuse(f.nodes[node].ip, "10.2.0.1")
		}
		for range 40 {
			got := f.send(context.Background(), 0, "/c/1", "key-1")
			f.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
		}
		f.c.Assert(f.calls.Runs(), qt.HasLen, 0)
		rejected := f.scrapeMetrics(0)
		f.c.Assert(strings.Contains(rejected, `reason="retry budget used up"`), qt.IsFalse, qt.Commentf(rejected))
	})
}

// TestStreamsGoOnSoonAfterAPathFallsSilent guards against streams that wait for a silent path until their longest pause is over: they are resumed at
// another server, while other requests show that the path is lost. A call that must run once is not sent again.
func TestStreamsGoOnSoonAfterAPathFallsSilent(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		longPauses := strings.ReplaceAll(string(configurationVersion(2, "key-1")), `"itlTargetMs":500`, `"itlTargetMs":1500`)
		f.store.Put("op/config", []byte(longPauses))
		time.Sleep(time.Second)
		f.checkServed(f.sendMixed(30, 50*time.Millisecond, 0))
		var running sync.WaitGroup
		longest := make([]time.Duration, 6)
		for i := range longest {
			running.Go(func() {
				begin := time.Now()
				got := f.send(context.Background(), 0, fmt.Sprint("/s/long", i), "key-1")
				longest[i] = time.Since(begin)
				f.c.Check(got.body, qt.Equals, platformfake.Stream(fmt.Sprint("/s/long", i), 10))
			})
		}
		time.Sleep(250 * time.Millisecond)
		f.cutNode(0, lostPaths[0])
		f.sendMixed(30, 50*time.Millisecond, 0)
		running.Wait()
		for i, took := range longest {
			// Without the loss a stream takes a little less than a second.
			f.c.Check(took < 2200*time.Millisecond, qt.IsTrue, qt.Commentf("stream %d took %s", i, took))
		}
		f.checkCallsRanOnce()
	})
}

// TestPauseHoldsForTheNodeThatRelayedTheAnswer lets a server ask for a pause in an answer that reaches a node through another one: the server means the other
// node, from which the request came, so that its own requests wait, too.
func TestPauseHoldsForTheNodeThatRelayedTheAnswer(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		f.cutNode(0, lostPaths[2])
		f.sendMixed(9, 50*time.Millisecond, 0)
		f.calls.SetReports(http.Header{"Retry-After": {"5"}})
		f.calls.SetResponse(http.StatusServiceUnavailable, true)
		f.send(context.Background(), 0, "/c/1", "key-1")
		pausedAt := time.Now()
		f.calls.SetReports(nil)
		f.calls.SetResponse(http.StatusOK, false)
		for pausedAt.Add(4 * time.Second).After(time.Now()) {
			f.send(context.Background(), 1, "/c/1", "key-1")
			time.Sleep(100 * time.Millisecond)
		}
		late := 0
		for _, arrival := range f.calls.ListArrivals() {
			if arrival.At.Sub(pausedAt) > 500*time.Millisecond {
				late++
			}
		}
		f.c.Check(late, qt.Equals, 0)
		time.Sleep(2 * time.Second)
		f.c.Check(f.send(context.Background(), 1, "/c/1", "key-1").status, qt.Equals, http.StatusOK)
	})
}

// TestServersThatAreSilentForASecond lets all sound servers fall silent for a little over a second and go on: no request runs twice, fails or is held back, and no
// path counts as lost.
func TestServersThatAreSilentForASecond(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		longPauses := strings.ReplaceAll(string(configurationVersion(2, "key-1")), `"itlTargetMs":500`, `"itlTargetMs":1500`)
		f.store.Put("op/config", []byte(longPauses))
		time.Sleep(time.Second)
		var answers []answer
		done := make(chan struct{})
		go func() {
			defer close(done)
			answers = f.sendMixed(60, 50*time.Millisecond, 0, 1)
		}()
		time.Sleep(time.Second)
		for _, ip := range f.serverIPs() {
			f.network.Pause(ip)
		}
		time.Sleep(1200 * time.Millisecond)
		for _, ip := range f.serverIPs() {
			f.network.Resume(ip)
		}
		<-done
		f.checkServed(answers)
		runs := make(map[string]int)
		for _, server := range f.models {
			for _, run := range server.Runs() {
				runs[run.ID]++
			}
		}
		for id, count := range runs {
			f.c.Check(count, qt.Equals, 1, qt.Commentf(id))
		}
		for node := range f.nodes {
			f.c.Check(f.scrapeMetrics(node), qt.Not(qt.Contains), `monsoonrail_edge_server_tunnels{outcome="opened"}`)
		}
	})
}

// TestSilentPathToOneServiceIsFoundByItsCalls guards against calls that are lost, one after the other, on kept connections over a silent path, while streams of
// another service go on: a second after the loss, calls must reach their server.
func TestSilentPathToOneServiceIsFoundByItsCalls(t *testing.T) {
	const maxDetection = time.Second
	withTestFleet(t, func(f *testFleet) {
		var running sync.WaitGroup
		send := func(count int, path string, each func(i int, sentAt time.Time, got answer)) {
			for i := range count {
				running.Go(func() {
					sentAt := time.Now()
					each(i, sentAt, f.send(context.Background(), 0, fmt.Sprint(path, i), "key-1"))
				})
				time.Sleep(50 * time.Millisecond)
			}
		}
		// Calls at the same time leave several kept connections behind.
		for range 30 {
			running.Go(func() { f.send(context.Background(), 0, "/c/warm", "key-1") })
		}
		running.Wait()
		go send(60, "/s/", func(i int, _ time.Time, got answer) {
			f.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("stream %d", i))
		})
		time.Sleep(500 * time.Millisecond)
		f.network.Blackhole(f.nodes[0].ip, "10.2.0.1")
		cutAt := time.Now()
		send(40, "/c/", func(i int, sentAt time.Time, got answer) {
			if sentAt.Sub(cutAt) > maxDetection {
				f.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("call %d, %s after the loss", i, sentAt.Sub(cutAt)))
			}
		})
		time.Sleep(2 * time.Second)
		running.Wait()
		f.checkCallsRanOnce()
	})
}

// TestStoppingNodeKeepsNoTunnelsOpen stops a node through which others have kept connections to servers: their requests go on through other nodes, none fails, and
// the node needn't wait for the connections to expire.
func TestStoppingNodeKeepsNoTunnelsOpen(t *testing.T) {
	withTestFleet(t, func(f *testFleet) {
		f.startIn("10.0.0.3", "z2")
		time.Sleep(startTime)
		f.cutNode(0, lostPaths[2])
		f.checkServed(f.sendMixed(60, 20*time.Millisecond, 0))
		var answers []answer
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			answers = f.sendMixed(100, 50*time.Millisecond, 0)
		}()
		time.Sleep(100 * time.Millisecond)
		begin := time.Now()
		f.nodes[1].stop()
		<-f.nodes[1].done
		f.c.Check(time.Since(begin) < 6*time.Second, qt.IsTrue, qt.Commentf("the stop took %s", time.Since(begin)))
		<-sent
		f.checkServed(answers)
	})
}
