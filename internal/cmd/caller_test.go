package cmd

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// newFakeNode starts a server with the part of the caller API that the subcommands ask and addresses use.
func newFakeNode(t *testing.T) *httptest.Server {
	mux := http.NewServeMux()
	node := httptest.NewServer(mux)
	t.Cleanup(node.Close)
	mux.HandleFunc("GET /v1/addresses", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(api.Addresses{Addresses: []api.Address{
			{Node: "n1", URL: node.URL, FailureDomain: api.FailureDomain(r.URL.Query().Get("failure_domain")), Weight: 0.5},
		}})
	})
	mux.HandleFunc("POST /v1/keys", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"Keys": ["k"]}`)) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		var request api.ChatRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		w.Header().Set(api.HeaderSession, r.Header.Get(api.HeaderSession)+"+")
		answer := api.ChatMessage{Content: "answer to " + request.Messages[0].Content}
		_ = json.NewEncoder(w).Encode(api.ChatCompletion{Choices: []api.ChatChoice{{Message: answer}}})
	})
	return node
}

func TestCallerCommands(t *testing.T) {
	node := newFakeNode(t)
	for _, test := range []struct {
		name string
		args []string
		code int
		out  string
		err  string
	}{
		{"addresses", []string{"addresses", "--node", node.URL, "--key", "k", "--failure-domain", "wm-cov"}, ExitOK, "n1    wm-cov          0.5", ""},
		{"addresses as JSON", []string{"addresses", "--node", node.URL, "--key", "k", "--format", "json"}, ExitOK, `"Node":"n1"`, ""},
		{"no key", []string{"addresses", "--node", node.URL}, ExitUsage, "", "key"},
		{"bad node", []string{"addresses", "--node", "10.0.0.1", "--key", "k"}, ExitUsage, "", "10.0.0.1"},
		{"ask", []string{"ask", "--whole", "--node", node.URL, "--key", "k", "--session", "s", "what", "now"}, ExitOK, "answer to what now\n", "session s+"},
		{"no question", []string{"ask", "--node", node.URL, "--key", "k"}, ExitUsage, "", "question"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			qt.Assert(t, Main(test.args, &out, &errOut), qt.Equals, test.code, qt.Commentf("%s", errOut.String()))
			qt.Assert(t, strings.Contains(out.String(), test.out), qt.IsTrue, qt.Commentf("%s", out.String()))
			qt.Assert(t, strings.Contains(errOut.String(), test.err), qt.IsTrue, qt.Commentf("%s", errOut.String()))
		})
	}
}

func TestPlayRejectsTraceOfAnotherFleet(t *testing.T) {
	var out, errOut bytes.Buffer
	args := []string{"dev", "--config", "../../examples/commons", "--play", "../../testdata/play/carrasco.jsonl.gz"}
	qt.Assert(t, Main(args, &out, &errOut), qt.Equals, ExitUsage)
	qt.Assert(t, errOut.String(), qt.Contains, "fleet sur")
}
