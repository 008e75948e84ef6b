// Command spread measures how fast accepted changes are in force on nodes that run as processes. It is started by
// experiments/processes.sh and starts nothing itself.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/jessevdk/go-flags"
	"github.com/zeebo/errs"
	"google.golang.org/protobuf/types/known/structpb"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	pb "github.com/monsoonrail/monsoonrail/internal/operator/operatorpb"
	"github.com/monsoonrail/monsoonrail/internal/operator/operatorpb/operatorpbconnect"
)

// Error is the class of every error of the command.
var Error = errs.Class("spread")

const (
	// callTimeout bounds one call of a node.
	callTimeout = 5 * time.Second
	// awaitTimeout bounds the wait for a change on every node.
	awaitTimeout = time.Minute
	// poll is the time between two looks at nodes that lack a change.
	poll = 100 * time.Millisecond
	// pause lies between two changes.
	pause = 500 * time.Millisecond
)

type options struct {
	Nodes   string `long:"nodes" required:"true" description:"file with the IP number of a node at the begin of each line"`
	Accept  string `long:"accept" required:"true" description:"IP number of the node that accepts the changes"`
	Changes int    `long:"changes" default:"20" description:"changes to make; 0 only waits until all nodes are at the newest revision"`
	Name    string `long:"name" default:"spread" description:"begins the names of the changes"`
}

// ErrNotInForce means that a node did not reach a revision in time.
type ErrNotInForce struct {
	IP       string
	Revision int32
}

// Error implements error.
func (e *ErrNotInForce) Error() string {
	return fmt.Sprintf("revision %d is not in force on %s after %s", e.Revision, e.IP, awaitTimeout)
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opts options) error {
	raw, err := os.ReadFile(opts.Nodes)
	if err != nil {
		return Error.Wrap(err)
	}
	var nodes []string
	for line := range strings.Lines(string(raw)) {
		nodes = append(nodes, strings.Fields(line)[0])
	}
	if opts.Changes == 0 {
		return awaitNewest(nodes, opts.Accept)
	}
	var all, last []time.Duration
	for i := range opts.Changes {
		took, err := change(nodes, opts.Accept, fmt.Sprintf("%s-%d", opts.Name, i))
		if err != nil {
			return err
		}
		all = append(all, took...)
		last = append(last, slices.Max(took))
		time.Sleep(pause)
	}
	slices.Sort(all)
	slices.Sort(last)
	fmt.Printf("%d changes on %d nodes: in force p50 %s, p99 %s, max %s; on the last node of each change p50 %s\n",
		opts.Changes, len(nodes), all[len(all)/2], all[len(all)*99/100], all[len(all)-1], last[len(last)/2])
	return nil
}

func operatorOf(ip string) operatorpbconnect.OperatorServiceClient {
	return dev.NewOperatorClient("http://"+ip+":8080", http.DefaultClient)
}

// change has a change accepted and returns the time from the operator's call until it was in force on each node.
func change(nodes []string, accept, name string) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	set, err := structpb.NewStruct(map[string]any{"Exploration": 0.01})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	called := time.Now()
	resp, err := operatorOf(accept).AddException(ctx, connect.NewRequest(&pb.AddExceptionRequest{ChangeId: name, Exception: &pb.Exception{
		Id: name, Scope: &pb.Scope{Team: "lessons"}, Set: set, Reason: "a measurement",
	}}))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return await(nodes, resp.Msg.Revision, called)
}

// await waits for a revision on every node; the time is that at which the node itself says it came into force.
func await(nodes []string, revision int32, from time.Time) ([]time.Duration, error) {
	took := make([]time.Duration, len(nodes))
	failed := make([]error, len(nodes))
	var asking sync.WaitGroup
	for i, ip := range nodes {
		asking.Go(func() { took[i], failed[i] = awaitNode(ip, revision, from) })
	}
	asking.Wait()
	for _, err := range failed {
		if err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return took, nil
}

func awaitNode(ip string, revision int32, from time.Time) (time.Duration, error) {
	for time.Since(from) < awaitTimeout {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		status, err := operatorOf(ip).GetStatus(ctx, connect.NewRequest(&pb.GetStatusRequest{}))
		cancel()
		if err == nil && status.Msg.Revision >= revision {
			return status.Msg.Since.AsTime().Sub(from), nil
		}
		time.Sleep(poll)
	}
	return 0, &ErrNotInForce{IP: ip, Revision: revision}
}

// awaitNewest waits until every node is at the revision of the accepting one.
func awaitNewest(nodes []string, accept string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	began := time.Now()
	status, err := operatorOf(accept).GetStatus(ctx, connect.NewRequest(&pb.GetStatusRequest{}))
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := await(nodes, status.Msg.Revision, began); err != nil {
		return err
	}
	fmt.Printf("%d nodes at revision %d after %s\n", len(nodes), status.Msg.Revision, time.Since(began).Round(time.Millisecond))
	return nil
}
