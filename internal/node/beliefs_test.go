package node

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/registry"
)

// told returns the messages and states that were logged since the last call.
func told(lines *memory.Handler) []string {
	var messages []string
	for _, entry := range lines.Entries {
		message := entry.Message
		if state, ok := entry.Fields["state"].(string); ok {
			message += ": " + state
		}
		messages = append(messages, message)
	}
	lines.Entries = nil
	return messages
}

func TestServersAreToldOfWhenTheirStateChanges(t *testing.T) {
	lines := memory.New()
	logger := &log.Logger{Handler: lines}
	known := newBeliefs()
	now := time.Now()
	server := &registry.Server{ID: "s1"}
	all := []*registry.Server{server}

	known.noteServers(logger, all, now)
	qt.Check(t, told(lines), qt.HasLen, 0, qt.Commentf("a new server that is well is no news"))
	server.MarkFailed(now)
	known.noteServers(logger, all, now)
	known.noteServers(logger, all, now.Add(time.Millisecond))
	qt.Check(t, told(lines), qt.DeepEquals, []string{"server state changed: failed"})
	known.noteServers(logger, all, now.Add(time.Minute))
	qt.Check(t, told(lines), qt.DeepEquals, []string{"server state changed: usable"})
	server.MarkLeaving()
	known.noteServers(logger, all, now.Add(time.Minute))
	qt.Check(t, told(lines), qt.DeepEquals, []string{"server state changed: leaving"})
	known.noteServers(logger, nil, now.Add(time.Minute))
	qt.Check(t, told(lines), qt.DeepEquals, []string{"server no longer used"})
}

func TestPeersAreToldOfWhenTheyComeDrainAndGo(t *testing.T) {
	lines := memory.New()
	logger := &log.Logger{Handler: lines}
	known := newBeliefs()
	now := time.Now()
	member := peer.Member{Node: "n2", Incarnation: "i2", LastHeard: now}

	known.notePeers(logger, []peer.Member{member}, now)
	known.notePeers(logger, []peer.Member{member}, now.Add(time.Second))
	qt.Check(t, told(lines), qt.DeepEquals, []string{"peer listed"})
	member.Draining = true
	known.notePeers(logger, []peer.Member{member}, now)
	qt.Check(t, told(lines), qt.DeepEquals, []string{"peer listed"})
	known.notePeers(logger, nil, now.Add(time.Minute))
	qt.Check(t, told(lines), qt.DeepEquals, []string{"peer no longer listed"})
}
