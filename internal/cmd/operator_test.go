package cmd

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/operator"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
)

// fixedConfig implements the operator handler's sources with a fixed configuration and without history, findings or stops.
type fixedConfig struct{ state *fleet.State }

func (c fixedConfig) State() *fleet.State                               { return c.state }
func (fixedConfig) History(context.Context, int) ([]fleet.Delta, error) { return nil, nil }
func (fixedConfig) Overview() []suspect.Finding                         { return nil }
func (fixedConfig) Stops() []suspect.Stop                               { return nil }
func (fixedConfig) Stop(suspect.OperatorStop)                           {}

func operatorServer(t *testing.T) *httptest.Server {
	config, err := fleet.Load(filepath.Join("..", "..", "examples", "commons"))
	qt.Assert(t, err, qt.IsNil)
	state, err := fleet.NewState().Apply(fleet.Delta{Revision: 1, Change: fleet.Change{ID: "first", Ops: fleet.NewState().Ops(config)}})
	qt.Assert(t, err, qt.IsNil)
	state, err = state.Apply(fleet.Delta{Revision: 2, Parent: "first", Change: fleet.Change{ID: "second"}})
	qt.Assert(t, err, qt.IsNil)
	sum := sha256.Sum256([]byte("secret"))
	keys, err := operator.ParseKeys([]string{"ana:operate:" + hex.EncodeToString(sum[:])})
	qt.Assert(t, err, qt.IsNil)
	fixed := fixedConfig{state: state}
	server := httptest.NewServer(operator.New(operator.Options{
		Node: "n1", Keys: keys, Configs: fixed, History: fixed, Trials: fixed,
		RollOuts: rollout.NewStore(kvfake.New().Store()),
		Status: func() operator.ConfigStatus {
			return operator.ConfigStatus{Since: time.Now().Add(-time.Minute), Store: "InStep"}
		},
		Members: func() []operator.Member { return []operator.Member{{Node: "n2", FailureDomain: "wm-cov", Revision: 1}} },
		Log:     &log.Logger{Handler: discard.New()},
	}))
	t.Cleanup(server.Close)
	return server
}

func TestOperatorCommands(t *testing.T) {
	server := operatorServer(t)
	steer := []string{"--service", "tutor-llm", "--reason", "night"}
	start := []string{"rollout", "start", "--service", "tutor-llm", "--version", "scholar@2.1", "--control", "scholar@2.0", "--reason", "cheaper"}
	planFile := []string{"rollout", "start", "--file", filepath.Join("..", "..", "examples", "rollout.yaml")}
	wrongFile := []string{"rollout", "start", "--file", filepath.Join(t.TempDir(), "wrong.yaml")}
	qt.Assert(t, os.WriteFile(wrongFile[3], []byte("ID: r\nVersoin: a@b\n"), 0o600), qt.IsNil)
	for _, test := range []struct {
		name string
		args []string
		key  string
		code int
		want string
	}{
		{"status", []string{"status"}, "secret", ExitOK, "n2    wm-cov          1         BEHIND"},
		{"status in JSON", []string{"status", "--format", "json"}, "secret", ExitOK, `"FailureDomain":`},
		{"wrong key", []string{"status"}, "wrong", ExitUsage, "no operator has this key"},
		{"no roll-out yet", append([]string{"rollout", "pause"}, steer...), "secret", ExitFailure, "has no roll-out"},
		{"start", start, "secret", ExitOK, "Loading"},
		{"start again", start, "secret", ExitFailure, "is under way"},
		{"pause", append([]string{"rollout", "pause"}, steer...), "secret", ExitOK, "Paused"},
		{"pause again", append([]string{"rollout", "pause"}, steer...), "secret", ExitFailure, "takes no pause"},
		{"resume", append([]string{"rollout", "resume"}, steer...), "secret", ExitOK, "Loading"},
		{"abort", append([]string{"rollout", "abort"}, steer...), "secret", ExitOK, "Aborting"},
		{"rollout status", []string{"rollout", "status"}, "secret", ExitOK, "Aborting  1/5"},
		{"plan in a file", planFile, "secret", ExitFailure, "is under way"},
		{"wrong plan", wrongFile, "secret", ExitUsage, "line 2: field Versoin not found"},
		{"no version", []string{"rollout", "start", "--service", "tutor-llm"}, "secret", ExitUsage, "allowed: model@version"},
		{"no reason", []string{"rollout", "abort", "--service", "tutor-llm"}, "secret", ExitUsage, "reason"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			args := append(append([]string{}, test.args...), "--key", test.key, "--node", "http://127.0.0.1:1", "--node", server.URL)
			code := Main(args, &out, &errOut)
			qt.Assert(t, code, qt.Equals, test.code, qt.Commentf("%s%s", &out, &errOut))
			qt.Assert(t, out.String()+errOut.String(), qt.Contains, test.want)
		})
	}
}
