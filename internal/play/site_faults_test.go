package play

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/trace"
)

// faultKinds are the kinds that a day draws from.
var faultKinds = []trace.FaultKind{
	trace.FaultKillNode, trace.FaultDrainNode, trace.FaultKillServer, trace.FaultLeaveServer, trace.FaultSilence, trace.FaultStoreOut,
	trace.FaultStoreLoses, trace.FaultLateAndCross, trace.FaultCutNodes, trace.FaultPoison,
}

// nodeStops and serverStops are the kinds that keep a node or a server from taking part.
var (
	nodeStops   = []trace.FaultKind{trace.FaultKillNode, trace.FaultDrainNode, trace.FaultCutNodes}
	serverStops = []trace.FaultKind{trace.FaultKillServer, trace.FaultLeaveServer}
)

// drawFaults draws a day that holds every kind of fault the given number of times, in any order, some at once. A target meets
// one fault at a time, and at least one node and half of each service's servers run at any moment.
func drawFaults(rng *rand.Rand, s site, times int) []trace.Fault {
	var kinds []trace.FaultKind
	for range times {
		kinds = append(kinds, faultKinds...)
	}
	rng.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	var day []trace.Fault
	at := 10 * time.Second
	for _, kind := range kinds {
		drawn := trace.Fault{At: at, Kind: kind, For: 5*time.Second + time.Duration(rng.IntN(40))*time.Second}
		at += time.Duration(rng.IntN(30)) * time.Second
		drawn.Target = s.drawTarget(rng, kind)
		if kind == trace.FaultSilence {
			drawn.For = 0
		}
		if allowed(s, day, drawn) {
			day = append(day, drawn)
		}
	}
	return day
}

// drawTarget draws what a fault of a kind hits; empty where it hits no one thing.
func (s site) drawTarget(rng *rand.Rand, kind trace.FaultKind) string {
	node := fmt.Sprintf("node-%d", 1+rng.IntN(s.nodes))
	server := fmt.Sprintf("%s-%d", siteEngine, 1+rng.IntN(s.engines))
	if rng.IntN(2) == 0 {
		server = fmt.Sprintf("%s-%d", sitePlain, 1+rng.IntN(s.plains))
	}
	switch {
	case slices.Contains(nodeStops, kind):
		return node
	case slices.Contains(serverStops, kind):
		return server
	case kind == trace.FaultSilence:
		return []string{"", node, server}[rng.IntN(3)]
	}
	return ""
}

// allowed tells whether a fault leaves enough of the site running beside those of the day that are not over yet.
func allowed(s site, day []trace.Fault, drawn trace.Fault) bool {
	nodes, servers := 0, 0
	count := func(f trace.Fault) (stops bool) {
		switch {
		case slices.Contains(nodeStops, f.Kind):
			nodes++
		case slices.Contains(serverStops, f.Kind):
			servers++
		default:
			return false
		}
		return true
	}
	for _, before := range day {
		isOver := before.At+before.For+restartTime < drawn.At
		if !isOver && count(before) && before.Target == drawn.Target {
			return false
		}
	}
	count(drawn)
	return nodes < s.nodes && servers <= min(s.engines, s.plains)/2
}

// restartTime is how long after a fault's end its target takes part again at the latest.
const restartTime = 10 * time.Second
