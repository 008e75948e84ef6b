package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"
)

// addressesTimeout limits the whole look-up.
const addressesTimeout = 10 * time.Second

type addressesOptions struct {
	Caller callerOptions `group:"Caller"`
	Format string        `long:"format" env:"MONSOONRAIL_FORMAT" default:"table" choice:"table" choice:"json" description:"format of the list"`

	std streams
}

func addressesCommand(std streams) subcommand {
	return subcommand{
		name:  "addresses",
		short: "List the nodes that a caller should use",
		long:  "Asks a node which addresses a caller should use, nearest first, and lists them.",
		data:  &addressesOptions{std: std},
	}
}

// Execute implements flags.Commander.
func (o *addressesOptions) Execute([]string) error {
	caller, err := o.Caller.client()
	if err != nil {
		return err
	}
	defer caller.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, addressesTimeout)
	defer cancel()
	addresses, err := caller.Addresses(ctx)
	if err != nil {
		return err
	}
	if o.Format == formatJSON {
		return json.NewEncoder(o.std.out).Encode(addresses)
	}
	table := tabwriter.NewWriter(o.std.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "node\tfailure domain\tweight\turl")
	for _, address := range addresses {
		fmt.Fprintf(table, "%s\t%s\t%.3g\t%s\n", address.Node, address.FailureDomain, address.Weight, address.URL)
	}
	return table.Flush()
}
