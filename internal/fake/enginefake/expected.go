package enginefake

import "github.com/monsoonrail/monsoonrail/pkg/api"

// Expected returns the answer of a version to a request, the same on every deterministic engine with the same versions. ok is false if
// the engine has not loaded the version or is non-deterministic.
func (e *Engine) Expected(request api.ChatRequest, id api.VersionID) (text string, ok bool) {
	return e.ExpectedFrom(request, id, 0)
}

// ExpectedFrom returns the text of Expected without the given number of leading chunks.
func (e *Engine) ExpectedFrom(request api.ChatRequest, id api.VersionID, chunks int) (text string, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	version, ok := e.versions[id]
	if !ok || e.opts.NonDeterministic {
		return "", false
	}
	return e.answerFor(request, version).textFrom(chunks), true
}
