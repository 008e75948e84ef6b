package standalone

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/monsoonrail/monsoonrail/internal/kv"

	qt "github.com/frankban/quicktest"
)

// cannedAnswer answers every request with the same bytes.
type cannedAnswer struct {
	status int
	body   string
}

// RoundTrip implements http.RoundTripper.
func (a cannedAnswer) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: a.status, Body: io.NopCloser(strings.NewReader(a.body))}, nil
}

// FuzzGatewayAnswers feeds arbitrary bytes to every decoder of the gateway's answers.
func FuzzGatewayAnswers(f *testing.F) {
	f.Add(200, `{"header":{"revision":"7"},"kvs":[{"key":"aw==","value":"dg==","mod_revision":"3"}],"count":"1"}`)
	f.Add(200, `{"header":{"revision":8},"succeeded":true,"responses":[{"response_put":{}},{"response_range":{"kvs":[{}]}}]}`)
	f.Add(200, `{"result":{"header":{"revision":"4"},"created":true}}{"result":{"events":[{"kv":{"key":"aw=="}}]}}`)
	f.Add(200, `{"result":{"ID":"1","TTL":"5"}}`)
	f.Add(404, `{"message":"etcdserver: requested lease not found","code":5}`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		c := qt.New(t)
		ctx := context.Background()
		store := NewStore(StoreOptions{
			Endpoints:      []string{"http://10.0.0.1:2379"},
			Client:         &http.Client{Transport: cannedAnswer{status, body}},
			MaxAnswerBytes: 1 << 12,
		})
		_, _ = store.Get(ctx, "k")
		_, _ = store.List(ctx, kv.ListOptions{Prefix: "k"})
		_, _ = store.Grant(ctx, 1)
		lease, err := store.KeepAlive(ctx, 1)
		c.Assert(err != nil || lease.TTL > 0, qt.IsTrue)
		_ = store.Revoke(ctx, 1)
		result, err := store.Commit(ctx, kv.Txn{Then: []kv.Op{{}, {Kind: kv.OpGet, Key: "k"}}, Else: []kv.Op{{Kind: kv.OpGet, Key: "k"}}})
		c.Assert(err != nil || len(result.Pairs) == 1, qt.IsTrue)
		err = store.Watch(ctx, "k", 1, func(batch kv.WatchBatch) error {
			c.Assert(len(batch.Events) > 0, qt.IsTrue)
			return nil
		})
		c.Assert(err, qt.IsNotNil)
	})
}
