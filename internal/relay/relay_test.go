package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/relay"
)

// mirror returns the results set by the test, and records the arguments of the last call.
type mirror struct {
	listed kv.ListResult
	batch  kv.WatchBatch
	err    error
	after  kv.Version
	wait   time.Duration
}

func (m *mirror) Listing() (kv.ListResult, error) { return m.listed, m.err }

func (m *mirror) Changes(_ context.Context, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	m.after, m.wait = after, wait
	return m.batch, m.err
}

func client(t *testing.T, m *mirror) *relay.Client {
	mux := http.NewServeMux()
	relay.Handle(mux, m)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return &relay.Client{Address: server.Listener.Addr().String(), Client: http.DefaultClient}
}

// TestAnswersArriveUnchanged relays binary values, deletions, the answers' ages and the time since the store's last answer.
func TestAnswersArriveUnchanged(t *testing.T) {
	pair := kv.Pair{Key: "servers/a", Value: []byte{0, 255, 10}, Version: 1 << 60, Lease: 9}
	m := &mirror{
		listed: kv.ListResult{Pairs: []kv.Pair{pair}, Revision: 1<<60 + 1, Age: -time.Millisecond, Silence: time.Second},
		batch: kv.WatchBatch{
			Events:   []kv.Event{{Pair: pair}, {Deleted: true, Pair: kv.Pair{Key: "servers/b", Version: 1<<60 + 2}}},
			Revision: 1<<60 + 2, Age: 3 * time.Second, Silence: time.Millisecond,
		},
	}
	c := client(t, m)
	listed, err := c.List(context.Background(), "")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, listed, qt.DeepEquals, m.listed)
	batch, err := c.Poll(context.Background(), "", 77, 1200*time.Millisecond)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, batch, qt.DeepEquals, m.batch)
	qt.Assert(t, m.after, qt.Equals, kv.Version(77))
	qt.Assert(t, m.wait, qt.Equals, 1200*time.Millisecond)
}

// TestErrorsKeepTheirKind relays the errors for a compacted history and an unavailable copy, and checks that an unreachable node counts as
// unavailable.
func TestErrorsKeepTheirKind(t *testing.T) {
	m := &mirror{err: kv.Error.Wrap(&kv.ErrCompacted{Oldest: 5})}
	c := client(t, m)
	_, err := c.Poll(context.Background(), "", 1, 0)
	qt.Assert(t, kv.IsErrCompacted(err), qt.IsTrue)
	m.err = kv.Error.Wrap(&kv.ErrUnavailable{})
	_, err = c.Poll(context.Background(), "", 1, 0)
	qt.Assert(t, kv.IsErrUnavailable(err), qt.IsTrue)
	_, err = c.List(context.Background(), "")
	qt.Assert(t, kv.IsErrUnavailable(err), qt.IsTrue)
	unreachable := &relay.Client{Address: "127.0.0.1:1", Client: http.DefaultClient}
	_, err = unreachable.List(context.Background(), "")
	qt.Assert(t, kv.IsErrUnavailable(err), qt.IsTrue)
}

// TestEmptyAnswerIsAnError checks that status 200 without a body, as from a handler that returns early, counts as unavailable.
func TestEmptyAnswerIsAnError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	c := &relay.Client{Address: server.Listener.Addr().String(), Client: http.DefaultClient}
	_, err := c.Poll(context.Background(), "", 1, 0)
	qt.Assert(t, kv.IsErrUnavailable(err), qt.IsTrue)
	_, err = c.List(context.Background(), "")
	qt.Assert(t, kv.IsErrUnavailable(err), qt.IsTrue)
}
