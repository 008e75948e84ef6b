package plainfake

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func call(t *testing.T, server *httptest.Server, id, body string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/print/orders", strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	request.Header.Set("X-Request-Id", id)
	return server.Client().Do(request)
}

func TestCallsAreRecorded(t *testing.T) {
	service := New(Options{ID: "s1"})
	defer service.Close()
	server := httptest.NewServer(service)
	defer server.Close()

	response, err := call(t, server, "r1", "10 sheets")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	var answer Answer
	qt.Assert(t, json.NewDecoder(response.Body).Decode(&answer), qt.IsNil)
	qt.Assert(t, answer, qt.Equals, Answer{Server: "s1", RequestID: "r1", Method: "POST", Path: "/print/orders", Number: 1, Echo: "10 sheets"})
	runs := service.Runs()
	qt.Assert(t, runs, qt.HasLen, 1)
	qt.Assert(t, runs[0].Body, qt.Equals, "10 sheets")
	qt.Assert(t, runs[0].Whole, qt.IsTrue)
}

func TestFaults(t *testing.T) {
	service := New(Options{ID: "s1"})
	defer service.Close()
	server := httptest.NewServer(service)
	defer server.Close()

	service.LoseAnswers(1)
	_, err := call(t, server, "r1", "x")
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, service.Runs(), qt.HasLen, 1)
	service.LoseAnswers(0)

	service.SetLeaving(true)
	response, err := call(t, server, "r2", "x")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Body.Close(), qt.IsNil)
	qt.Assert(t, response.Header.Get("X-Refused"), qt.Equals, "Leaving")
	service.SetLeaving(false)

	service.Kill()
	_, err = call(t, server, "r3", "x")
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, service.Runs(), qt.HasLen, 1)
	service.Restart()
	service.FailCalls(1)
	response, err = call(t, server, "r4", "x")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.Body.Close(), qt.IsNil)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusInternalServerError)
	qt.Assert(t, service.Runs(), qt.HasLen, 2)
}
