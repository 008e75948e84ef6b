package cmd

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/acceptance"
	"github.com/monsoonrail/monsoonrail/internal/configlog"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// runConfig runs a config subcommand and returns its exit code and its combined output.
func runConfig(args ...string) (int, string) {
	var out bytes.Buffer
	code := Main(append([]string{"config"}, args...), &out, &out)
	return code, out.String()
}

func TestConfigCheck(t *testing.T) {
	for _, name := range []string{"sample.yaml", "commons", "carrasco"} {
		code, out := runConfig("check", filepath.Join("../../examples", name))
		qt.Assert(t, code, qt.Equals, ExitOK, qt.Commentf("%s", out))
	}
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	qt.Assert(t, os.WriteFile(bad, []byte("Fleet: x\nTems: []\n"), 0o600), qt.IsNil)
	code, out := runConfig("check", bad)
	qt.Assert(t, code, qt.Equals, ExitUsage)
	qt.Assert(t, strings.Contains(out, `bad.yaml:2: unknown field "Tems"; allowed: Fleet, FailureDomains`), qt.IsTrue, qt.Commentf("%s", out))
}

// TestConfigCheckNamesWhatIsSaidInVain checks a valid configuration with entries that can never match.
func TestConfigCheckNamesWhatIsSaidInVain(t *testing.T) {
	code, out := runConfig("check", "../fleet/testdata/findings/vain.yaml")
	qt.Check(t, code, qt.Equals, ExitFailure)
	qt.Check(t, strings.Contains(out, "vain.yaml:41: Teams[reports]: none of the team's requests is accepted"), qt.IsTrue, qt.Commentf("%s", out))
}

func TestConfigPlanAndApply(t *testing.T) {
	service := kvfake.New()
	server := httptest.NewServer(service)
	defer server.Close()
	kv := "--kv=" + server.URL
	dir := t.TempDir()
	qt.Assert(t, os.CopyFS(dir, os.DirFS("../../examples/commons")), qt.IsNil)

	code, out := runConfig("plan", kv, dir)
	qt.Assert(t, code, qt.Equals, ExitOK)
	qt.Assert(t, strings.Contains(out, "config apply --base 0"), qt.IsTrue)
	code, out = runConfig("apply", kv, "--without-nodes", "--base=0", "--reason=first", "--author=a.operator", dir)
	qt.Assert(t, code, qt.Equals, ExitOK, qt.Commentf("%s", out))
	_, out = runConfig("plan", kv, dir)
	qt.Assert(t, out, qt.Equals, "Nothing changes: revision 1 is what the files say.\n")

	path := filepath.Join(dir, "services.yaml")
	data, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	data = bytes.Replace(data, []byte(`{Name: "3.2", State: Serving`), []byte(`{Name: "3.2", State: Withdrawn`), 1)
	qt.Assert(t, os.WriteFile(path, data, 0o600), qt.IsNil)
	_, out = runConfig("plan", kv, dir)
	qt.Assert(t, strings.Contains(out, "Models[swift].Versions[3.2].State: Serving -> Withdrawn"), qt.IsTrue)
	qt.Assert(t, strings.Contains(out, "team lessons, service tutor-llm, class review\n    Version swift@3.2: Serving -> Withdrawn"), qt.IsTrue)

	code, out = runConfig("apply", kv, "--without-nodes", "--base=0", "--reason=second", "--author=b.operator", dir)
	qt.Assert(t, code, qt.Equals, ExitFailure)
	qt.Assert(t, strings.Contains(out, "revision 1 by a.operator: first"), qt.IsTrue, qt.Commentf("%s", out))

	service.FailNext(kvfake.CallWrite, kvfake.FaultLoseResponse, 1)
	code, out = runConfig("apply", kv, "--without-nodes", "--base=1", "--reason=second", "--author=b.operator", dir)
	qt.Assert(t, code, qt.Equals, ExitOK, qt.Commentf("%s", out))
	_, out = runConfig("history", kv)
	qt.Assert(t, strings.Count(out, "\n"), qt.Equals, 3)
	qt.Assert(t, strings.Contains(out, "b.operator  second  Service/tutor-llm"), qt.IsTrue, qt.Commentf("%s", out))

	_, out = runConfig("explain", kv, "--team=marking-batch", "--service=tutor-llm")
	qt.Assert(t, strings.Contains(out, "exception marking-needs-quality by j.whitcombe: a mark depends on the review"), qt.IsTrue)
	qt.Assert(t, strings.Contains(out, "swift@3.2"), qt.IsTrue)
	code, _ = runConfig("explain", "--team=nobody", "--service=tutor-llm", dir)
	qt.Assert(t, code, qt.Equals, ExitUsage)
}

// TestConfigApplyChecksRevisionOfNodes checks that a change is rejected while the key-value service lacks revision 2, which is in
// force on a node, and accepted once the service has it.
func TestConfigApplyChecksRevisionOfNodes(t *testing.T) {
	service := kvfake.New()
	server := httptest.NewServer(service)
	defer server.Close()
	kv, dir := "--kv="+server.URL, "../../examples/commons"
	apply := func(base string, more ...string) (int, string) {
		return runConfig(append([]string{"apply", kv, "--reason=r", "--author=a", "--base=" + base}, append(more, dir)...)...)
	}
	t.Setenv("MONSOONRAIL_NODE_URLS", "")
	t.Setenv("MONSOONRAIL_OPERATOR_KEY", "")
	node := "--node=" + operatorServer(t).URL
	code, out := apply("0")
	qt.Assert(t, code, qt.Equals, ExitUsage)
	qt.Assert(t, strings.Contains(out, "--node (or MONSOONRAIL_NODE_URLS) is not set"), qt.IsTrue, qt.Commentf("%s", out))
	code, _ = apply("0", node)
	qt.Assert(t, code, qt.Equals, ExitUsage)
	code, out = apply("0", node, "--key=secret")
	qt.Assert(t, code, qt.Equals, ExitFailure)
	qt.Assert(t, strings.Contains(out, "has revision 2 in force"), qt.IsTrue, qt.Commentf("%s", out))
	_, out = runConfig("history", kv)
	qt.Assert(t, strings.Contains(out, "  r  "), qt.IsFalse, qt.Commentf("%s", out))

	acceptChangesUpTo(t, service, "../../examples/carrasco", 2)
	code, out = apply("2", node, "--key=secret")
	qt.Assert(t, code, qt.Equals, ExitOK, qt.Commentf("%s", out))
}

// acceptChangesUpTo submits changes to the key-value service until it reaches the given revision.
func acceptChangesUpTo(t *testing.T, service *kvfake.Service, dir string, revision api.Revision) {
	config, err := fleet.Load(dir)
	qt.Assert(t, err, qt.IsNil)
	acceptor := acceptance.New(configlog.New(service.Store(), configlog.DefaultPrefix), nil, &log.Logger{Handler: discard.New()})
	for base := range revision {
		state, err := acceptor.State(t.Context())
		qt.Assert(t, err, qt.IsNil)
		change := fleet.Change{ID: fleet.NewChangeID(), Base: base, Author: "a", Reason: "fill", Ops: state.Ops(config)}
		_, err = acceptor.Accept(t.Context(), change)
		qt.Assert(t, err, qt.IsNil)
		config.Defaults.QualityTarget += 0.01
	}
}

func TestConfigNeedsStore(t *testing.T) {
	t.Setenv("MONSOONRAIL_KV", "")
	code, out := runConfig("history")
	qt.Assert(t, code, qt.Equals, ExitUsage)
	qt.Assert(t, strings.Contains(out, "--kv (or MONSOONRAIL_KV) is not set; allowed:"), qt.IsTrue)
	server := httptest.NewServer(kvfake.New())
	server.Close()
	code, _ = runConfig("history", "--kv="+server.URL, "--timeout=1s")
	qt.Assert(t, code, qt.Equals, ExitFailure)
}
