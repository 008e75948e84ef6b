package cmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	pb "github.com/monsoonrail/monsoonrail/internal/operator/operatorpb"
	"github.com/monsoonrail/monsoonrail/internal/operator/operatorpb/operatorpbconnect"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
)

// rollOutOptions holds the subcommands of "monsoonrail rollout".
type rollOutOptions struct {
	Start  rollOutStartOptions  `command:"start" description:"Begin to bring a candidate into service"`
	Status rollOutStatusOptions `command:"status" description:"Show the newest roll-out of each service"`
	Pause  rollOutPauseOptions  `command:"pause" description:"Give the candidate no new requests"`
	Resume rollOutResumeOptions `command:"resume" description:"Go on with the step that was paused"`
	Abort  rollOutAbortOptions  `command:"abort" description:"Withdraw the candidate and unload it"`
}

func rollOutCommand(std streams) subcommand {
	return subcommand{
		name:  "rollout",
		short: "Start, watch and steer roll-outs",
		long:  "Starts, watches, pauses, resumes and aborts roll-outs over a node's operator API.",
		data: &rollOutOptions{
			Start:  rollOutStartOptions{std: std},
			Status: rollOutStatusOptions{std: std},
			Pause:  rollOutPauseOptions{rollOutCommandOptions{std: std}},
			Resume: rollOutResumeOptions{rollOutCommandOptions{std: std}},
			Abort:  rollOutAbortOptions{rollOutCommandOptions{std: std}},
		},
	}
}

// Execute implements flags.Commander; the parser has run the subcommand already.
func (o *rollOutOptions) Execute([]string) error { return nil }

type rollOutStartOptions struct {
	operatorFlags
	File         string `long:"file" description:"plan in YAML, as kept in version control; starting it twice starts it once"`
	Service      string `long:"service" description:"engine service (required without --file)"`
	Version      string `long:"version" description:"candidate, as model@version (required without --file)"`
	Control      string `long:"control" description:"serving version that it is compared with (required without --file)"`
	Reason       string `long:"reason" description:"why; shown in the history (required without --file)"`
	DrainControl bool   `long:"drain-control" description:"give the control no new sessions once the candidate serves"`
	std          streams
}

// Execute implements flags.Commander.
func (o *rollOutStartOptions) Execute([]string) error {
	msg, err := o.message()
	if err != nil {
		return &usageError{cause: err}
	}
	started, err := call(o.operatorFlags, msg, startRollOut)
	if err != nil {
		return err
	}
	return o.print(o.std.out, started, func(w io.Writer) { writeRollOuts(w, started) })
}

// message returns the request for the plan in the file or, without a file, in the flags. The node validates it.
func (o *rollOutStartOptions) message() (*pb.StartRollOutRequest, error) {
	if o.File == "" {
		return &pb.StartRollOutRequest{
			Id: uuid.NewString()[:8], Service: o.Service, Version: o.Version, Control: o.Control, Reason: o.Reason, DrainControl: o.DrainControl,
		}, nil
	}
	data, err := os.ReadFile(o.File)
	if err != nil {
		return nil, err
	}
	plan, err := rollout.DecodePlan(data)
	if err != nil {
		return nil, err
	}
	msg := &pb.StartRollOutRequest{
		Id: string(plan.ID), Service: string(plan.Service), Version: plan.Version.String(), Control: plan.Control.String(),
		Reason: plan.Reason, DrainControl: plan.DrainControl, FalseAlarm: plan.FalseAlarm,
	}
	if plan.Patience != 0 {
		msg.Patience = plan.Patience.String()
	}
	for _, step := range plan.Steps {
		msg.Steps = append(msg.Steps, &pb.Step{
			Share: step.Share, Requests: int32(step.Requests), Dwell: step.Dwell.String(), Window: int32(step.Window),
		})
	}
	return msg, nil
}

func startRollOut(c operatorpbconnect.OperatorServiceClient) func(context.Context, *connect.Request[pb.StartRollOutRequest]) (*connect.Response[pb.RollOut], error) {
	return c.StartRollOut
}

type rollOutStatusOptions struct {
	operatorFlags
	std streams
}

// Execute implements flags.Commander.
func (o *rollOutStatusOptions) Execute([]string) error {
	list, err := call(o.operatorFlags, &pb.ListRollOutsRequest{}, listRollOuts)
	if err != nil {
		return err
	}
	return o.print(o.std.out, list, func(w io.Writer) { writeRollOuts(w, list.RollOuts...) })
}

func listRollOuts(c operatorpbconnect.OperatorServiceClient) func(context.Context, *connect.Request[pb.ListRollOutsRequest]) (*connect.Response[pb.ListRollOutsResponse], error) {
	return c.ListRollOuts
}

// rollOutCommandOptions holds the options that pause, resume and abort share.
type rollOutCommandOptions struct {
	operatorFlags
	Service string `long:"service" required:"true" description:"service whose roll-out is meant"`
	Reason  string `long:"reason" required:"true" description:"why; shown in the history"`
	std     streams
}

func (o *rollOutCommandOptions) send(command string) error {
	msg := &pb.CommandRollOutRequest{Service: o.Service, Command: command, Reason: o.Reason}
	updated, err := call(o.operatorFlags, msg, commandRollOut)
	if err != nil {
		return err
	}
	return o.print(o.std.out, updated, func(w io.Writer) { writeRollOuts(w, updated) })
}

func commandRollOut(c operatorpbconnect.OperatorServiceClient) func(context.Context, *connect.Request[pb.CommandRollOutRequest]) (*connect.Response[pb.RollOut], error) {
	return c.CommandRollOut
}

type (
	rollOutPauseOptions  struct{ rollOutCommandOptions }
	rollOutResumeOptions struct{ rollOutCommandOptions }
	rollOutAbortOptions  struct{ rollOutCommandOptions }
)

// Execute implements flags.Commander.
func (o *rollOutPauseOptions) Execute([]string) error { return o.send("pause") }

// Execute implements flags.Commander.
func (o *rollOutResumeOptions) Execute([]string) error { return o.send("resume") }

// Execute implements flags.Commander.
func (o *rollOutAbortOptions) Execute([]string) error { return o.send("abort") }

func writeRollOuts(w io.Writer, rollOuts ...*pb.RollOut) {
	fmt.Fprintln(w, "SERVICE\tVERSION\tCONTROL\tPHASE\tSTEP\tSHARE\tSINCE\tBY\tREASON")
	for _, r := range rollOuts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d/%d\t%g\t%s\t%s\t%s\n",
			r.Service, r.Version, r.Control, r.Phase, r.Step, r.Steps, r.Share, localTime(r.Since), r.By, r.Reason)
	}
}
