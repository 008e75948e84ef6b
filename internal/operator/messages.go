package operator

import (
	"encoding/json"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	pb "github.com/monsoonrail/monsoonrail/internal/operator/operatorpb"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func changeMessage(delta fleet.Delta) *pb.Change {
	msg := &pb.Change{
		Revision: int32(delta.Revision), Id: string(delta.ID), Author: delta.Author, Reason: delta.Reason, Time: timestamp(delta.Time),
	}
	for _, op := range delta.Ops {
		msg.Entities = append(msg.Entities, op.String())
	}
	return msg
}

func timestamp(t time.Time) *timestamppb.Timestamp {
	if t.IsZero() {
		return nil
	}
	return timestamppb.New(t)
}

func exceptionMessage(exc fleet.Exception, now time.Time) *pb.Exception {
	msg := &pb.Exception{
		Id: exc.ID, Withdraw: exc.Withdraw, Reason: exc.Reason, Author: exc.Author, Expires: timestamp(exc.Expires),
		Active: exc.IsActive(now), Set: settingsMessage(exc.Set),
		Scope: &pb.Scope{
			Team: string(exc.Scope.Team), Service: string(exc.Scope.Service), Class: string(exc.Scope.Class),
			Version: exc.Scope.Version.String(), FailureDomain: string(exc.Scope.FailureDomain),
		},
	}
	return msg
}

func exceptionOf(msg *pb.Exception) (fleet.Exception, error) {
	if msg == nil {
		return fleet.Exception{}, badField("Exception", "", "an exception")
	}
	settings, err := json.Marshal(msg.Set.AsMap())
	if err != nil {
		return fleet.Exception{}, badField("Set", "", "settings as in the configuration")
	}
	patch, err := parseSettings(string(settings))
	if err != nil {
		return fleet.Exception{}, err
	}
	scope := msg.GetScope()
	exc := fleet.Exception{
		ID: msg.Id, Set: patch, Withdraw: msg.Withdraw, Reason: msg.Reason,
		Scope: fleet.Scope{
			Team: api.Team(scope.GetTeam()), Service: api.Service(scope.GetService()), Class: api.Class(scope.GetClass()),
			Version: api.ParseVersionID(scope.GetVersion()), FailureDomain: api.FailureDomain(scope.GetFailureDomain()),
		},
	}
	if msg.Expires != nil {
		exc.Expires = msg.Expires.AsTime()
	}
	return exc, nil
}

func rollOutMessage(r rollout.RollOut) *pb.RollOut {
	return &pb.RollOut{
		Id: string(r.Plan.ID), Service: string(r.Plan.Service), Version: r.Plan.Version.String(), Control: r.Plan.Control.String(),
		Phase: string(r.Phase), Step: int32(r.Step + 1), Steps: int32(len(r.Plan.Steps)), Share: r.Share(),
		Since: timestamp(r.Since), Reason: r.Reason, By: r.By, Author: r.Plan.Author,
	}
}
