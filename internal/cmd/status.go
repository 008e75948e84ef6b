package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"

	pb "github.com/monsoonrail/monsoonrail/internal/operator/operatorpb"
	"github.com/monsoonrail/monsoonrail/internal/operator/operatorpb/operatorpbconnect"
)

type statusOptions struct {
	operatorFlags
	std streams
}

func statusCommand(std streams) subcommand {
	return subcommand{
		name:  "status",
		short: "Show what is in force, and which nodes are behind",
		long:  "Asks a node's operator API for the configuration in force and since when, the nodes that are behind, and the versions with their state and evidence.",
		data:  &statusOptions{std: std},
	}
}

// Execute implements flags.Commander.
func (o *statusOptions) Execute([]string) error {
	status, err := call(o.operatorFlags, &pb.GetStatusRequest{}, getStatus)
	if err != nil {
		return err
	}
	versions, err := call(o.operatorFlags, &pb.ListVersionsRequest{}, listVersions)
	if err != nil {
		return err
	}
	if o.Format == formatJSON {
		return printStatusJSON(o.std.out, status, versions)
	}
	return o.print(o.std.out, status, func(w io.Writer) {
		writeStatus(w, status)
		writeVersions(w, versions)
	})
}

// printStatusJSON prints the status and the versions as one JSON document.
func printStatusJSON(w io.Writer, status *pb.GetStatusResponse, versions *pb.ListVersionsResponse) error {
	options := protojson.MarshalOptions{EmitUnpopulated: true}
	statusText, err := options.Marshal(status)
	if err != nil {
		return err
	}
	versionsText, err := options.Marshal(versions)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(struct{ Status, Versions json.RawMessage }{statusText, versionsText})
}

func getStatus(c operatorpbconnect.OperatorServiceClient) func(context.Context, *connect.Request[pb.GetStatusRequest]) (*connect.Response[pb.GetStatusResponse], error) {
	return c.GetStatus
}

func listVersions(c operatorpbconnect.OperatorServiceClient) func(context.Context, *connect.Request[pb.ListVersionsRequest]) (*connect.Response[pb.ListVersionsResponse], error) {
	return c.ListVersions
}

func writeStatus(w io.Writer, status *pb.GetStatusResponse) {
	fmt.Fprintf(w, "fleet %s: revision %d in force since %s (node %s)\n", status.Fleet, status.Revision, localTime(status.Since), status.Node)
	fmt.Fprintf(w, "key-value service: %s %s\n", status.Store, status.Detail)
	for _, stop := range status.Stops {
		fmt.Fprintf(w, "STOPPED %s %s by %s at %s: %s\n", stop.Service, stop.Version, stop.Node, localTime(stop.At), stop.Reason)
	}
	fmt.Fprintln(w, "\nNODE\tFAILURE DOMAIN\tREVISION\tSTATE\tHEARD")
	for _, node := range status.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", node.Node, node.FailureDomain, node.Revision, nodeState(node, status.Revision), localTime(node.LastHeard))
	}
}

func nodeState(node *pb.NodeStatus, newest int32) string {
	switch {
	case node.Draining:
		return "draining"
	case node.Behind:
		return "BEHIND"
	case node.Revision == 0:
		return "unknown"
	case node.Revision < newest:
		return "taking it up"
	default:
		return "in step"
	}
}

func writeVersions(w io.Writer, versions *pb.ListVersionsResponse) {
	fmt.Fprintln(w, "\nSERVICE\tVERSION\tSTATE\tSHARE\tCLASS\tREQUESTS\tFAILED\tRATING\tAGAINST")
	for _, version := range versions.Versions {
		head := fmt.Sprintf("%s\t%s\t%s\t%g", version.Service, version.Version, version.State, version.Share)
		if len(version.Evidence) == 0 {
			fmt.Fprintf(w, "%s\t\t\t\t\t\n", head)
		}
		for _, e := range version.Evidence {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.2f\t%.1f\n", head, e.Class, e.Requests, e.Failed, e.MeanQuality, e.Nats)
		}
	}
}
