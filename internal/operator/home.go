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

// homeView is the data of the start page's template.
type homeView struct {
	Visitor  visitor
	Now      time.Time
	Fleet    string
	Revision api.Revision
	Status   ConfigStatus
	// Members lists all nodes, and Behind those for which Member.IsBehind holds. TakingUp counts the other nodes with an older
	// revision, which may still be applying the current one; Unknown counts the nodes whose revision is unknown.
	Behind     []Member
	Members    []Member
	TakingUp   int
	Unknown    int
	Stops      []suspect.Stop
	Versions   []Version
	Exceptions []fleet.Exception
	// RollOutsProblem and HistoryProblem are the error messages if RollOuts or History could not be read; empty otherwise.
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

// readStore reads the roll-outs and the history, which only the key-value service has. If it is unavailable, the page is rendered
// without them.
func (p *page) readStore(ctx context.Context, view *homeView) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	var reads sync.WaitGroup
	reads.Go(func() {
		found, err := p.ops.opts.RollOuts.List(ctx)
		view.RollOuts = found
		if err != nil {
			view.RollOutsProblem = rootMessage(err)
		}
	})
	reads.Go(func() {
		found, err := p.ops.opts.History.History(ctx, pageHistoryLimit)
		view.History = found
		if err != nil {
			view.HistoryProblem = rootMessage(err)
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
		"pick":     newSelectField,
		"join":     func(items []string) string { return strings.Join(items, ", ") },
		"lower":    func(s fleet.VersionState) string { return strings.ToLower(string(s)) },
	}
}

// selectField is the data of a select element of the form. Any is the label of the empty option.
type selectField struct {
	Name    string
	Any     string
	Chosen  string
	Options []string
}

func newSelectField(name, anyLabel, chosen string, options any) selectField {
	field := selectField{Name: name, Any: anyLabel, Chosen: chosen}
	list := reflect.ValueOf(options)
	for i := range list.Len() {
		field.Options = append(field.Options, list.Index(i).String())
	}
	return field
}

// maxEntities is the maximum number of entities listed for a change in the history on the page.
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

// age formats the time elapsed since t, rounded down to a whole unit.
func age(now, t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return roughDuration(now.Sub(t)) + " ago"
}

// until formats the time left until t, rounded down to a whole unit. A zero t means no expiry.
func until(now, t time.Time) string {
	if t.IsZero() {
		return "until ended"
	}
	return "for " + roughDuration(t.Sub(now))
}

func roughDuration(d time.Duration) string {
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
