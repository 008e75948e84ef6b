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

// TestCallsOutlastDeathsTogether lets two servers and a node die at once. Until the dead node no longer counts as one that could tell
// what ran there, a new call whose one place is among the dead is refused; the client's tries must reach beyond that.
func TestCallsOutlastDeathsTogether(t *testing.T) {
	// The dead node's last heartbeat was up to a few seconds before its death.
	for after := time.Duration(0); after < 3*time.Second; after += 250 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) { callsOutlastDeathsTogether(t, after) })
	}
}

func callsOutlastDeathsTogether(t *testing.T, after time.Duration) {
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
