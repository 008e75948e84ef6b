package dev_test

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// issuedKeys returns idempotency keys that only the node's current incarnation may run.
func (b *bench) issuedKeys(node int) []string {
	_, raw := b.do(http.MethodPost, b.system.NodeURL(node)+"/v1/keys?count=8", nil, "")
	var issued struct{ Keys []string }
	qt.Assert(b.t, json.Unmarshal(raw, &issued), qt.IsNil)
	qt.Assert(b.t, issued.Keys, qt.HasLen, 8)
	return issued.Keys
}

// TestForwardedRequestsSurviveSilentConnections has a node forward requests to the node that issued their keys after the open connections
// between the two have gone silent. In soak seed 111 a caller's attempts waited for one silent connection after the other.
func TestForwardedRequestsSurviveSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		defer b.close()
		ask := func(key string) *http.Response {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.system.NodeURL(1)+"/v1/services/forge-app/push", http.NoBody)
			qt.Assert(t, err, qt.IsNil)
			req.Header.Set("Authorization", "Bearer key-lessons")
			req.Header.Set(api.HeaderIdempotencyKey, key)
			resp, err := b.client.Do(req)
			if err != nil {
				return nil
			}
			_ = resp.Body.Close()
			return resp
		}
		keys := b.issuedKeys(0)
		var before sync.WaitGroup
		for _, key := range keys[:6] {
			before.Go(func() { ask(key) })
		}
		before.Wait()
		b.net.Silence(nodeIP(0), nodeIP(1))
		for _, key := range keys[6:] {
			resp := ask(key)
			qt.Assert(t, resp, qt.IsNotNil, qt.Commentf("no answer within 5 s"))
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
		}
	})
}
