package play

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	pb "github.com/monsoonrail/monsoonrail/internal/operator/operatorpb"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// rollOutPoll is the time between two looks at a roll-out.
const rollOutPoll = time.Second

// rollOut has an operator begin a roll-out with the default steps through a node, and follows it until its end.
func (p *player) rollOut(ctx context.Context, planned trace.Fault, draw uint64) (fault, error) {
	candidate := api.ParseVersionID(planned.Target)
	service, control, ok := p.controlOf(candidate)
	if !ok {
		return fault{}, Error.Wrap(&ErrUnknownTarget{Kind: planned.Kind, Target: planned.Target})
	}
	phone := &http.Client{Transport: tcp.NewTransport(p.network.Host(callerIP))}
	_, err := p.system.OperatorClient(int(draw%uint64(p.nodes())), phone).StartRollOut(ctx, connect.NewRequest(&pb.StartRollOutRequest{
		Id: "play", Service: string(service), Version: candidate.String(), Control: control.String(), Reason: "the trace says so",
	}))
	phone.CloseIdleConnections()
	if err != nil {
		return fault{}, Error.Wrap(err)
	}
	ctx, stop := context.WithCancel(ctx)
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		p.followRollOut(ctx, service)
	}()
	return fault{text: "roll-out of " + candidate.String(), end: func() {
		stop()
		<-followed
	}}, nil
}

// controlOf returns the service of a candidate and the version in service that it is compared with, one of the same model.
func (p *player) controlOf(candidate api.VersionID) (api.Service, api.VersionID, bool) {
	for _, service := range p.opts.System.Config.Services {
		for _, model := range service.Models {
			if model.Name != candidate.Model {
				continue
			}
			for _, version := range model.Versions {
				if version.State == fleet.StateServing {
					return service.Name, api.VersionID{Model: model.Name, Version: version.Name}, true
				}
			}
		}
	}
	return "", api.VersionID{}, false
}

// followRollOut tells of every phase and step of a service's roll-out.
func (p *player) followRollOut(ctx context.Context, service api.Service) {
	began := time.Now()
	last := rollout.RollOut{}
	records := rollout.NewStore(p.system.KV.Store())
	for sleep.For(ctx, rollOutPoll) {
		record, err := records.Find(ctx, service)
		if err != nil || record.RollOut.Transition == last.Transition {
			continue
		}
		last = record.RollOut
		p.tell(fmt.Sprintf("roll-out of %s is %s in step %d after %s: %s",
			last.Plan.Version, last.Phase, last.Step+1, time.Since(began).Round(rollOutPoll), last.Reason))
		if last.Phase.IsFinal() {
			return
		}
	}
}
