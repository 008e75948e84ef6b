package operator

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.yaml.in/yaml/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"github.com/monsoonrail/monsoonrail/internal/acceptance"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
)

// protocolError returns the Connect error for an error of this package or of the packages that it calls.
func protocolError(err error) error {
	code := connect.CodeInternal
	switch {
	case IsErrUnauthenticated(err):
		code = connect.CodeUnauthenticated
	case IsErrTooManyWrongKeys(err):
		code = connect.CodeResourceExhausted
	case IsErrForbidden(err):
		code = connect.CodePermissionDenied
	case IsErrBadField(err), rollout.IsErrBadPlan(err), fleet.IsErrInvalid(err):
		code = connect.CodeInvalidArgument
	case IsErrExceptionNotExist(err), rollout.IsErrRollOutNotExist(err), rollout.IsErrVersionNotExist(err):
		code = connect.CodeNotFound
	case IsErrExceptionExists(err), rollout.IsErrRollOutUnderWay(err):
		code = connect.CodeAlreadyExists
	case rollout.IsErrWrongPhase(err):
		code = connect.CodeFailedPrecondition
	case rollout.IsErrConflict(err), acceptance.IsErrConflict(err):
		code = connect.CodeAborted
	case acceptance.IsErrUnavailable(err), acceptance.IsErrOutcomeUnknown(err), acceptance.IsErrServiceOlder(err):
		code = connect.CodeUnavailable
	case kv.IsErrUnavailable(err), kv.IsErrUnknownOutcome(err):
		code = connect.CodeUnavailable
	}
	return connect.NewError(code, err)
}

// settingsMessage returns the settings of an exception by name, with durations as text; nil if none is set.
func settingsMessage(patch fleet.PolicyPatch) *structpb.Struct {
	var settings map[string]any
	if err := yaml.Unmarshal([]byte(formatSettings(patch)), &settings); err != nil || len(settings) == 0 {
		return nil
	}
	msg, err := structpb.NewStruct(settings)
	if err != nil {
		return nil
	}
	return msg
}

// StartRollOut starts the roll-out of a candidate version in the configuration.
func (o *Operations) StartRollOut(ctx context.Context, plan rollout.Plan, by Operator) (rollout.RollOut, error) {
	if !by.CanOperate() {
		return rollout.RollOut{}, Error.Wrap(&ErrForbidden{Name: by.Name, Role: by.Role})
	}
	r, err := rollout.Start(plan, time.Now().UTC())
	if err != nil {
		return r, err
	}
	if err := o.checkVersions(plan); err != nil {
		return r, err
	}
	record, err := o.opts.RollOuts.Begin(ctx, r)
	return record.RollOut, err
}

// checkVersions checks that the plan's version is in state Candidate and its control in state Serving.
func (o *Operations) checkVersions(plan rollout.Plan) error {
	config := suspect.WithStops(o.opts.Configs.State().Config, o.opts.Trials.Stops())
	service, ok := config.FindService(plan.Service)
	if !ok {
		return badField("Service", string(plan.Service), "a service of the configuration")
	}
	if _, ok := service.FindVersion(plan.Version); !ok {
		return Error.Wrap(&rollout.ErrVersionNotExist{Service: plan.Service, Version: plan.Version})
	}
	now := time.Now()
	if state := config.StateOf(fleet.Scope{Service: plan.Service, Version: plan.Version}, now); state != fleet.StateCandidate {
		return badField("Version", plan.Version.String()+" ("+string(state)+")", "a version in state Candidate")
	}
	if state := config.StateOf(fleet.Scope{Service: plan.Service, Version: plan.Control}, now); state != fleet.StateServing {
		return badField("Control", plan.Control.String()+" ("+string(state)+")", "a version in state Serving")
	}
	return nil
}

// CommandRollOut pauses, resumes or aborts a roll-out. The reason must not be empty.
func (o *Operations) CommandRollOut(ctx context.Context, opts rollout.CommandOptions, by Operator) (rollout.RollOut, error) {
	if !by.CanOperate() {
		return rollout.RollOut{}, Error.Wrap(&ErrForbidden{Name: by.Name, Role: by.Role})
	}
	switch opts.Command {
	case rollout.CommandPause, rollout.CommandResume, rollout.CommandAbort:
	default:
		return rollout.RollOut{}, badField("Command", string(opts.Command), "pause, resume or abort")
	}
	if opts.Reason == "" || len(opts.Reason) > maxReason {
		return rollout.RollOut{}, badField("Reason", opts.Reason, "1 to 500 bytes")
	}
	opts.By = by.Name
	updated, err := o.opts.RollOuts.Command(ctx, opts)
	if err == nil {
		o.opts.Log.WithField("operator", by.Name).WithField("service", opts.Service).WithField("command", opts.Command).
			WithField("reason", opts.Reason).Info("roll-out command accepted")
	}
	return updated, err
}
