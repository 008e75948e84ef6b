package cmd

import (
	"fmt"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/follower"
	pb "github.com/monsoonrail/monsoonrail/internal/operator/operatorpb"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// nodeTimeout limits each call that asks a node for the revision in force.
const nodeTimeout = 5 * time.Second

// nodeFlags holds the flags for asking nodes whether the key-value service has every revision that is in force.
type nodeFlags struct {
	Nodes        []string `long:"node" env:"MONSOONRAIL_NODE_URLS" env-delim:"," description:"base URL of a node, which is asked whether the key-value service has all that is in force; may be repeated: the next one is asked if one is not reached"`
	Key          string   `long:"key" env:"MONSOONRAIL_OPERATOR_KEY" description:"operator key for the nodes"`
	WithoutNodes bool     `long:"without-nodes" description:"ask no node; only for a fleet of which no node runs"`
}

// serviceOlderError means that the key-value service lacks revisions that are in force on nodes, so a change would reuse the number of
// one of them.
type serviceOlderError struct {
	Node            string
	Store           string
	InForce, Stored api.Revision
}

// Error implements error.
func (e *serviceOlderError) Error() string {
	return fmt.Sprintf("not accepted: node %s has revision %d in force and finds the key-value service %s, which is at revision %d; "+
		"nodes write back what it lacks, try again in some seconds", e.Node, e.InForce, e.Store, e.Stored)
}

// checkRevision returns an error if the nodes have a revision in force that is newer than stored, if the answering node reports an
// alarming state of the key-value service, or if no node answers. With WithoutNodes it checks nothing.
func (f nodeFlags) checkRevision(stored api.Revision) error {
	if f.WithoutNodes {
		return nil
	}
	if len(f.Nodes) == 0 || f.Nodes[0] == "" {
		return &usageError{cause: errMissingFlag("--node", "MONSOONRAIL_NODE_URLS", "base URLs of nodes, or --without-nodes for a fleet of which no node runs")}
	}
	if f.Key == "" {
		return &usageError{cause: errMissingFlag("--key", "MONSOONRAIL_OPERATOR_KEY", "an operator's key")}
	}
	status, err := call(operatorFlags{Nodes: f.Nodes, Key: f.Key, Timeout: nodeTimeout}, &pb.GetStatusRequest{}, getStatus)
	if err != nil {
		return err
	}
	inForce := status.Revision
	for _, node := range status.Nodes {
		inForce = max(inForce, node.Revision)
	}
	if api.Revision(inForce) > stored || follower.ServiceState(status.Store).IsAlarm() {
		return &serviceOlderError{Node: status.Node, Store: status.Store, InForce: api.Revision(inForce), Stored: stored}
	}
	return nil
}
