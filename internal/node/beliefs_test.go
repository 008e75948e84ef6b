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

// loggedMessages returns the messages and states that were logged since the last call.
func loggedMessages(lines *memory.Handler) []string {
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

func TestServerStateChangesAreLogged(t *testing.T) {
	lines := memory.New()
	logger := &log.Logger{Handler: lines}
	logged := newLoggedStates()
	now := time.Now()
	server := &registry.Server{ID: "s1"}
	all := []*registry.Server{server}

	logged.logServers(logger, all, now)
	qt.Check(t, loggedMessages(lines), qt.HasLen, 0, qt.Commentf("a new usable server is not logged"))
	server.MarkFailed(now)
	logged.logServers(logger, all, now)
	logged.logServers(logger, all, now.Add(time.Millisecond))
	qt.Check(t, loggedMessages(lines), qt.DeepEquals, []string{"server state changed: failed"})
	logged.logServers(logger, all, now.Add(time.Minute))
	qt.Check(t, loggedMessages(lines), qt.DeepEquals, []string{"server state changed: usable"})
	server.MarkLeaving()
	logged.logServers(logger, all, now.Add(time.Minute))
	qt.Check(t, loggedMessages(lines), qt.DeepEquals, []string{"server state changed: leaving"})
	logged.logServers(logger, nil, now.Add(time.Minute))
	qt.Check(t, loggedMessages(lines), qt.DeepEquals, []string{"server no longer used"})
}

func TestPeerChangesAreLogged(t *testing.T) {
	lines := memory.New()
	logger := &log.Logger{Handler: lines}
	logged := newLoggedStates()
	now := time.Now()
	member := peer.Member{Node: "n2", Incarnation: "i2", LastHeard: now}

	logged.logPeers(logger, []peer.Member{member}, now)
	logged.logPeers(logger, []peer.Member{member}, now.Add(time.Second))
	qt.Check(t, loggedMessages(lines), qt.DeepEquals, []string{"peer listed"})
	member.Draining = true
	logged.logPeers(logger, []peer.Member{member}, now)
	qt.Check(t, loggedMessages(lines), qt.DeepEquals, []string{"peer listed"})
	logged.logPeers(logger, nil, now.Add(time.Minute))
	qt.Check(t, loggedMessages(lines), qt.DeepEquals, []string{"peer no longer listed"})
}
