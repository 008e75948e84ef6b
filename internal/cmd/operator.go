package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/monsoonrail/monsoonrail/internal/operator/operatorpb/operatorpbconnect"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

// operatorFlags holds the flags of the subcommands that call the operator API.
type operatorFlags struct {
	Nodes   []string      `long:"node" env:"MONSOONRAIL_NODE_URLS" env-delim:"," required:"true" description:"base URL of a node; may be repeated: the next one is asked if one is not reached"`
	Key     string        `long:"key" env:"MONSOONRAIL_OPERATOR_KEY" required:"true" description:"operator key; best given by the environment, where other users don't see it"`
	Timeout time.Duration `long:"timeout" env:"MONSOONRAIL_OPERATOR_TIMEOUT" default:"10s" description:"how long to wait for each node"`
	Format  string        `long:"format" default:"text" choice:"text" choice:"json" description:"what is printed"`
}

// bearerTransport adds the operator's key to each request.
type bearerTransport struct {
	key  string
	next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (b bearerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	req.Header.Set("Authorization", "Bearer "+b.key)
	return b.next.RoundTrip(req)
}

// call sends a call to the nodes in turn until one is reachable. Calls that make a change carry an id, so that a repeated call after a
// lost response takes effect only once.
func call[Req, Resp any](f operatorFlags, msg *Req, method func(operatorpbconnect.OperatorServiceClient) func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)) (*Resp, error) {
	transport := tcp.NewTransport(tcp.System{})
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: bearerTransport{key: f.Key, next: transport}}
	var err error
	for _, node := range f.Nodes {
		var resp *connect.Response[Resp]
		resp, err = callNode(f, method(operatorpbconnect.NewOperatorServiceClient(client, strings.TrimSuffix(node, "/"))), msg)
		if err == nil {
			return resp.Msg, nil
		}
		if code := connect.CodeOf(err); code != connect.CodeUnavailable && code != connect.CodeDeadlineExceeded {
			break
		}
	}
	return nil, err
}

func callNode[Req, Resp any](f operatorFlags, do func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error), msg *Req) (*connect.Response[Resp], error) {
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	resp, err := do(ctx, connect.NewRequest(msg))
	var failure *connect.Error
	if errors.As(err, &failure) && (failure.Code() == connect.CodeInvalidArgument || failure.Code() == connect.CodeUnauthenticated) {
		return nil, &usageError{cause: err}
	}
	return resp, err
}

// print prints a message as JSON or, in the text format, as the columns that write produces.
func (f operatorFlags) print(out io.Writer, msg proto.Message, write func(w io.Writer)) error {
	if f.Format == formatJSON {
		text, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(msg)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(out, string(text))
		return err
	}
	columns := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	write(columns)
	return columns.Flush()
}

func localTime(t *timestamppb.Timestamp) string {
	if t == nil {
		return "never"
	}
	return t.AsTime().Local().Format(time.DateTime)
}
