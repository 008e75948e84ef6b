package cmd

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/setting"
)

type devOptions struct {
	std     streams
	Config  string      `long:"config" env:"MONSOONRAIL_DEV_CONFIG" default:"examples/commons" description:"folder of the fleet's configuration"`
	Nodes   int         `long:"nodes" env:"MONSOONRAIL_DEV_NODES" default:"3" description:"nodes, in one failure domain after the other"`
	Engines int         `long:"engines" env:"MONSOONRAIL_DEV_ENGINES" default:"6" description:"servers of each engine service"`
	Plains  int         `long:"plains" env:"MONSOONRAIL_DEV_PLAINS" default:"2" description:"servers of each plain service"`
	Prefix  string      `long:"prefix" env:"MONSOONRAIL_DEV_PREFIX" default:"127.1" description:"first two numbers of every loopback address"`
	Seed    uint64      `long:"seed" env:"MONSOONRAIL_DEV_SEED" default:"1" description:"seed of everything random"`
	Log     setting.Log `group:"Log"`
	Playing playOptions `group:"Play"`
	// Resources are those of all nodes together.
	Resources setting.Resources `group:"Resources"`
}

func devCommand(std streams) subcommand {
	return subcommand{
		name:  "dev",
		short: "Run a whole system on loopback",
		long: "Starts nodes in different failure domains with stand-ins for engines, plain services and the platform, " +
			"all in one process on loopback, and runs until interrupted; with --play it plays a trace and ends.",
		data: &devOptions{std: std},
	}
}

// Execute implements flags.Commander.
func (o *devOptions) Execute([]string) error {
	config, err := fleet.Load(o.Config)
	if err != nil {
		return &usageError{cause: err}
	}
	if err := o.Resources.Check(); err != nil {
		return &usageError{cause: err}
	}
	setGCPercent()
	limitRuntime(o.Resources)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	opts := dev.Options{
		Config: config, Nodes: o.Nodes, Engines: o.Engines, PlainServers: o.Plains,
		Prefix: o.Prefix, Seed: o.Seed, LogOutput: o.std.err, Log: o.Log, Resources: o.Resources,
	}
	if o.Playing.Play != "" {
		return o.Playing.run(ctx, o.std, opts)
	}
	system, err := dev.Start(ctx, opts)
	if err != nil {
		return err
	}
	defer system.Close()
	o.printWelcome(system, config)
	<-ctx.Done()
	return nil
}

func (o *devOptions) printWelcome(system *dev.System, config *fleet.Config) {
	team := config.Teams[0].Name
	fmt.Fprintf(o.std.out, "%d nodes of fleet %s are up. Try:\n\n", o.Nodes, config.Fleet)
	fmt.Fprintf(o.std.out, "curl -N %s/v1/chat/completions -H 'Authorization: Bearer key-%s' -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"auto\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"Explain this commit\"}]}'\n\n",
		system.NodeURL(0), team)
	fmt.Fprintf(o.std.out, "Operators' page: %s/operator/ with the key %s\n\n", system.NodeURL(0), dev.OperatorKey)
	fmt.Fprintln(o.std.out, "Ctrl-C ends it.")
}
