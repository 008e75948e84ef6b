// Package operator serves the operators: an API over connect, which takes JSON as well, and one page that works on a
// phone. Keys have a name and a role; the name is the author of the operator's changes in the history.
package operator

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/operator/operatorpb/operatorpbconnect"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Configs is the node's copy of the configuration.
type Configs interface {
	State() *fleet.State
}

// ConfigStatus tells how the node's configuration stands.
type ConfigStatus struct {
	// Since is when the revision came into force on the node.
	Since time.Time
	// Store tells how the key-value service stands to the node's history, in a word.
	Store string
	// IsAlarm tells that Store calls for an operator.
	IsAlarm bool
	Detail  string
}

// Member is a node as the answering node knows it.
type Member struct {
	Node          api.NodeID
	FailureDomain api.FailureDomain
	// Revision is the highest that the node is known to have; 0 if none is known.
	Revision  api.Revision
	Draining  bool
	LastHeard time.Time
}

// spreadTime is how long a revision may take to be in force everywhere, and word of it to come back.
const spreadTime = 11 * time.Second

// IsBehind reports whether the node is known to lack a revision that has been in force here since a time, for longer
// than the revision takes to spread.
func (m Member) IsBehind(revision api.Revision, since, now time.Time) bool {
	return m.Revision > 0 && m.Revision < revision && now.Sub(since) >= spreadTime
}

// Acceptor has changes accepted; a change whose id was accepted before keeps its revision. *acceptance.Acceptor is one.
type Acceptor interface {
	Accept(ctx context.Context, change fleet.Change) (api.Revision, error)
}

// History reads accepted changes, the newest first; *configlog.Log is one.
type History interface {
	History(ctx context.Context, limit int) ([]fleet.Delta, error)
}

// RollOuts keeps the roll-outs; *rollout.Store is one.
type RollOuts interface {
	List(ctx context.Context) ([]rollout.RollOut, error)
	Begin(ctx context.Context, r rollout.RollOut) (rollout.Record, error)
	Command(ctx context.Context, opts rollout.CommandOptions) (rollout.RollOut, error)
}

// Trials is what the node knows of the versions; *trial.Node is one.
type Trials interface {
	Overview() []suspect.Finding
	Stops() []suspect.Stop
	Stop(order suspect.OperatorStop)
}

// Options configures New.
type Options struct {
	Node     api.NodeID
	Keys     *Keys
	Configs  Configs
	Status   func() ConfigStatus
	Members  func() []Member
	Acceptor Acceptor
	History  History
	RollOuts RollOuts
	Trials   Trials
	Log      log.Interface
}

// Operations are the calls of the API and of the page, behind the check of the key.
type Operations struct{ opts Options }

const (
	// maxBody bounds a call's body in bytes.
	maxBody = 64 << 10
	// pagePath is where the page is.
	pagePath = "/operator/"
)

// New returns the handler of the API and of the page, by path.
func New(opts Options) http.Handler {
	ops := &Operations{opts: opts}
	mux := http.NewServeMux()
	path, handler := operatorpbconnect.NewOperatorServiceHandler(&service{ops: ops}, handlerOptions(ops)...)
	mux.Handle(path, handler)
	mux.Handle(pagePath, newPage(ops))
	return mux
}

// Paths returns the path prefixes that New's handler serves.
func Paths() []string {
	return []string{"/" + operatorpbconnect.OperatorServiceName + "/", pagePath}
}

// Version is a version with all that is known of it.
type Version struct {
	Service api.Service
	ID      api.VersionID
	State   fleet.VersionState
	Share   float64
	// StateReason is the exception or stop that withdraws the version, if one does.
	StateReason string
	Findings    []suspect.Finding
}

// Versions returns the versions of a service, or of all for an empty name.
func (o *Operations) Versions(name api.Service, now time.Time) []Version {
	config := suspect.WithStops(o.opts.Configs.State().Config, o.opts.Trials.Stops())
	findings := o.opts.Trials.Overview()
	var versions []Version
	for _, svc := range config.Services {
		if name != "" && name != svc.Name {
			continue
		}
		for _, model := range svc.Models {
			for _, version := range model.Versions {
				id := api.VersionID{Model: model.Name, Version: version.Name}
				versions = append(versions, describeVersion(config, svc.Name, id, version, findings, now))
			}
		}
	}
	return versions
}

func describeVersion(config *fleet.Config, name api.Service, id api.VersionID, version fleet.Version, findings []suspect.Finding, now time.Time) Version {
	scope := fleet.Scope{Service: name, Version: id}
	found := Version{Service: name, ID: id, State: config.StateOf(scope, now), Share: version.Share}
	for _, exc := range config.ExceptionsFor(scope, now) {
		if exc.Withdraw {
			found.StateReason = exc.Author + ": " + exc.Reason
		}
	}
	for _, finding := range findings {
		if finding.Key.Service == name && finding.Key.Version == id {
			found.Findings = append(found.Findings, finding)
		}
	}
	return found
}

// Preview returns whom a draft touches.
func (o *Operations) Preview(draft Draft, by Operator, now time.Time) ([]Impact, int, error) {
	state := o.opts.Configs.State()
	_, next, err := draft.Plan(state, by, now)
	if err != nil {
		return nil, 0, err
	}
	impacts, more := Impacts(state, next, now)
	return impacts, more, nil
}

// Apply has a draft accepted.
func (o *Operations) Apply(ctx context.Context, draft Draft, by Operator) (fleet.Change, api.Revision, error) {
	if !by.CanOperate() {
		return fleet.Change{}, 0, Error.Wrap(&ErrForbidden{Name: by.Name, Role: by.Role})
	}
	change, _, err := draft.Plan(o.opts.Configs.State(), by, time.Now())
	if IsErrExceptionExists(err) || IsErrExceptionNotExist(err) {
		return o.repeated(ctx, draft, err)
	}
	if err != nil {
		return change, 0, err
	}
	revision, err := o.opts.Acceptor.Accept(ctx, change)
	entry := o.opts.Log.WithFields(log.Fields{"operator": by.Name, "change": change.ID, "reason": change.Reason, "revision": revision})
	if err != nil {
		entry.WithError(err).Warn("operator's change not accepted")
		return change, 0, Error.Wrap(err)
	}
	entry.Info("operator's change accepted")
	return change, revision, nil
}

// StopVersion has a version stopped by the nodes, without an accepted change.
func (o *Operations) StopVersion(order suspect.OperatorStop, by Operator) error {
	if !by.CanOperate() {
		return Error.Wrap(&ErrForbidden{Name: by.Name, Role: by.Role})
	}
	service, ok := o.opts.Configs.State().Config.FindService(order.Service)
	if !ok {
		return bad("Service", string(order.Service), "a service of the configuration")
	}
	if _, ok := service.FindVersion(order.Version); !ok {
		return bad("Version", order.Version.String(), "model@version of the service")
	}
	order.Reason = strings.TrimSpace(order.Reason)
	if order.Reason == "" || len(order.Reason) > maxReason {
		return bad("Reason", order.Reason, "1 to 500 bytes")
	}
	order.Operator = by.Name
	o.opts.Trials.Stop(order)
	return nil
}

// repeated answers a draft that was accepted before, such as after a second tap on the same button.
func (o *Operations) repeated(ctx context.Context, draft Draft, planErr error) (fleet.Change, api.Revision, error) {
	deltas, err := o.opts.History.History(ctx, maxHistory)
	if err != nil {
		return fleet.Change{}, 0, planErr
	}
	for _, delta := range deltas {
		if draft.ID != "" && delta.ID == draft.ID {
			return delta.Change, delta.Revision, nil
		}
	}
	return fleet.Change{}, 0, planErr
}
