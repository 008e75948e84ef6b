package operator

import (
	"context"
	"errors"
	"fmt"
	"html/template"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// homeView is what the first page shows.
type homeView struct {
	Visitor  visitor
	Now      time.Time
	Fleet    string
	Revision api.Revision
	Status   ConfigStatus
	// Behind lists the nodes that lack the revision for too long, Members all. TakingUp counts those that may still be
	// taking it up, Unknown those that told no revision.
	Behind     []Member
	Members    []Member
	TakingUp   int
	Unknown    int
	Stops      []suspect.Stop
	Versions   []Version
	Exceptions []fleet.Exception
	// RollOutsProblem and HistoryProblem say why the lists can't be had.
	RollOuts        []rollout.RollOut
	RollOutsProblem string
	History         []fleet.Delta
	HistoryProblem  string
}

func (p *page) home(w http.ResponseWriter, r *http.Request, by visitor) {
	opts := p.ops.opts
	now := time.Now()
	state := opts.Configs.State()
	view := homeView{
		Visitor: by, Now: now, Fleet: state.Config.Fleet, Revision: state.Revision(), Status: opts.Status(),
		Members: opts.Members(), Stops: opts.Trials.Stops(), Versions: p.ops.Versions("", now),
	}
	for _, member := range view.Members {
		switch {
		case member.IsBehind(view.Revision, view.Status.Since, now):
			view.Behind = append(view.Behind, member)
		case member.Revision == 0:
			view.Unknown++
		case member.Revision < view.Revision:
			view.TakingUp++
		}
	}
	for _, exc := range state.Config.Exceptions {
		if exc.IsActive(now) {
			view.Exceptions = append(view.Exceptions, exc)
		}
	}
	p.readStore(r.Context(), &view)
	p.render(w, http.StatusOK, "home.html", view)
}

// readStore reads what only the key-value service has; the page comes without it if that is out.
func (p *page) readStore(ctx context.Context, view *homeView) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	var reads sync.WaitGroup
	reads.Go(func() {
		found, err := p.ops.opts.RollOuts.List(ctx)
		view.RollOuts = found
		if err != nil {
			view.RollOutsProblem = unwrapped(err)
		}
	})
	reads.Go(func() {
		found, err := p.ops.opts.History.History(ctx, pageHistory)
		view.History = found
		if err != nil {
			view.HistoryProblem = unwrapped(err)
		}
	})
	reads.Wait()
}

func templateFuncs() template.FuncMap {
	return template.FuncMap{
		"age":      age,
		"percent":  func(share float64) string { return fmt.Sprintf("%.3g%%", 100*share) },
		"share":    func(f suspect.Finding) string { return fmt.Sprintf("%.1f%%", 100*f.Version.FailedShare()) },
		"quality":  func(f suspect.Finding) string { return fmt.Sprintf("%.2f", f.Version.MeanQuality()) },
		"nats":     func(f suspect.Finding) string { return fmt.Sprintf("%.1f", max(0, f.Evidence.Total)) },
		"scope":    describeScope,
		"settings": formatSettings,
		"inc":      func(i int) int { return i + 1 },
		"entities": func(d fleet.Delta) string { return strings.Join(entitiesOf(d), ", ") },
		"until":    until,
		"stamp":    func(t time.Time) string { return t.UTC().Format("2 Jan 15:04 UTC") },
		"pick":     newPick,
		"join":     func(items []string) string { return strings.Join(items, ", ") },
		"lower":    func(s fleet.VersionState) string { return strings.ToLower(string(s)) },
	}
}

// pick is a choice of the form.
type pick struct {
	Name    string
	Any     string
	Chosen  string
	Options []string
}

func newPick(name, everything, chosen string, options any) pick {
	chosenFrom := pick{Name: name, Any: everything, Chosen: chosen}
	list := reflect.ValueOf(options)
	for i := range list.Len() {
		chosenFrom.Options = append(chosenFrom.Options, list.Index(i).String())
	}
	return chosenFrom
}

// maxEntities bounds the parts that a change of the history names on the page.
const maxEntities = 6

func entitiesOf(d fleet.Delta) []string {
	var names []string
	for _, op := range d.Ops {
		names = append(names, op.String())
	}
	if extra := len(names) - maxEntities; extra > 0 {
		names = append(slices.Clip(names[:maxEntities]), fmt.Sprintf("%d more", extra))
	}
	return names
}

// age says how long ago a time was, roughly.
func age(now, t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return rough(now.Sub(t)) + " ago"
}

// until says how long it is until a time, roughly.
func until(now, t time.Time) string {
	if t.IsZero() {
		return "until ended"
	}
	return "for " + rough(t.Sub(now))
}

func rough(d time.Duration) string {
	switch {
	case d < time.Minute:
		return fmt.Sprintf("%d s", max(0, int(d.Seconds())))
	case d < time.Hour:
		return fmt.Sprintf("%d min", int(d.Minutes()))
	case d < 48*time.Hour:
		return fmt.Sprintf("%d h", int(d.Hours()))
	default:
		return fmt.Sprintf("%d days", int(d.Hours()/24))
	}
}

func describeScope(s fleet.Scope) string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+" "+value)
		}
	}
	add("team", string(s.Team))
	add("service", string(s.Service))
	add("class", string(s.Class))
	add("version", s.Version.String())
	add("domain", string(s.FailureDomain))
	if len(parts) == 0 {
		return "all requests"
	}
	return strings.Join(parts, ", ")
}

// statusOf returns the HTTP status for an error of the operations.
func statusOf(err error) int {
	var failure *connect.Error
	if !errors.As(protocolError(err), &failure) {
		return http.StatusInternalServerError
	}
	switch failure.Code() {
	case connect.CodePermissionDenied:
		return http.StatusForbidden
	case connect.CodeInvalidArgument:
		return http.StatusBadRequest
	case connect.CodeNotFound:
		return http.StatusNotFound
	case connect.CodeAlreadyExists, connect.CodeAborted, connect.CodeFailedPrecondition:
		return http.StatusConflict
	case connect.CodeUnavailable:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
