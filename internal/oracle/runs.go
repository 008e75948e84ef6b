package oracle

import (
	"cmp"

	"github.com/monsoonrail/monsoonrail/internal/fake/enginefake"
	"github.com/monsoonrail/monsoonrail/internal/fake/plainfake"
	"github.com/monsoonrail/monsoonrail/internal/fake/script"
)

// EngineRuns returns the runs that a stand-in engine recorded.
func EngineRuns(engine *enginefake.Engine) []Run {
	var runs []Run
	for _, run := range engine.Runs() {
		runs = append(runs, Run{
			Server: run.Server, RequestID: run.RequestID, Call: run.Call, At: run.At, Version: run.Version, Began: run.Began, Died: run.Crashed,
		})
	}
	return runs
}

// PlainRuns returns the runs that a stand-in of a plain service recorded. Any byte of a body that arrived counts:
// the service might have acted on it.
func PlainRuns(service *plainfake.Service) []Run {
	var runs []Run
	for _, run := range service.Runs() {
		runs = append(runs, Run{
			Server: run.Server, RequestID: run.RequestID, Call: plainCall(run), At: run.At, Began: true,
		})
	}
	return runs
}

// plainCall returns the call of a run: its mark is in the body or, where there is none, in the query.
func plainCall(run plainfake.Run) string {
	return cmp.Or(script.ParseCall(run.Body), script.ParseCall(run.Query))
}
