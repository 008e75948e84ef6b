package dev_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/pkg/client"
)

// TestCallsSurviveSimultaneousCrashes crashes two servers and a node at once. As long as the crashed node is listed as a member, it could
// still report what ran on the servers, so a new call whose only candidate is a crashed server is rejected. The client's retries must
// last longer than that.
func TestCallsSurviveSimultaneousCrashes(t *testing.T) {
	// Varies the time from the node's last heartbeat, which may be a few seconds old, to its crash.
	for after := time.Duration(0); after < 3*time.Second; after += 250 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) { testCallsSurviveSimultaneousCrashes(t, after) })
	}
}

func testCallsSurviveSimultaneousCrashes(t *testing.T, after time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		transport := tcp.NewTransport(b.net.Host(callerIP))
		defer transport.CloseIdleConnections()
		caller, err := client.New(client.Options{
			Nodes: []string{b.system.NodeURL(0), b.system.NodeURL(1)}, Key: "key-lessons", HTTP: &http.Client{Transport: transport},
		})
		qt.Assert(t, err, qt.IsNil)
		defer caller.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
		defer cancel()
		time.Sleep(after)
		b.net.Kill("127.1.2.1")
		b.net.Kill("127.1.2.4")
		b.system.KillNode(2)
		time.Sleep(100 * time.Millisecond)
		var calls sync.WaitGroup
		failed := make([]error, 40)
		took := make([]time.Duration, len(failed))
		began := time.Now()
		for i := range failed {
			calls.Go(func() {
				_, failed[i] = caller.Chat(ctx, client.ChatCall{Request: api.ChatRequest{
					Model: api.ModelAuto, Messages: []api.ChatMessage{{Role: "user", Content: fmt.Sprint("question ", i)}},
				}})
				took[i] = time.Since(began)
			})
		}
		calls.Wait()
		slowest := time.Duration(0)
		for i, err := range failed {
			qt.Check(t, err, qt.IsNil, qt.Commentf("call %d after %s", i, took[i]))
			slowest = max(slowest, took[i])
		}
		t.Logf("slowest answer after %s", slowest)
	})
}
