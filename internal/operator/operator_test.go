package operator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const (
	operateKey = "key of ana"
	viewKey    = "key of beto"
)

func keyText(name string, role Role, key string) string {
	sum := sha256.Sum256([]byte(key))
	return fmt.Sprintf("%s:%s:%s", name, role, hex.EncodeToString(sum[:]))
}

func TestRolesAndKeys(t *testing.T) {
	n := newTestNode(t)
	service, version := n.version()
	add := fmt.Sprintf(`{"Exception": {"ID": "e1", "Scope": {"Service": %q, "Version": %q}, "Withdraw": true, "Reason": "bad"}}`, service, version)
	for _, test := range []struct {
		key    string
		method string
		body   string
		status int
	}{
		{"wrong", "GetStatus", `{}`, http.StatusUnauthorized},
		{"", "GetStatus", `{}`, http.StatusUnauthorized},
		{viewKey, "GetStatus", `{}`, http.StatusOK},
		{viewKey, "ListVersions", `{}`, http.StatusOK},
		{viewKey, "Preview", `{"End": "e1"}`, http.StatusNotFound},
		{viewKey, "AddException", add, http.StatusForbidden},
		{viewKey, "CommandRollOut", `{"Service": "tutor-llm", "Command": "pause", "Reason": "x"}`, http.StatusForbidden},
		{viewKey, "StartRollOut", `{}`, http.StatusForbidden},
		{operateKey, "AddException", `{"Exception": {"Withdraw": true, "Reason": "bad"}}`, http.StatusBadRequest},
		{operateKey, "AddException", `{"Exception": {"Set": {"Nonsense": 1}, "Reason": "bad"}}`, http.StatusBadRequest},
		{operateKey, "AddException", `{"Exception": {"Set": {"QualityTarget": 7}, "Reason": "bad"}}`, http.StatusBadRequest},
		{operateKey, "AddException", add, http.StatusOK},
		{operateKey, "AddException", add, http.StatusConflict},
		{operateKey, "EndException", `{"ID": "e1"}`, http.StatusBadRequest},
		{operateKey, "EndException", `{"ID": "e1", "Reason": "mended"}`, http.StatusOK},
		{operateKey, "EndException", `{"ID": "e1", "Reason": "mended"}`, http.StatusNotFound},
		{operateKey, "CommandRollOut", `{"Service": "tutor-llm", "Command": "pause", "Reason": "x"}`, http.StatusNotFound},
		{operateKey, "ListHistory", `{}`, http.StatusOK},
	} {
		status, answer := n.call(test.key, test.method, test.body)
		n.Check(status, qt.Equals, test.status, qt.Commentf("%s %s: %v", test.method, test.body, answer))
	}
}

func TestAuthorComesFromTheKey(t *testing.T) {
	n := newTestNode(t)
	status, _ := n.call(operateKey, "AddException",
		`{"Exception": {"ID": "e1", "Set": {"QualityTarget": 0.5, "Deadline": "45s"}, "Reason": "exam week", "Author": "someone else"}, "ChangeID": "c1"}`)
	n.Assert(status, qt.Equals, http.StatusOK)
	_, answer := n.call(viewKey, "ListHistory", `{"Limit": 1}`)
	change := answer["Changes"].([]any)[0].(map[string]any)
	n.Assert(change["Author"], qt.Equals, "ana")
	n.Assert(change["ID"], qt.Equals, "c1")
	n.Assert(change["Entities"], qt.DeepEquals, []any{"Exception/e1"})
	_, answer = n.call(viewKey, "ListExceptions", `{}`)
	n.Assert(answer["Exceptions"].([]any), qt.Not(qt.HasLen), 0)
	exc, found := findException(n.changes.State().Config, "e1")
	n.Assert(found, qt.IsTrue)
	n.Assert(*n.changes.State().Config.Exceptions[exc].Set.Deadline, qt.Equals, 45*time.Second)
}

func TestWrongKeysAreLimited(t *testing.T) {
	n := newTestNode(t)
	limited := 0
	for range 2 * wrongKeyBurst {
		if status, _ := n.call("wrong", "GetStatus", `{}`); status == http.StatusTooManyRequests {
			limited++
		}
	}
	n.Assert(limited > 0, qt.IsTrue)
	status, _ := n.call(viewKey, "GetStatus", `{}`)
	n.Assert(status, qt.Equals, http.StatusOK)
}

func TestUnavailableStoreIsReported(t *testing.T) {
	n := newTestNode(t)
	n.changes.isUnavailable = true
	service, version := n.version()
	add := fmt.Sprintf(`{"Exception": {"Scope": {"Service": %q, "Version": %q}, "Withdraw": true, "Reason": "bad"}}`, service, version)
	status, answer := n.call(operateKey, "AddException", add)
	n.Assert(status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%v", answer))
	status, _ = n.call(viewKey, "GetStatus", `{}`)
	n.Assert(status, qt.Equals, http.StatusOK)
	recorder := n.browse(http.MethodGet, "/operator/", nil)
	n.Assert(recorder.Code, qt.Equals, http.StatusOK)
	n.Assert(recorder.Body.String(), qt.Contains, "Can't be read now")
}

func TestRollOutFromTheAPI(t *testing.T) {
	n := newTestNode(t)
	service, control := n.version()
	candidate := api.VersionID{Model: control.Model, Version: "next"}
	n.addCandidate(service, candidate)
	start := fmt.Sprintf(`{"ID": "r1", "Service": %q, "Version": %q, "Control": %q, "Reason": "cheaper"}`, service, candidate, control)
	status, answer := n.call(operateKey, "StartRollOut", start)
	n.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%v", answer))
	n.Assert(answer["Phase"], qt.Equals, "Loading")
	status, _ = n.call(operateKey, "StartRollOut", start)
	n.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("the same again"))
	status, _ = n.call(operateKey, "StartRollOut", strings.Replace(start, "r1", "r2", 1))
	n.Assert(status, qt.Equals, http.StatusConflict)
	status, _ = n.call(operateKey, "StartRollOut", strings.Replace(start, candidate.String(), control.String(), 1))
	n.Assert(status, qt.Equals, http.StatusBadRequest)
	command := fmt.Sprintf(`{"Service": %q, "Command": "pause", "Reason": "night"}`, service)
	_, answer = n.call(operateKey, "CommandRollOut", command)
	n.Assert(answer["Phase"], qt.Equals, "Paused")
	n.Assert(answer["By"], qt.Equals, "ana")
	status, _ = n.call(operateKey, "CommandRollOut", command)
	n.Assert(status, qt.Equals, http.StatusBadRequest, qt.Commentf("paused already"))
	_, answer = n.call(viewKey, "ListRollOuts", `{}`)
	n.Assert(answer["RollOuts"], qt.HasLen, 1)
}

func (n *testNode) addCandidate(name api.Service, id api.VersionID) {
	state := n.changes.State()
	next := *state.Config
	next.Services = slices.Clone(next.Services)
	for i := range next.Services {
		if next.Services[i].Name != name {
			continue
		}
		next.Services[i].Models = slices.Clone(next.Services[i].Models)
		for j := range next.Services[i].Models {
			model := &next.Services[i].Models[j]
			if model.Name == id.Model {
				model.Versions = append(slices.Clone(model.Versions), fleet.Version{Name: id.Version, State: fleet.StateCandidate})
			}
		}
	}
	_, err := n.changes.Accept(context.Background(), fleet.Change{ID: "candidate", Author: "ana", Reason: "new version", Ops: state.Ops(&next)})
	n.Assert(err, qt.IsNil)
}

func TestParseKeys(t *testing.T) {
	for _, text := range []string{"", "ana", "ana:operate", "ana:root:" + strings.Repeat("0", 64), ":view:" + strings.Repeat("0", 64), "ana:view:00"} {
		_, err := ParseKeys([]string{text})
		qt.Check(t, IsErrBadKey(err), qt.IsTrue, qt.Commentf("%q", text))
	}
	_, err := ParseKeys([]string{"ana:view:secret"})
	qt.Assert(t, err.Error(), qt.Not(qt.Contains), "secret")
}

func FuzzParseSettings(f *testing.F) {
	f.Add("QualityTarget: 0.8\nDeadline: 30s")
	f.Add(`{"Allowed": ["*"]}`)
	f.Fuzz(func(t *testing.T, text string) {
		patch, err := parseSettings(text)
		if err != nil {
			qt.Assert(t, IsErrBadField(err), qt.IsTrue)
			return
		}
		again, err := parseSettings(formatSettings(patch))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, formatSettings(again), qt.Equals, formatSettings(patch))
	})
}
