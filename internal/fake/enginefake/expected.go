package enginefake

import "github.com/monsoonrail/monsoonrail/pkg/api"

// Expected returns the text that every deterministic engine of the same versions gives as a version's answer to a request.
func (e *Engine) Expected(request api.ChatRequest, id api.VersionID) (text string, ok bool) {
	return e.ExpectedFrom(request, id, 0)
}

// ExpectedFrom returns what Expected does without the first chunks.
func (e *Engine) ExpectedFrom(request api.ChatRequest, id api.VersionID, chunks int) (text string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	version, ok := e.versions[id]
	if !ok || e.opts.NonDeterministic {
		return "", false
	}
	return e.answerFor(request, version).textFrom(chunks), true
}
