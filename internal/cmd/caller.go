package cmd

import (
	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/pkg/client"
)

// callerOptions holds the options of the subcommands that call a fleet as a team.
type callerOptions struct {
	Nodes         []string `long:"node" env:"MONSOONRAIL_NODES" env-delim:"," required:"true" description:"base URL of a node to ask for the addresses, such as http://10.0.0.1:8080; may be given several times"`
	Key           string   `long:"key" env:"MONSOONRAIL_KEY" required:"true" description:"the team's bearer key"`
	FailureDomain string   `long:"failure-domain" env:"MONSOONRAIL_FAILURE_DOMAIN" description:"failure domain of the caller, so that near nodes come first"`
}

func (o *callerOptions) client() (*client.Client, error) {
	c, err := client.New(client.Options{Nodes: o.Nodes, Key: o.Key, FailureDomain: api.FailureDomain(o.FailureDomain)})
	if err != nil {
		return nil, &usageError{cause: err}
	}
	return c, nil
}
