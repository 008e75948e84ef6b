package play

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// crossedShare is the part of the places between chunks that FaultLateAndCross fills with others' chunks.
	crossedShare = 0.05
	// lostShare is the part of the store's writes of which FaultStoreLoses loses the answer.
	lostShare = 0.3
	// badLoss is the quality that FaultBadVersion takes off a version's answers.
	badLoss = 0.5
)

// fault is a fault under way.
type fault struct {
	text string
	// end undoes the fault; nil if there is nothing to undo.
	end func()
}

// carryOutFaults begins and ends every fault at its time and ends those that are left when ctx ends.
func (p *player) carryOutFaults(ctx context.Context) {
	var open sync.WaitGroup
	defer open.Wait()
	began := time.Now()
	rng := rand.New(rand.NewPCG(p.opts.Trace.Header.Seed, 3))
	for _, planned := range p.opts.Trace.Header.Faults {
		if !sleep.For(ctx, time.Until(began.Add(p.scaled(planned.At)))) {
			return
		}
		draw := rng.Uint64()
		open.Go(func() { p.carryOut(ctx, planned, draw) })
	}
}

func (p *player) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / p.opts.Speed)
}

// carryOut begins a fault, waits for its time to pass and ends it.
func (p *player) carryOut(ctx context.Context, planned trace.Fault, draw uint64) {
	under, err := p.begin(ctx, planned, draw)
	if err != nil {
		p.tell(fmt.Sprintf("%s %s: %v", planned.Kind, planned.Target, err))
		return
	}
	p.tell(under.text)
	if under.end == nil {
		return
	}
	if planned.For == 0 {
		<-ctx.Done()
	} else {
		sleep.For(ctx, p.scaled(planned.For))
	}
	under.end()
	p.tell("end of " + under.text)
}

func (p *player) tell(text string) {
	if p.opts.OnFault != nil {
		p.opts.OnFault(text)
	}
}

// ErrUnknownTarget means that a fault names something that the system hasn't.
type ErrUnknownTarget struct {
	Kind   trace.FaultKind
	Target string
}

// Error implements error.
func (e *ErrUnknownTarget) Error() string {
	return fmt.Sprintf("fault %s can't be carried out on %q", e.Kind, e.Target)
}

func (p *player) begin(ctx context.Context, planned trace.Fault, draw uint64) (fault, error) {
	switch planned.Kind {
	case trace.FaultKillNode, trace.FaultDrainNode:
		return p.stopNode(ctx, planned, draw)
	case trace.FaultKillServer, trace.FaultLeaveServer:
		return p.stopServer(planned, draw)
	case trace.FaultSilence:
		return p.silence(planned)
	case trace.FaultStoreOut:
		p.system.KV.StartOutage(kvfake.FaultNoLeader)
		return fault{text: "key-value service out", end: p.system.KV.EndOutage}, nil
	case trace.FaultStoreLoses:
		return p.storeLoses(draw), nil
	case trace.FaultBadVersion:
		return p.spoil(planned)
	case trace.FaultLateAndCross:
		return p.cross(), nil
	case trace.FaultCutNodes:
		return p.cutNodes(planned)
	case trace.FaultWithdraw:
		return p.withdraw(ctx, planned, draw)
	case trace.FaultRollOut:
		return p.rollOut(ctx, planned, draw)
	case trace.FaultPoison:
		return p.sendPoison(ctx, planned), nil
	}
	return fault{}, Error.Wrap(&ErrUnknownTarget{Kind: planned.Kind, Target: planned.Target})
}

// stopNode kills a node or stops it gracefully, and starts it anew at the fault's end.
func (p *player) stopNode(ctx context.Context, planned trace.Fault, draw uint64) (fault, error) {
	i, err := p.findNode(planned, draw)
	if err != nil {
		return fault{}, err
	}
	text := fmt.Sprintf("node-%d killed", i+1)
	if planned.Kind == trace.FaultDrainNode {
		text = fmt.Sprintf("node-%d stopped gracefully", i+1)
		p.system.DrainNode(i)
	} else {
		p.system.KillNode(i)
	}
	restart := func() {
		if err := p.system.StartNode(context.WithoutCancel(ctx), i); err != nil {
			p.tell(fmt.Sprintf("node-%d did not start: %v", i+1, err))
		}
	}
	if planned.For == 0 {
		restart = nil
	}
	return fault{text: text, end: restart}, nil
}

func (p *player) findNode(planned trace.Fault, draw uint64) (int, error) {
	if planned.Target == "" {
		return int(draw % uint64(p.nodes())), nil
	}
	for i := range p.nodes() {
		if planned.Target == fmt.Sprintf("node-%d", i+1) {
			return i, nil
		}
	}
	return 0, Error.Wrap(&ErrUnknownTarget{Kind: planned.Kind, Target: planned.Target})
}

// stopServer kills a server or makes it leave, and brings it back at the fault's end.
func (p *player) stopServer(planned trace.Fault, draw uint64) (fault, error) {
	servers := p.system.Servers()
	i := slices.IndexFunc(servers, func(s fleet.Server) bool { return string(s.ID) == planned.Target })
	if planned.Target == "" {
		i = int(draw % uint64(len(servers)))
	}
	if i < 0 {
		return fault{}, Error.Wrap(&ErrUnknownTarget{Kind: planned.Kind, Target: planned.Target})
	}
	id := servers[i].ID
	if planned.Kind == trace.FaultLeaveServer {
		p.system.LeaveServer(id)
		joined := p.leaving.leave(id)
		return fault{text: string(id) + " leaves", end: func() {
			joined()
			p.system.JoinServer(id)
		}}, nil
	}
	ip, err := p.addressOf(trace.Fault{Target: string(id)})
	if err != nil {
		return fault{}, err
	}
	p.network.SetDown(ip, true)
	p.system.KillServer(id)
	restart := func() {
		p.system.RestartServer(id)
		p.network.SetDown(ip, false)
	}
	return fault{text: string(id) + " killed", end: restart}, nil
}

// silence makes the open connections of a node, of a server or of all hosts silent for good.
func (p *player) silence(planned trace.Fault) (fault, error) {
	ip := ""
	if planned.Target != "" {
		address, err := p.addressOf(planned)
		if err != nil {
			return fault{}, err
		}
		ip = address
	}
	silenced := p.network.Silence(ip)
	return fault{text: fmt.Sprintf("%d connections silent (%s)", silenced, orAll(planned.Target))}, nil
}

func orAll(target string) string {
	if target == "" {
		return "all hosts"
	}
	return target
}

// addressOf returns the IP number of the node or server that a fault names.
func (p *player) addressOf(planned trace.Fault) (string, error) {
	for _, listed := range p.system.Servers() {
		if string(listed.ID) == planned.Target {
			return hostOf(listed.Address)
		}
	}
	i, err := p.findNode(planned, 0)
	if err != nil {
		return "", err
	}
	return hostOf(strings.TrimPrefix(p.system.NodeURL(i), "http://"))
}

func hostOf(address string) (string, error) {
	ip, _, err := net.SplitHostPort(address)
	return ip, Error.Wrap(err)
}

func (p *player) storeLoses(draw uint64) fault {
	rng := rand.New(rand.NewPCG(draw, 4))
	var mu sync.Mutex
	p.system.KV.SetFault(func(kind kvfake.CallKind) kvfake.Fault {
		mu.Lock()
		defer mu.Unlock()
		if kind == kvfake.CallWrite && rng.Float64() < lostShare {
			return kvfake.FaultLoseResponse
		}
		return kvfake.FaultNone
	})
	return fault{text: "key-value service loses answers", end: p.system.KV.EndOutage}
}

func (p *player) spoil(planned trace.Fault) (fault, error) {
	version := api.ParseVersionID(planned.Target)
	if version.Version == "" {
		return fault{}, Error.Wrap(&ErrUnknownTarget{Kind: planned.Kind, Target: planned.Target})
	}
	set := func(loss float64) {
		for _, engine := range p.system.Engines() {
			engine.DegradeAnswers(version, loss)
		}
	}
	set(badLoss)
	end := p.versions.turnBad(version)
	return fault{text: version.String() + " turned bad", end: func() {
		set(0)
		end()
	}}, nil
}

func (p *player) cross() fault {
	set := func(share float64) {
		for _, engine := range p.system.Engines() {
			engine.MixStreams(share)
		}
	}
	set(crossedShare)
	return fault{text: "engines send late and crossed chunks", end: func() { set(0) }}
}

// cutNodes cuts a node from all the others.
func (p *player) cutNodes(planned trace.Fault) (fault, error) {
	cut, err := p.addressOf(planned)
	if err != nil {
		return fault{}, err
	}
	var others []string
	for i := range p.nodes() {
		ip, err := hostOf(strings.TrimPrefix(p.system.NodeURL(i), "http://"))
		if err != nil {
			return fault{}, err
		}
		if ip != cut {
			others = append(others, ip)
		}
	}
	for _, ip := range others {
		p.network.Cut(cut, ip)
	}
	heal := func() {
		for _, ip := range others {
			p.network.Heal(cut, ip)
		}
	}
	return fault{text: planned.Target + " cut from the other nodes", end: heal}, nil
}
