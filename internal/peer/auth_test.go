package peer

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/peer/peerpb"
	"github.com/monsoonrail/monsoonrail/internal/peer/peerpb/peerpbconnect"
)

var (
	oldKeys = Keys{[]byte("old")}
	newKeys = Keys{[]byte("new")}
	both    = Keys{[]byte("new"), []byte("old")}
	noon    = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
)

func TestVerify(t *testing.T) {
	body := []byte("body")
	header := oldKeys.sign("/path", body, noon)
	for _, test := range []struct {
		name   string
		keys   Keys
		header string
		path   string
		body   string
		now    time.Time
		ok     bool
	}{
		{"same key", oldKeys, header, "/path", "body", noon, true},
		{"key being replaced", both, header, "/path", "body", noon, true},
		{"clock a little off", oldKeys, header, "/path", "body", noon.Add(-time.Minute), true},
		{"other key", newKeys, header, "/path", "body", noon, false},
		{"other body", oldKeys, header, "/path", "bodY", noon, false},
		{"other path", oldKeys, header, "/other", "body", noon, false},
		{"old message", oldKeys, header, "/path", "body", noon.Add(3 * time.Minute), false},
		{"no header", oldKeys, "", "/path", "body", noon, false},
		{"no MAC", oldKeys, strings.Split(header, ".")[0] + ".", "/path", "body", noon, false},
		{"not base64", oldKeys, strings.Split(header, ".")[0] + ".!", "/path", "body", noon, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := test.keys.verify(test.header, test.path, []byte(test.body), test.now)
			qt.Assert(t, err == nil, qt.Equals, test.ok)
			qt.Assert(t, err != nil, qt.Equals, IsErrUnauthenticated(err))
		})
	}
}

// TestForgedAnswer checks that a client rejects a response without a signature and one that replays the response to
// another request.
func TestForgedAnswer(t *testing.T) {
	stale := oldKeys.sign(responsePurpose("another request"), []byte("answer"), time.Now())
	for _, header := range []string{"", stale} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerAuth, header)
			_, _ = io.WriteString(w, "answer")
		}))
		client := &http.Client{Transport: &signer{keys: oldKeys, next: http.DefaultTransport}}
		_, err := client.Post(server.URL, "", strings.NewReader("request"))
		qt.Assert(t, IsErrUnauthenticated(err), qt.IsTrue)
		server.Close()
	}
}

func TestOversizedMessage(t *testing.T) {
	reached := false
	handler := authenticate(oldKeys, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached = true }))
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(make([]byte, maxMessageBytes+1))))
	qt.Assert(t, recorder.Code, qt.Equals, http.StatusRequestEntityTooLarge)
	recorder = httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/", strings.NewReader("unsigned")))
	qt.Assert(t, recorder.Code, qt.Equals, http.StatusUnauthorized)
	qt.Assert(t, reached, qt.IsFalse)
}

// TestHeadersAreFew checks the exact set of request headers of a call between nodes, since each header is a good part
// of a short message.
func TestHeadersAreFew(t *testing.T) {
	keys := Keys{[]byte("shared")}
	var headers []string
	server := httptest.NewServer(keys.RequireSigned(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		headers = slices.Sorted(maps.Keys(r.Header))
		w.Header().Set("Content-Type", "application/proto")
	})))
	defer server.Close()
	client := &http.Client{Transport: keys.SignTransport(&http.Transport{DisableCompression: true})}
	calls := peerpbconnect.NewPeerServiceClient(client, server.URL, connect.WithAcceptCompression("gzip", nil, nil))
	_, err := calls.Exchange(t.Context(), connect.NewRequest(&peerpb.ExchangeRequest{Bundle: &peerpb.Bundle{Number: 1}}))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, headers, qt.DeepEquals, []string{"Content-Length", "Content-Type", "Monsoonrail-Peer"})
}
