package operator

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	pb "github.com/monsoonrail/monsoonrail/internal/operator/operatorpb"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxHistory is the maximum number of changes in a response.
	maxHistory = 200
	// defaultHistory is the number of changes in a response if the request sets no limit.
	defaultHistory = 20
)

// service implements the operator API. The interceptor authenticates the operator before each call.
type service struct{ ops *Operations }

func handlerOptions(ops *Operations) []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithReadMaxBytes(maxBody), connect.WithInterceptors(authenticate(ops))}
}

// operatorKey is the context key of the calling Operator.
type operatorKey struct{}

// authenticate returns an interceptor that authenticates each call by its bearer key, stores the Operator in the context and converts
// errors with protocolError.
func authenticate(ops *Operations) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			key, _ := strings.CutPrefix(req.Header().Get("Authorization"), "Bearer ")
			operator, err := ops.opts.Keys.Authenticate(key)
			if err != nil {
				return nil, protocolError(err)
			}
			resp, err := next(context.WithValue(ctx, operatorKey{}, operator), req)
			if err != nil {
				return nil, protocolError(err)
			}
			return resp, nil
		}
	}
}

func operatorOf(ctx context.Context) Operator {
	operator, _ := ctx.Value(operatorKey{}).(Operator)
	return operator
}

// GetStatus implements the API.
func (s *service) GetStatus(context.Context, *connect.Request[pb.GetStatusRequest]) (*connect.Response[pb.GetStatusResponse], error) {
	opts := s.ops.opts
	state, status := opts.Configs.State(), opts.Status()
	resp := &pb.GetStatusResponse{
		Fleet: state.Config.Fleet, Node: string(opts.Node), Revision: int32(state.Revision()),
		Since: timestamp(status.Since), Store: status.Store, Detail: status.Detail,
	}
	for _, member := range opts.Members() {
		resp.Nodes = append(resp.Nodes, &pb.NodeStatus{
			Node: string(member.Node), FailureDomain: string(member.FailureDomain), Revision: int32(member.Revision),
			Behind: member.IsBehind(state.Revision(), status.Since, time.Now()), Draining: member.Draining, LastHeard: timestamp(member.LastHeard),
		})
	}
	for _, stop := range opts.Trials.Stops() {
		resp.Stops = append(resp.Stops, &pb.Stop{
			Service: string(stop.Service), Version: stop.Version.String(), Node: string(stop.Node), Reason: stop.Reason, At: timestamp(stop.At),
		})
	}
	return connect.NewResponse(resp), nil
}

// ListVersions implements the API.
func (s *service) ListVersions(_ context.Context, req *connect.Request[pb.ListVersionsRequest]) (*connect.Response[pb.ListVersionsResponse], error) {
	resp := &pb.ListVersionsResponse{}
	for _, version := range s.ops.Versions(api.Service(req.Msg.Service), time.Now()) {
		entry := &pb.Version{
			Service: string(version.Service), Version: version.ID.String(), State: string(version.State),
			Share: version.Share, StateReason: version.StateReason,
		}
		for _, finding := range version.Findings {
			entry.Evidence = append(entry.Evidence, &pb.Evidence{
				Class: string(finding.Key.Class), Requests: int32(finding.Version.Requests), Failed: int32(finding.Version.Failed),
				Ratings: int32(finding.Version.Ratings()), MeanQuality: float64(finding.Version.MeanQuality()), Nats: max(0, finding.Evidence.Total),
			})
		}
		resp.Versions = append(resp.Versions, entry)
	}
	return connect.NewResponse(resp), nil
}

// ListExceptions implements the API.
func (s *service) ListExceptions(context.Context, *connect.Request[pb.ListExceptionsRequest]) (*connect.Response[pb.ListExceptionsResponse], error) {
	resp := &pb.ListExceptionsResponse{}
	for _, exc := range s.ops.opts.Configs.State().Config.Exceptions {
		resp.Exceptions = append(resp.Exceptions, exceptionMessage(exc, time.Now()))
	}
	return connect.NewResponse(resp), nil
}

// Preview implements the API.
func (s *service) Preview(ctx context.Context, req *connect.Request[pb.PreviewRequest]) (*connect.Response[pb.PreviewResponse], error) {
	draft := Draft{End: req.Msg.End, Reason: "preview"}
	if req.Msg.Add != nil {
		exc, err := exceptionOf(req.Msg.Add)
		if err != nil {
			return nil, err
		}
		draft.Add = &exc
	}
	impacts, more, err := s.ops.Preview(draft, operatorOf(ctx), time.Now())
	if err != nil {
		return nil, err
	}
	resp := &pb.PreviewResponse{Revision: int32(s.ops.opts.Configs.State().Revision()), More: int32(more)}
	for _, impact := range impacts {
		resp.Impacts = append(resp.Impacts, &pb.Impact{
			Team: string(impact.Team), Service: string(impact.Service), Class: string(impact.Class),
			Before: impact.Before, After: impact.After, Refused: impact.Refused,
		})
	}
	return connect.NewResponse(resp), nil
}

// AddException implements the API.
func (s *service) AddException(ctx context.Context, req *connect.Request[pb.AddExceptionRequest]) (*connect.Response[pb.ChangeResponse], error) {
	exc, err := exceptionOf(req.Msg.Exception)
	if err != nil {
		return nil, err
	}
	return s.apply(ctx, Draft{
		ID: fleet.ChangeID(req.Msg.ChangeId), Base: api.Revision(req.Msg.Base), Add: &exc, Reason: exc.Reason,
	})
}

// EndException implements the API.
func (s *service) EndException(ctx context.Context, req *connect.Request[pb.EndExceptionRequest]) (*connect.Response[pb.ChangeResponse], error) {
	return s.apply(ctx, Draft{
		ID: fleet.ChangeID(req.Msg.ChangeId), Base: api.Revision(req.Msg.Base), End: req.Msg.Id, Reason: req.Msg.Reason,
	})
}

func (s *service) apply(ctx context.Context, draft Draft) (*connect.Response[pb.ChangeResponse], error) {
	change, revision, err := s.ops.Apply(ctx, draft, operatorOf(ctx))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.ChangeResponse{Revision: int32(revision), ChangeId: string(change.ID)}), nil
}

// StopVersion implements the API.
func (s *service) StopVersion(ctx context.Context, req *connect.Request[pb.StopVersionRequest]) (*connect.Response[pb.StopVersionResponse], error) {
	stop := suspect.OperatorStop{
		Service: api.Service(req.Msg.Service), Version: api.ParseVersionID(req.Msg.Version), Reason: req.Msg.Reason,
	}
	if err := s.ops.StopVersion(stop, operatorOf(ctx)); err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.StopVersionResponse{}), nil
}

// StartRollOut implements the API.
func (s *service) StartRollOut(ctx context.Context, req *connect.Request[pb.StartRollOutRequest]) (*connect.Response[pb.RollOut], error) {
	plan, err := planOf(req.Msg, operatorOf(ctx))
	if err != nil {
		return nil, err
	}
	started, err := s.ops.StartRollOut(ctx, plan, operatorOf(ctx))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(rollOutMessage(started)), nil
}

func planOf(msg *pb.StartRollOutRequest, by Operator) (rollout.Plan, error) {
	plan := rollout.Plan{
		ID: rollout.ID(msg.Id), Service: api.Service(msg.Service), Version: api.ParseVersionID(msg.Version),
		Control: api.ParseVersionID(msg.Control), DrainControl: msg.DrainControl, Author: by.Name, Reason: msg.Reason,
		FalseAlarm: msg.FalseAlarm,
	}
	if msg.Patience != "" {
		patience, err := time.ParseDuration(msg.Patience)
		if err != nil {
			return plan, badField("Patience", msg.Patience, "a duration such as 1h")
		}
		plan.Patience = patience
	}
	if plan.ID == "" {
		plan.ID = rollout.ID(uuid.NewString()[:8])
	}
	for _, step := range msg.Steps {
		dwell, err := time.ParseDuration(step.Dwell)
		if err != nil {
			return plan, badField("Steps.Dwell", step.Dwell, "a duration such as 1m30s")
		}
		plan.Steps = append(plan.Steps, rollout.Step{
			Share: step.Share, Requests: uint64(max(0, step.Requests)), Dwell: dwell, Window: int(step.Window),
		})
	}
	return plan, nil
}

// ListRollOuts implements the API.
func (s *service) ListRollOuts(ctx context.Context, _ *connect.Request[pb.ListRollOutsRequest]) (*connect.Response[pb.ListRollOutsResponse], error) {
	rollOuts, err := s.ops.opts.RollOuts.List(ctx)
	if err != nil {
		return nil, err
	}
	resp := &pb.ListRollOutsResponse{}
	for _, r := range rollOuts {
		resp.RollOuts = append(resp.RollOuts, rollOutMessage(r))
	}
	return connect.NewResponse(resp), nil
}

// CommandRollOut implements the API.
func (s *service) CommandRollOut(ctx context.Context, req *connect.Request[pb.CommandRollOutRequest]) (*connect.Response[pb.RollOut], error) {
	updated, err := s.ops.CommandRollOut(ctx, rollout.CommandOptions{
		Service: api.Service(req.Msg.Service), Command: rollout.Command(req.Msg.Command), Reason: req.Msg.Reason,
	}, operatorOf(ctx))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(rollOutMessage(updated)), nil
}

// ListHistory implements the API.
func (s *service) ListHistory(ctx context.Context, req *connect.Request[pb.ListHistoryRequest]) (*connect.Response[pb.ListHistoryResponse], error) {
	limit := int(req.Msg.Limit)
	if limit <= 0 {
		limit = defaultHistory
	}
	deltas, err := s.ops.opts.History.History(ctx, min(limit, maxHistory))
	if err != nil {
		return nil, err
	}
	resp := &pb.ListHistoryResponse{}
	for _, delta := range deltas {
		resp.Changes = append(resp.Changes, changeMessage(delta))
	}
	return connect.NewResponse(resp), nil
}
