package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
)

// maxEffects is the maximum number of effects printed for one group of requests.
const maxEffects = 12

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// actionMarks maps an action to the mark at the start of the entity's line.
var actionMarks = map[fleet.Action]string{fleet.ActionAdd: "+", fleet.ActionChange: "~", fleet.ActionRemove: "-"}

func printPlan(out io.Writer, plan fleet.Plan) {
	if len(plan.Changes) == 0 {
		fmt.Fprintf(out, "Nothing changes: revision %d is what the files say.\n", plan.Base)
		return
	}
	fmt.Fprintf(out, "Changes to revision %d:\n", plan.Base)
	for _, change := range plan.Changes {
		fmt.Fprintf(out, "%s %s\n", actionMarks[change.Action], change.EntityID)
		printFields(out, change.Fields)
	}
	fmt.Fprintf(out, "\nTouches %d groups of requests:\n", len(plan.Touches))
	for _, affected := range plan.Touches {
		fmt.Fprintln(out, describeScope(affected))
		printFields(out, affected.Effects[:min(len(affected.Effects), maxEffects)])
		if more := len(affected.Effects) - maxEffects; more > 0 {
			fmt.Fprintf(out, "    and %d more\n", more)
		}
	}
}

// printFindings prints what a configuration says in vain; nothing if it says nothing in vain.
func printFindings(out io.Writer, findings []fleet.Problem) {
	if len(findings) == 0 {
		return
	}
	fmt.Fprintf(out, "\n%d settings that can never match or contradict others:\n", len(findings))
	for _, finding := range findings {
		fmt.Fprintln(out, "    "+finding.String())
	}
}

func describeScope(affected fleet.AffectedScope) string {
	text := fmt.Sprintf("team %s, service %s", affected.Team, affected.Service)
	if affected.Class != "" {
		text += ", class " + string(affected.Class)
	}
	if affected.FailureDomain != "" {
		text += ", in " + string(affected.FailureDomain)
	}
	return text
}

func printFields(out io.Writer, fields []fleet.FieldChange) {
	for _, field := range fields {
		fmt.Fprintf(out, "    %s: %s -> %s\n", field.Path, orUnset(field.From), orUnset(field.To))
	}
}

func orUnset(text string) string {
	if text == "" {
		return "unset"
	}
	return text
}

func printHistory(out io.Writer, deltas []fleet.Delta) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REVISION\tTIME\tAUTHOR\tREASON\tENTITIES\tCHANGE")
	for _, delta := range deltas {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\t%s\n", delta.Revision, delta.Time.Format(time.RFC3339), delta.Author, delta.Reason,
			describeOps(delta.Ops), delta.ID)
	}
	_ = table.Flush()
}

// describeOps names the first three entities and counts the others.
func describeOps(ops []fleet.Op) string {
	const shown = 3
	var names []string
	for _, op := range ops[:min(len(ops), shown)] {
		names = append(names, op.EntityID.String())
	}
	if more := len(ops) - shown; more > 0 {
		names = append(names, fmt.Sprintf("%d more", more))
	}
	return strings.Join(names, ", ")
}

func printExplanation(out io.Writer, e fleet.Explanation) {
	fmt.Fprintf(out, "Revision %d, team %s, service %s", e.Revision, e.Scope.Team, e.Scope.Service)
	if e.Scope.Class != "" {
		fmt.Fprintf(out, ", class %s", e.Scope.Class)
	}
	fmt.Fprintln(out)
	if !e.ServiceAllowed {
		fmt.Fprintln(out, "The team may not call this service.")
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nSETTING\tVALUE\tSET BY")
	for _, setting := range e.Settings {
		fmt.Fprintf(table, "%s\t%s\t%s\n", setting.Name, setting.Value, setting.Origin)
	}
	if len(e.Versions) > 0 {
		fmt.Fprintln(table, "\nVERSION\tSTATE\tALLOWED")
	}
	for _, version := range e.Versions {
		state := string(version.State)
		if version.Withdrawal.Exception != "" {
			state += ", " + version.Withdrawal.String()
		}
		fmt.Fprintf(table, "%s\t%s\t%t\n", version.ID, state, version.Allowed)
	}
	_ = table.Flush()
}
