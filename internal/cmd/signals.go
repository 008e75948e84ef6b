package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
)

// The registrations of this file last until the process ends. Undoing one would restore the signal's default action, by which a signal that comes during
// a graceful shutdown ends the process and all requests that it still answers.

// notifyHangUps returns a channel of the SIGHUPs that the process receives from now on.
func notifyHangUps() <-chan os.Signal {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	return hangUps
}

// ignoreClosedLogPipe lets writes to a pipe of the log that its reader has closed fail, instead of ending the process.
func ignoreClosedLogPipe() { signal.Ignore(syscall.SIGPIPE) }

// shutdownContext returns a context that ends with the first SIGTERM or SIGINT. Later ones have no effect.
func shutdownContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
	}()
	return ctx
}

// ignoreHangUps logs each SIGHUP of a node that doesn't reload its settings, until ctx ends.
func ignoreHangUps(ctx context.Context, hangUps <-chan os.Signal, logger log.Interface) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
			logger.Warn("SIGHUP ignored; settings are read only when the node starts")
		}
	}
}
