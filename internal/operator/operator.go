// Package operator serves the operator API, over Connect with protobuf or JSON, and the operators' web interface, which works on phones.
// Operators authenticate with keys. A key has a role and a name, which becomes the author of the operator's changes in the history.
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

// Configs returns the node's copy of the configuration.
type Configs interface {
	State() *fleet.State
}

// ConfigStatus describes the configuration in force on the node and how it compares with the key-value service.
type ConfigStatus struct {
	// Since is the time at which the revision came into force on the node.
	Since time.Time
	// Store is the state of the key-value service relative to the node's history, a follower.ServiceState.
	Store string
	// IsAlarm reports whether the state in Store requires an operator.
	IsAlarm bool
	Detail  string
}

// Member is the status of a node in the membership list of the answering node.
type Member struct {
	Node          api.NodeID
	FailureDomain api.FailureDomain
	// Revision is the highest revision that the node is known to have; 0 if none is known.
	Revision  api.Revision
	Draining  bool
	LastHeard time.Time
}

// propagationTime is how long a revision may take to come into force on every node and to be reported back.
const propagationTime = 11 * time.Second

// IsBehind reports whether the node is known to have an older revision although the given one came into force on this node at since, at
// least propagationTime before now. It is false for a node whose revision is unknown.
func (m Member) IsBehind(revision api.Revision, since, now time.Time) bool {
	return m.Revision > 0 && m.Revision < revision && now.Sub(since) >= propagationTime
}

// Acceptor submits changes for acceptance and returns their revision. Submitting a change id again returns the revision of the earlier
// acceptance. *acceptance.Acceptor implements it.
type Acceptor interface {
	Accept(ctx context.Context, change fleet.Change) (api.Revision, error)
}

// History reads up to limit accepted changes, the newest first. *configlog.Log implements it.
type History interface {
	History(ctx context.Context, limit int) ([]fleet.Delta, error)
}

// RollOuts stores the roll-outs. *rollout.Store implements it.
type RollOuts interface {
	List(ctx context.Context) ([]rollout.RollOut, error)
	Begin(ctx context.Context, r rollout.RollOut) (rollout.Record, error)
	Command(ctx context.Context, opts rollout.CommandOptions) (rollout.RollOut, error)
}

// Trials gives access to the node's evidence about versions and to its stops of versions. *trial.Node implements it.
type Trials interface {
	Overview() []suspect.Finding
	Stops() []suspect.Stop
	Stop(stop suspect.OperatorStop)
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

// Operations implements the operations that the API and the web interface share. The callers have authenticated the operator.
type Operations struct{ opts Options }

const (
	// maxBody is the maximum size of a request body in bytes.
	maxBody = 64 << 10
	// pagePath is the URL path prefix of the web interface.
	pagePath = "/operator/"
)

// New returns the HTTP handler of the API and of the web interface; Paths returns its path prefixes.
func New(opts Options) http.Handler {
	ops := &Operations{opts: opts}
	mux := http.NewServeMux()
	path, handler := operatorpbconnect.NewOperatorServiceHandler(&service{ops: ops}, handlerOptions(ops)...)
	mux.Handle(path, handler)
	mux.Handle(pagePath, newPage(ops))
	return mux
}

// Paths returns the URL path prefixes that the handler of New serves.
func Paths() []string {
	return []string{"/" + operatorpbconnect.OperatorServiceName + "/", pagePath}
}

// Version describes a version: its state, its share of the requests and the evidence about it.
type Version struct {
	Service api.Service
	ID      api.VersionID
	State   fleet.VersionState
	Share   float64
	// StateReason is the author and reason of the exception or stop that withdraws the version; empty if there is none.
	StateReason string
	Findings    []suspect.Finding
}

// Versions returns the versions of a service, or of all services if name is empty.
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
	described := Version{Service: name, ID: id, State: config.StateOf(scope, now), Share: version.Share}
	for _, exc := range config.ExceptionsFor(scope, now) {
		if exc.Withdraw {
			described.StateReason = exc.Author + ": " + exc.Reason
		}
	}
	for _, finding := range findings {
		if finding.Key.Service == name && finding.Key.Version == id {
			described.Findings = append(described.Findings, finding)
		}
	}
	return described
}

// Preview returns the impacts of a draft and the number of further impacts beyond maxImpacts.
func (o *Operations) Preview(draft Draft, by Operator, now time.Time) ([]Impact, int, error) {
	state := o.opts.Configs.State()
	_, next, err := draft.Plan(state, by, now)
	if err != nil {
		return nil, 0, err
	}
	impacts, more := Impacts(state, next, now)
	return impacts, more, nil
}

// Apply submits a draft for acceptance and returns the change and its revision. A draft whose ID was accepted before has no further effect.
func (o *Operations) Apply(ctx context.Context, draft Draft, by Operator) (fleet.Change, api.Revision, error) {
	if !by.CanOperate() {
		return fleet.Change{}, 0, Error.Wrap(&ErrForbidden{Name: by.Name, Role: by.Role})
	}
	change, _, err := draft.Plan(o.opts.Configs.State(), by, time.Now())
	if IsErrExceptionExists(err) || IsErrExceptionNotExist(err) {
		return o.findAccepted(ctx, draft, err)
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

// StopVersion makes the nodes stop a version without an accepted change, for example while the key-value service is unavailable.
func (o *Operations) StopVersion(stop suspect.OperatorStop, by Operator) error {
	if !by.CanOperate() {
		return Error.Wrap(&ErrForbidden{Name: by.Name, Role: by.Role})
	}
	service, ok := o.opts.Configs.State().Config.FindService(stop.Service)
	if !ok {
		return badField("Service", string(stop.Service), "a service of the configuration")
	}
	if _, ok := service.FindVersion(stop.Version); !ok {
		return badField("Version", stop.Version.String(), "model@version of the service")
	}
	stop.Reason = strings.TrimSpace(stop.Reason)
	if stop.Reason == "" || len(stop.Reason) > maxReason {
		return badField("Reason", stop.Reason, "1 to 500 bytes")
	}
	stop.Operator = by.Name
	o.opts.Trials.Stop(stop)
	return nil
}

// findAccepted returns the accepted change with the id of draft and its revision, for example after a form was submitted twice. If the
// last maxHistory changes don't include it or can't be read, it returns planErr.
func (o *Operations) findAccepted(ctx context.Context, draft Draft, planErr error) (fleet.Change, api.Revision, error) {
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
