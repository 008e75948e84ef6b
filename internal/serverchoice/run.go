package serverchoice

import (
	"time"

	"github.com/monsoonrail/monsoonrail/internal/balance"
	"github.com/monsoonrail/monsoonrail/internal/registry"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// run implements router.ServerRun. One goroutine calls it.
type run struct {
	choice *Chooser
	server *registry.Server
	id     balance.AttemptID
	// next is the number of chunks from which the table is told again.
	next int
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
	return &run{choice: c, server: server, id: id, next: 1}
}

// LateAfter implements router.ServerRun.
func (r *run) LateAfter() time.Duration {
	r.choice.mu.Lock()
	defer r.choice.mu.Unlock()
	return r.choice.table(r.server.Service).LateAfter(r.server.ID, r.id)
}

// Progressed implements router.ServerRun. The table wants to know only of each doubling, so that most chunks take no lock.
func (r *run) Progressed(chunks int, now time.Time) {
	if chunks < r.next {
		return
	}
	r.next = 2 * chunks
	r.choice.mu.Lock()
	defer r.choice.mu.Unlock()
	r.choice.table(r.server.Service).RecordProgress(r.server.ID, r.id, api.Tokens(chunks), now)
}

// Resumed implements router.ServerRun.
func (r *run) Resumed(now time.Time) {
	r.choice.mu.Lock()
	defer r.choice.mu.Unlock()
	r.choice.table(r.server.Service).RecordResume(r.server.ID, r.id, now)
}

// Finished implements router.ServerRun.
func (r *run) Finished(done *router.Completed, now time.Time) {
	r.choice.mu.Lock()
	defer r.choice.mu.Unlock()
	table := r.choice.table(r.server.Service)
	if done == nil {
		table.RecordFinish(r.server.ID, r.id, nil, now)
		return
	}
	table.RecordFinish(r.server.ID, r.id, &balance.Completion{
		PromptTokens: done.PromptTokens, AnswerTokens: done.AnswerTokens, Version: done.Version,
		FirstToken: done.FirstToken, Total: done.Total,
	}, now)
}
