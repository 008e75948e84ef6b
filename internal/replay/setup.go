package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/balance"
	"github.com/monsoonrail/monsoonrail/internal/cascade"
	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// addEntries takes the chat completions of the trace, lap after lap.
func (s *simulation) addEntries(t *trace.Trace) {
	for range max(s.opts.Laps, 1) {
		for i := range t.Entries {
			if t.Entries[i].Kind == trace.KindChat {
				s.entries = append(s.entries, &t.Entries[i])
			}
		}
	}
}

func (s *simulation) addServers() {
	for i, truth := range s.truth.Servers {
		s.servers = append(s.servers, &server{truth: truth})
		s.ids = append(s.ids, api.ServerID(fmt.Sprintf("server-%d", i)))
	}
}

func (s *simulation) addNodes() {
	var members []balance.ServerConfig
	for i, id := range s.ids {
		members = append(members, balance.ServerConfig{ID: id, Slots: s.truth.Servers[i].Slots})
	}
	for i := range s.opts.Nodes {
		n := &node{
			id:       api.Incarnation(fmt.Sprintf("node-%d", i)),
			table:    balance.NewTable(),
			counters: cascade.NewCounters(),
			rng:      rand.New(rand.NewPCG(s.opts.Seed, uint64(i)+1)),
		}
		n.table.SetServers(members)
		if s.opts.Admission {
			n.admission = newAdmission()
		}
		s.nodes = append(s.nodes, n)
	}
}

// addArrivals draws the node of each request, and its time where Load asks for it.
func (s *simulation) addArrivals() {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 0))
	var lapStart, at time.Duration
	gap := s.meanGap()
	lapLength := len(s.entries) / max(s.opts.Laps, 1)
	for i, entry := range s.entries {
		if i > 0 && i%lapLength == 0 {
			lapStart += s.entries[lapLength-1].At
		}
		if s.opts.Load > 0 {
			at += time.Duration(rng.ExpFloat64() * float64(gap))
		} else {
			at = lapStart + entry.At
		}
		r := &request{entry: entry, index: i, lap: i / lapLength, arrived: at, node: s.nodes[rng.IntN(len(s.nodes))]}
		s.at(at, func() { s.arrive(r) })
	}
	s.lastArrival = at
}

// meanGap is the time between arrivals at which the oracle's versions need Load of the capacity.
func (s *simulation) meanGap() time.Duration {
	if s.opts.Load <= 0 {
		return 0
	}
	capacity := 0.0
	for _, server := range s.truth.Servers {
		capacity += float64(server.Slots) * server.Speed
	}
	work := 0.0
	for _, entry := range s.entries {
		version := &s.truth.Versions[s.oracle[entry.Class].best.first]
		work += float64(entry.PromptTokens)/promptRate + float64(entry.AnswerTokens)/(answerRate*version.Speed)
	}
	return time.Duration(work / float64(len(s.entries)) / capacity / s.opts.Load * float64(time.Second))
}

// addSlowdown brings about Options.Slowdown.
func (s *simulation) addSlowdown() {
	slow := s.opts.Slowdown
	if slow.Factor == 0 {
		return
	}
	last := float64(s.lastArrival)
	s.at(time.Duration(slow.From*last), func() { s.servers[slow.Server].slow = slow.Factor })
	s.at(time.Duration(slow.To*last), func() { s.servers[slow.Server].slow = 0 })
}
