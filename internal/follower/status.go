package follower

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// ServiceState is how the configuration log in the key-value service compares with the node's copy.
type ServiceState string

const (
	// ServiceUnknown means that this node has not read the service yet; its peers may have.
	ServiceUnknown ServiceState = "Unknown"
	// ServiceInSync means that the service includes the node's history.
	ServiceInSync ServiceState = "InStep"
	// ServiceUnreachable means that the service does not answer.
	ServiceUnreachable ServiceState = "Unreachable"
	// ServiceOlder means that the service lacks revisions that are in force on this node; nodes write them back.
	ServiceOlder ServiceState = "Older"
	// ServiceForked means that the service has another change under a revision that is in force here; an operator must resolve it.
	ServiceForked ServiceState = "Forked"
)

// Status describes a node's configuration to operators.
type Status struct {
	// Revision and ChangeID identify the configuration in force, Since is when it came into force on this node.
	Revision api.Revision
	ChangeID fleet.ChangeID
	Since    time.Time
	Service  ServiceState
	// ServiceSince is when Service last changed.
	ServiceSince time.Time
	// Detail is the error text for an Older, Forked or Unreachable service.
	Detail string `json:",omitempty"`
	// Watching is true while this node watches the service for its failure domain.
	Watching bool
}

// Status returns the node's status.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	status := f.status
	status.Revision = f.replica.state.Revision()
	status.ChangeID = f.replica.state.ChangeID
	return status
}

// IsAlarm reports whether the state needs an operator's attention.
func (s ServiceState) IsAlarm() bool { return s == ServiceOlder || s == ServiceForked }

// recordServiceState records the service's state and logs it when it changes; the caller holds the lock.
func (f *Follower) recordServiceState(state ServiceState, cause error) {
	detail := ""
	if cause != nil {
		detail = cause.Error()
	}
	if f.status.Service == state {
		f.status.Detail = detail
		return
	}
	f.log.WithField("from", f.status.Service).WithField("to", state).WithField("revision", f.replica.state.Revision()).
		Info("key-value service's configuration log")
	f.status.Service = state
	f.status.ServiceSince = time.Now()
	f.status.Detail = detail
	f.meters.older.Update(gaugeOf(state == ServiceOlder))
	f.meters.forked.Update(gaugeOf(state == ServiceForked))
	if state.IsAlarm() {
		f.log.WithError(cause).Error("the key-value service and the nodes disagree about the configuration; nodes keep the highest revision")
	}
}

func (f *Follower) setServiceState(state ServiceState, cause error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordServiceState(state, cause)
}

func gaugeOf(on bool) int64 {
	if on {
		return 1
	}
	return 0
}

// meters are the follower's metrics.
type meters struct {
	revision   metrics.Gauge
	older      metrics.Gauge
	forked     metrics.Gauge
	watching   metrics.Gauge
	watchEnds  metrics.Counter
	rewritten  metrics.Counter
	headChecks metrics.Counter
}

func newMeters(registry metrics.Registry) *meters {
	return &meters{
		revision:   metrics.GetOrRegisterGauge("config.revision", registry),
		older:      metrics.GetOrRegisterGauge("config.service_older", registry),
		forked:     metrics.GetOrRegisterGauge("config.forked", registry),
		watching:   metrics.GetOrRegisterGauge("config.watching", registry),
		watchEnds:  metrics.GetOrRegisterCounter("config.watch_ends", registry),
		rewritten:  metrics.GetOrRegisterCounter("config.rewritten_revisions", registry),
		headChecks: metrics.GetOrRegisterCounter("config.head_checks", registry),
	}
}
