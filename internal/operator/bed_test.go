package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// changeLog is an in-memory acceptor and history of changes.
type changeLog struct {
	mu     sync.Mutex
	state  *fleet.State
	deltas []fleet.Delta
	// isUnavailable simulates an unreachable key-value service.
	isUnavailable bool
}

func (c *changeLog) Accept(_ context.Context, change fleet.Change) (api.Revision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isUnavailable {
		return 0, kv.Error.Wrap(&kv.ErrUnavailable{Cause: http.ErrServerClosed})
	}
	for _, delta := range c.deltas {
		if delta.ID == change.ID {
			return delta.Revision, nil
		}
	}
	delta := fleet.Delta{Revision: c.state.Revision() + 1, Parent: c.state.ChangeID, Change: change}
	next, err := c.state.Apply(delta)
	if err != nil {
		return 0, err
	}
	c.state = next
	c.deltas = append(c.deltas, delta)
	return delta.Revision, nil
}

func (c *changeLog) State() *fleet.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

func (c *changeLog) History(_ context.Context, limit int) ([]fleet.Delta, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isUnavailable {
		return nil, kv.Error.Wrap(&kv.ErrUnavailable{Cause: http.ErrServerClosed})
	}
	newest := slices.Clone(c.deltas)
	slices.Reverse(newest)
	return newest[:min(limit, len(newest))], nil
}

// fakeTrials implements Trials with fixed stops and findings, and records the operators' stops.
type fakeTrials struct {
	stops         []suspect.Stop
	operatorStops []suspect.OperatorStop
}

func (f *fakeTrials) Stops() []suspect.Stop { return f.stops }

func (f *fakeTrials) Stop(stop suspect.OperatorStop) {
	f.operatorStops = append(f.operatorStops, stop)
}

func (f *fakeTrials) Overview() []suspect.Finding {
	var good, bad suspect.Tally
	for i := range 200 {
		good.Answer(time.Second)
		good.Rate(0.85)
		if i%8 == 0 {
			bad.Fail()
			continue
		}
		bad.Answer(time.Second)
		bad.Rate(0.55)
	}
	return []suspect.Finding{
		{Key: suspect.Key{Service: "tutor-llm", Version: api.ParseVersionID("scholar@2.0"), Class: "review"}, Version: good},
		{Key: suspect.Key{Service: "tutor-llm", Version: api.ParseVersionID("scholar@2.1"), Class: "review"}, Version: bad, Evidence: suspect.Evidence{Total: 9.3}},
	}
}

// testNode is the operator handler of a node with the example configuration commons.
type testNode struct {
	*qt.C
	handler http.Handler
	changes *changeLog
	store   *rollout.Store
	trials  *fakeTrials
	cookie  string
}

func newTestNode(t testing.TB) *testNode {
	c := qt.New(t)
	config, err := fleet.Load(filepath.Join("..", "..", "examples", "commons"))
	c.Assert(err, qt.IsNil)
	changes := &changeLog{state: fleet.NewState()}
	_, err = changes.Accept(context.Background(), fleet.Change{
		ID: "first", Author: "ana", Reason: "first configuration", Time: time.Now(), Ops: fleet.NewState().Ops(config),
	})
	c.Assert(err, qt.IsNil)
	keys, err := ParseKeys([]string{keyText("ana", RoleOperate, operateKey), keyText("beto", RoleView, viewKey)})
	c.Assert(err, qt.IsNil)
	store := rollout.NewStore(kvfake.New().Store())
	started := time.Now().Add(-time.Minute)
	trials := &fakeTrials{stops: []suspect.Stop{{
		ID: "auto-1", Service: "tutor-llm", Version: api.ParseVersionID("scholar@2.1"), Node: "wm-cov-1", At: started,
		Reason: "22% of requests failed", Author: suspect.Author,
	}}}
	handler := New(Options{
		Node: "wm-brum-1", Keys: keys, Configs: changes, Acceptor: changes, History: changes, RollOuts: store,
		Status: func() ConfigStatus { return ConfigStatus{Since: started, Store: "InStep"} },
		Members: func() []Member {
			return []Member{
				{Node: "wm-brum-1", FailureDomain: "wm-brum", Revision: changes.State().Revision(), LastHeard: time.Now()},
				{Node: "wm-cov-1", FailureDomain: "wm-cov", Revision: changes.State().Revision() - 1, LastHeard: started},
			}
		},
		Trials: trials,
		Log:    &log.Logger{Handler: discard.New()},
	})
	return &testNode{C: c, handler: handler, changes: changes, store: store, trials: trials}
}

// call calls a method of the API in JSON and returns the HTTP status and the decoded response.
func (n *testNode) call(key, method, body string) (int, map[string]any) {
	req := httptest.NewRequest(http.MethodPost, "/monsoonrail.operator.v1.OperatorService/"+method, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	recorder := httptest.NewRecorder()
	n.handler.ServeHTTP(recorder, req)
	var answer map[string]any
	n.Assert(json.Unmarshal(recorder.Body.Bytes(), &answer), qt.IsNil, qt.Commentf("%s", recorder.Body))
	return recorder.Code, answer
}

// version returns the first serving version in the configuration and its service.
func (n *testNode) version() (api.Service, api.VersionID) {
	for _, service := range n.changes.State().Config.Services {
		for _, model := range service.Models {
			for _, version := range model.Versions {
				if version.State == fleet.StateServing {
					return service.Name, api.VersionID{Model: model.Name, Version: version.Name}
				}
			}
		}
	}
	n.Fatal("no serving version")
	return "", api.VersionID{}
}
