package serverchoice

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/balance"
	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// attempt implements router.ServerRun. It must be used by one goroutine at a time.
type attempt struct {
	chooser *Chooser
	server  *registry.Server
	id      balance.AttemptID
	// nextReport is the number of chunks at which the table is next updated.
	nextReport int
}

// Dispatched implements router.ServerChooser.
func (c *Chooser) Dispatched(server *registry.Server, d router.Dispatch) router.ServerRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	table := c.table(server.Service)
	prompt := d.PromptTokens
	if i, ok := table.Find(server.ID); ok && table.CacheHolders(d.Prefix).Has(i) {
		prompt -= d.PrefixTokens
	}
	id := table.RecordDispatch(server.ID, balance.Dispatch{Prefix: d.Prefix, PromptTokens: prompt, Version: d.Version, At: d.At})
	return &attempt{chooser: c, server: server, id: id, nextReport: 1}
}

// LateAfter implements router.ServerRun.
func (a *attempt) LateAfter() time.Duration {
	a.chooser.mu.Lock()
	defer a.chooser.mu.Unlock()
	return a.chooser.table(a.server.Service).LateAfter(a.server.ID, a.id)
}

// Progressed implements router.ServerRun. It updates the table only when the number of chunks has doubled, so that most chunks take no
// lock.
func (a *attempt) Progressed(chunks int, now time.Time) {
	if chunks < a.nextReport {
		return
	}
	a.nextReport = 2 * chunks
	a.chooser.mu.Lock()
	defer a.chooser.mu.Unlock()
	a.chooser.table(a.server.Service).RecordProgress(a.server.ID, a.id, api.Tokens(chunks), now)
}

// Resumed implements router.ServerRun.
func (a *attempt) Resumed(now time.Time) {
	a.chooser.mu.Lock()
	defer a.chooser.mu.Unlock()
	a.chooser.table(a.server.Service).RecordResume(a.server.ID, a.id, now)
}

// Finished implements router.ServerRun.
func (a *attempt) Finished(completed *router.Completed, now time.Time) {
	a.chooser.mu.Lock()
	defer a.chooser.mu.Unlock()
	table := a.chooser.table(a.server.Service)
	if completed == nil {
		table.RecordFinish(a.server.ID, a.id, nil, now)
		return
	}
	table.RecordFinish(a.server.ID, a.id, &balance.Completion{
		PromptTokens: completed.PromptTokens, AnswerTokens: completed.AnswerTokens, Version: completed.Version,
		FirstToken: completed.FirstToken, Total: completed.Total,
	}, now)
}
