package cmd

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/monsoonrail/monsoonrail/internal/edge"
	"github.com/monsoonrail/monsoonrail/internal/setting"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/platform"
)

type edgeOptions struct {
	std streams
	Log setting.Log
	// Settings is the path of the platform's settings file.
	Settings string `long:"settings" env:"MONSOONRAIL_CONFIG" required:"true" description:"path of the platform's settings file (TOML)"`
}

func edgeCommand(std streams) subcommand {
	return subcommand{
		name:  "edge",
		short: "Run a node on the users' platform",
		long: "Runs one node with the settings file of the users' platform until SIGTERM or SIGINT, then shuts it down gracefully " +
			"within the platform's grace period.",
		data: &edgeOptions{std: std},
	}
}

// Execute implements flags.Commander.
func (o *edgeOptions) Execute([]string) error {
	settings, err := platform.ReadSettings(o.Settings)
	if err != nil {
		return &usageError{cause: err}
	}
	setCollector()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	logger, lines := o.Log.Open(o.std.out)
	defer lines.Close()
	return edge.New(edge.Options{Settings: settings, Network: tcp.System{}, Log: logger}).Run(ctx)
}
