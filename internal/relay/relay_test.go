package relay_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
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
	// difference is nil if there is none.
	difference *kv.WatchBatch
	after      kv.Version
	wait       time.Duration
}

func (m *mirror) Listing() (kv.ListResult, error) { return m.listed, m.err }

func (m *mirror) Changes(_ context.Context, after kv.Version, wait time.Duration) (kv.WatchBatch, error) {
	m.after, m.wait = after, wait
	return m.batch, m.err
}

func (m *mirror) Difference(after kv.Version) (kv.WatchBatch, error) {
	if m.difference == nil {
		return kv.WatchBatch{}, m.err
	}
	m.after = after
	return *m.difference, nil
}

func client(t *testing.T, m *mirror) *relay.Client {
	mux := http.NewServeMux()
	relay.Handle(mux, m, nil)
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

// countingTransport counts the bytes of the answers.
type countingTransport struct{ bytes atomic.Int64 }

func (c *countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(resp.Body)
	c.bytes.Add(int64(len(body)))
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, err
}

// TestLargeValueIsDeflated relays a configuration with many routes: 31 followers must get it within a second over one link of 10 Mbit/s. A
// node that doesn't ask for deflated values gets it as it is.
func TestLargeValueIsDeflated(t *testing.T) {
	const maxBytes = 10_000_000 / 8 / 31
	var value []byte
	for i := range 1400 {
		value = fmt.Appendf(value, `{"name":"route-%d","host":"h%d.example","prefix":"/p%x/","routeType":"safe","service":"calls","timeoutMs":2000,
			"targetLatencyMs":300,"priority":2,"maxAttempts":2,"public":false,"resumable":false},`, i, i%97, i*7919)
	}
	pair := kv.Pair{Key: "op/config", Value: value, Version: 9}
	m := &mirror{
		listed: kv.ListResult{Pairs: []kv.Pair{pair}, Revision: 9},
		batch:  kv.WatchBatch{Events: []kv.Event{{Pair: pair}}, Revision: 9},
	}
	c := client(t, m)
	counting := &countingTransport{}
	c.Client = &http.Client{Transport: counting}
	batch, err := c.Poll(context.Background(), "", 1, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, batch, qt.DeepEquals, m.batch)
	qt.Assert(t, counting.bytes.Load() < maxBytes, qt.IsTrue, qt.Commentf("%d bytes", counting.bytes.Load()))
	listed, err := c.List(context.Background(), "")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, listed, qt.DeepEquals, m.listed)
	// The next version must not be answered with the deflated value of the one before.
	m.batch.Events[0].Pair.Version, m.batch.Events[0].Pair.Value = 10, append([]byte("newer"), value...)
	batch, err = c.Poll(context.Background(), "", 9, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, batch, qt.DeepEquals, m.batch)

	resp, err := http.Post("http://"+c.Address+"/v1/store/poll", "application/json", strings.NewReader(`{"After":9,"Wait":0}`))
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	var plain struct{ Events []kv.Event }
	qt.Assert(t, json.NewDecoder(resp.Body).Decode(&plain), qt.IsNil)
	qt.Assert(t, plain.Events, qt.DeepEquals, m.batch.Events)
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

// bodyTransport answers each request with a body.
type bodyTransport []byte

func (b bodyTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(b)), ContentLength: int64(len(b)), Request: req}, nil
}

// FuzzMessages has a node read any bytes as another node's request and as its answer: it must go on, and take no events from bytes that are no answer.
func FuzzMessages(f *testing.F) {
	f.Add([]byte(`{"After":1,"Wait":-5,"AcceptDeflate":true}`))
	f.Add([]byte(`{"Events":[{"Pair":{"Key":"a","Value":"AA==","Version":-1}},{"Deleted":true}],"Revision":9e18,"Age":-1}`))
	f.Add([]byte(`{"Events":[{"Pair":{"Key":"a"},"Deflated":"S0lNTAIA"}],"Revision":1,"SinceOutage":-1}`))
	f.Add([]byte(`{"Events":null,"Packed":"S0lNTAIA","Revision":1,"KeyHashes":"AAAAAAAAAAE="}`))
	f.Add([]byte(`{"After":1,"AcceptPacked":true,"AcceptDifference":true}`))
	f.Add([]byte(`{"Events":null}{`))
	f.Fuzz(func(t *testing.T, message []byte) {
		mux := http.NewServeMux()
		relay.Handle(mux, &mirror{batch: kv.WatchBatch{Revision: 1}}, nil)
		for _, path := range []string{"/v1/store/list", "/v1/store/poll"} {
			mux.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, path, bytes.NewReader(message)))
		}
		c := &relay.Client{Address: "10.0.0.1:7340", Client: &http.Client{Transport: bodyTransport(message)}}
		batch, err := c.Poll(context.Background(), "", 1, 0)
		if err != nil {
			qt.Assert(t, batch.Events, qt.HasLen, 0)
		} else {
			qt.Assert(t, json.Valid(message), qt.IsTrue)
		}
		_, _ = c.List(context.Background(), "")
	})
}
