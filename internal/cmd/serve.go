package cmd

import (
	"context"

	"github.com/monsoonrail/monsoonrail/internal/node"
	"github.com/monsoonrail/monsoonrail/internal/setting"
	"github.com/monsoonrail/monsoonrail/internal/standalone"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

type serveOptions struct {
	std streams
	setting.Settings
}

func serveCommand(std streams) subcommand {
	return subcommand{
		name:  "serve",
		short: "Run a node",
		long: "Runs one node until SIGTERM or SIGINT, then shuts it down gracefully: it leaves the address answers, " +
			"serves for as long as it promised addresses, and ends once no request runs.",
		data: &serveOptions{std: std},
	}
}

// Execute implements flags.Commander.
func (o *serveOptions) Execute([]string) error {
	hangUps := notifyHangUps()
	ignoreClosedLogPipe()
	if err := o.Settings.Check(); err != nil {
		return &usageError{cause: err}
	}
	setGCPercent()
	limitRuntime(o.Resources)
	ctx := shutdownContext()
	logger, lines := o.Settings.Log.Open(o.std.out)
	defer lines.Close()
	watching, endWatch := context.WithCancel(context.Background())
	defer endWatch()
	go ignoreHangUps(watching, hangUps, logger)
	services := standalone.New(standalone.Options{Settings: o.Settings.Platform, Network: tcp.System{}, Log: logger})
	defer services.Close()
	n, err := node.New(ctx, node.Options{
		Settings: o.Settings, Platform: services.Platform, Network: tcp.System{}, Log: logger,
		LogDropped: func() int64 { return lines.Dropped().Total() },
	})
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
