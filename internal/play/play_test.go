package play

import (
	"flag"
	"fmt"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fake/memfault"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/trace"
)

var update = flag.Bool("update", false, "write the traces of testdata/play anew")

// entriesEnv raises the number of entries that TestPlay plays of each trace.
const entriesEnv = "PLAY_ENTRIES"

// traceFile is a trace of testdata/play.
type traceFile struct {
	deployment string
	seed       uint64
	entries    int
	faults     []trace.Fault
	// refused is the largest part of the requests that may be refused: calls that were under way on a killed server
	// or node and may not run again, and callers that met the outage of all nodes that they know.
	refused float64
	// exposure is the largest number of calls that a version may answer after it turned bad in service: tens.
	exposure int
	// needsLoad tells that the trace shows something only with all of its calls, on loopback.
	needsLoad bool
	// noSessions takes the sessions away, whose later calls are pinned and so no part of a roll-out.
	noSessions bool
}

const second = time.Second

// files are the traces of testdata/play, by name. Each meets every fault that the promises are made for.
var files = map[string]traceFile{
	"commons.jsonl.gz": {deployment: "commons", seed: 11, entries: 4000, refused: 0.01, faults: []trace.Fault{
		{At: 40 * second, Kind: trace.FaultKillServer, Target: "tutor-llm-2", For: 60 * second},
		{At: 70 * second, Kind: trace.FaultSilence},
		{At: 110 * second, Kind: trace.FaultKillNode, Target: "node-2", For: 60 * second},
		{At: 190 * second, Kind: trace.FaultSilence, Target: "tutor-llm-1"},
		{At: 220 * second, Kind: trace.FaultStoreOut, For: 180 * second},
		{At: 260 * second, Kind: trace.FaultKillNode, Target: "node-3", For: 60 * second},
		{At: 430 * second, Kind: trace.FaultStoreLoses, For: 90 * second},
		{At: 530 * second, Kind: trace.FaultLateAndCross, For: 90 * second},
		{At: 640 * second, Kind: trace.FaultDrainNode, Target: "node-1", For: 60 * second},
		{At: 720 * second, Kind: trace.FaultLeaveServer, Target: "tutor-llm-4", For: 120 * second},
		{At: 760 * second, Kind: trace.FaultKillServer, Target: "forge-app-1", For: 60 * second},
		{At: 860 * second, Kind: trace.FaultSilence, Target: "node-1"},
		{At: 900 * second, Kind: trace.FaultKillNode, Target: "node-1", For: 30 * second},
	}},
	"reliability.jsonl.gz": {deployment: "commons", seed: 13, entries: 6000, refused: 0.01, faults: rolling()},
	"commons-versions.jsonl.gz": {deployment: "commons", seed: 21, entries: 3200, refused: 0.01, exposure: 100, faults: []trace.Fault{
		{At: 40 * second, Kind: trace.FaultPoison, For: 60 * second},
		{At: 150 * second, Kind: trace.FaultCutNodes, Target: "node-2", For: 90 * second},
		{At: 180 * second, Kind: trace.FaultPoison, For: 30 * second},
		{At: 280 * second, Kind: trace.FaultBadVersion, Target: "swift@3.2", For: 240 * second},
		{At: 340 * second, Kind: trace.FaultCutNodes, Target: "node-1", For: 60 * second},
		{At: 560 * second, Kind: trace.FaultWithdraw, Target: "swift@3.1"},
		{At: 600 * second, Kind: trace.FaultCutNodes, Target: "node-3", For: 60 * second},
		{At: 620 * second, Kind: trace.FaultWithdraw, Target: "scholar@2.0"},
		{At: 640 * second, Kind: trace.FaultKillNode, Target: "node-1", For: 30 * second},
		{At: 720 * second, Kind: trace.FaultPoison, For: 60 * second},
		{At: 730 * second, Kind: trace.FaultKillNode, Target: "node-2", For: 30 * second},
	}},
	"carrasco-versions.jsonl.gz": {deployment: "carrasco", seed: 22, entries: 3200, refused: 0.01, exposure: 100, faults: []trace.Fault{
		{At: 30 * second, Kind: trace.FaultPoison, For: 60 * second},
		{At: 120 * second, Kind: trace.FaultCutNodes, Target: "node-1", For: 90 * second},
		{At: 150 * second, Kind: trace.FaultBadVersion, Target: "letrado@2", For: 180 * second},
		{At: 200 * second, Kind: trace.FaultStoreOut, For: 60 * second},
		{At: 400 * second, Kind: trace.FaultStoreOut, For: 30 * second},
		{At: 410 * second, Kind: trace.FaultWithdraw, Target: "pluma@5"},
		{At: 480 * second, Kind: trace.FaultCutNodes, Target: "node-2", For: 60 * second},
		{At: 490 * second, Kind: trace.FaultPoison, For: 30 * second},
		{At: 560 * second, Kind: trace.FaultKillServer, Target: "redaccion-2", For: 60 * second},
	}},
	"commons-rollout.jsonl.gz": {deployment: "commons", seed: 31, entries: 12_000, needsLoad: true, noSessions: true, faults: []trace.Fault{
		{At: 160 * second, Kind: trace.FaultRollOut, Target: "scholar@2.1"},
	}},
	"commons-rollout-bad.jsonl.gz": {deployment: "commons", seed: 32, entries: 12_000, exposure: 40, needsLoad: true, noSessions: true, faults: []trace.Fault{
		{At: 160 * second, Kind: trace.FaultRollOut, Target: "scholar@2.1"},
		{At: 1040 * second, Kind: trace.FaultBadVersion, Target: "scholar@2.1"},
	}},
	"carrasco.jsonl.gz": {deployment: "carrasco", seed: 12, entries: 4000, refused: 0.01, faults: []trace.Fault{
		{At: 30 * second, Kind: trace.FaultSilence},
		{At: 60 * second, Kind: trace.FaultKillNode, Target: "node-1", For: 60 * second},
		{At: 140 * second, Kind: trace.FaultKillServer, Target: "despacho-2", For: 60 * second},
		{At: 170 * second, Kind: trace.FaultStoreOut, For: 150 * second},
		{At: 200 * second, Kind: trace.FaultKillServer, Target: "redaccion-3", For: 60 * second},
		{At: 340 * second, Kind: trace.FaultStoreLoses, For: 60 * second},
		{At: 420 * second, Kind: trace.FaultLateAndCross, For: 60 * second},
		{At: 500 * second, Kind: trace.FaultDrainNode, Target: "node-2", For: 60 * second},
		{At: 580 * second, Kind: trace.FaultLeaveServer, Target: "redaccion-1", For: 90 * second},
		{At: 620 * second, Kind: trace.FaultKillNode, Target: "node-3", For: 60 * second},
		{At: 700 * second, Kind: trace.FaultSilence, Target: "redaccion-2"},
	}},
}

// rolling are the faults of the reliability run: every node is stopped gracefully and every server killed, one after
// the other, then all of a failure domain at a time, then the key-value service is out for five minutes.
func rolling() []trace.Fault {
	const nodes, engines, plains, domains = 3, 8, 4, 4
	var faults []trace.Fault
	at := 30 * second
	add := func(kind trace.FaultKind, prefix string, n int, lasts time.Duration) {
		faults = append(faults, trace.Fault{At: at, Kind: kind, Target: fmt.Sprintf("%s%d", prefix, n), For: lasts})
	}
	for n := range nodes {
		add(trace.FaultDrainNode, "node-", n+1, 30*second)
		at += 40 * second
	}
	for n := range engines {
		add(trace.FaultKillServer, "tutor-llm-", n+1, 30*second)
		at += 40 * second
	}
	for n := range plains {
		add(trace.FaultKillServer, "forge-app-", n+1, 30*second)
		at += 40 * second
	}
	for domain := range domains {
		if domain < nodes {
			add(trace.FaultKillNode, "node-", domain+1, 60*second)
		}
		for n := domain; n < engines; n += domains {
			add(trace.FaultKillServer, "tutor-llm-", n+1, 60*second)
		}
		add(trace.FaultKillServer, "forge-app-", domain+1, 60*second)
		at += 100 * second
	}
	return append(faults, trace.Fault{At: at, Kind: trace.FaultStoreOut, For: 300 * second})
}

// make returns the trace that a file holds.
func (f traceFile) make(t *testing.T) *trace.Trace {
	t.Helper()
	deployment, err := trace.FindDeployment(f.deployment)
	qt.Assert(t, err, qt.IsNil)
	made, err := trace.Generate(trace.GenerateOptions{
		Deployment: deployment, Seed: f.seed, Entries: f.entries, Faults: f.faults,
		Outcome: trace.Outcome{RefusedShare: f.refused, Exposure: f.exposure},
	})
	qt.Assert(t, err, qt.IsNil)
	for i := range made.Entries {
		if f.noSessions {
			made.Entries[i].Session = ""
		}
	}
	return made
}

func pathOf(name string) string { return filepath.Join("../../testdata/play", name) }

func TestTracesAreThoseOfTheirSeeds(t *testing.T) {
	for name, file := range files {
		made := file.make(t)
		if *update {
			qt.Assert(t, made.WriteFile(pathOf(name)), qt.IsNil)
		}
		read, err := trace.ReadFile(pathOf(name))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, read.Header, qt.DeepEquals, made.Header)
		qt.Assert(t, read.Entries, qt.DeepEquals, made.Entries)
	}
}

// playInMemory plays a trace on a network in memory, in virtual time; no promise may break.
func playInMemory(t *testing.T, played *trace.Trace, system dev.Options) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		made, err := Run(t.Context(), Options{
			Trace:   played,
			System:  system,
			Network: memfault.New(),
			OnFault: func(text string) { t.Logf("%s %s", time.Now().Format("15:04:05"), text) },
		})
		qt.Assert(t, err, qt.IsNil)
		t.Logf("%+v, refusals %v, resumes %d, retries %d, exposure %d", made.Verdict, made.Refusals, made.Resumes, made.Retries, made.Exposure)
		qt.Assert(t, made.Broken, qt.HasLen, 0)
	})
}

// TestPlay plays a part of the calls of each trace, with all of its faults, in virtual time.
func TestPlay(t *testing.T) {
	for name, file := range files {
		if file.needsLoad {
			continue
		}
		t.Run(name, func(t *testing.T) {
			read, err := trace.ReadFile(pathOf(name))
			qt.Assert(t, err, qt.IsNil)
			squeeze(t, read)
			config, err := fleet.Load("../../examples/" + map[string]string{"west-mids": "commons", "sur": "carrasco"}[read.Header.Fleet])
			qt.Assert(t, err, qt.IsNil)
			playInMemory(t, read, dev.Options{Config: config, Nodes: 3, Engines: 8, PlainServers: 4, Seed: 1})
		})
	}
}

// squeeze leaves every nth entry of a trace, so that its faults and its shape stay.
func squeeze(t *testing.T, read *trace.Trace) {
	t.Helper()
	keep := int(numberOf(t, entriesEnv, 200))
	step := max(len(read.Entries)/keep, 1)
	var kept []trace.Entry
	for i := 0; i < len(read.Entries); i += step {
		kept = append(kept, read.Entries[i])
	}
	read.Entries = kept
	read.Header.Entries = len(kept)
}
