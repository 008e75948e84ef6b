package cmd

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/edge"
	"github.com/monsoonrail/monsoonrail/internal/setting"
	"github.com/monsoonrail/monsoonrail/internal/site"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/platform"
)

type edgeOptions struct {
	std streams
	Log setting.Log
	// Settings is the path of the platform's settings file.
	Settings string `long:"settings" env:"MONSOONRAIL_CONFIG" required:"true" description:"path of the platform's settings file (TOML)"`
	// Metrics is the listen address of the metrics endpoint, which the settings file doesn't contain; empty disables it.
	Metrics string `long:"metrics-listen" env:"MONSOONRAIL_METRICS_LISTEN" description:"port, or IP number and port, of the metrics, such as :9464; not served if empty"`
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
	hangUps := notifyHangUps()
	ignoreClosedLogPipe()
	settings, err := platform.ReadSettings(o.Settings)
	if err != nil {
		return &usageError{cause: err}
	}
	if err := setting.CheckListen("metrics-listen", o.Metrics); err != nil {
		return &usageError{cause: err}
	}
	settings.Listen.Metrics = o.Metrics
	setGCPercent()
	stopping := shutdownContext()
	logger, lines := o.Log.Open(o.std.out)
	defer lines.Close()
	node := edge.New(edge.Options{Settings: settings, Network: tcp.System{}, Log: logger})
	watch := &settingsWatch{path: o.Settings, lastModTime: modTime(o.Settings), reload: node.Reload}
	watching, endWatch := context.WithCancel(context.Background())
	defer endWatch()
	go watch.run(watching, hangUps)
	running, stop := context.WithCancel(context.Background())
	defer stop()
	context.AfterFunc(stopping, func() {
		// The stop goes by the settings that are in place when it begins.
		watch.read()
		stop()
	})
	return node.Run(running)
}

// settingsInterval is the interval at which the settings file is checked for changes, as it may change without a SIGHUP.
const settingsInterval = 2 * time.Second

// settingsWatch rereads the settings file when it may have changed.
type settingsWatch struct {
	path string
	// reload takes the settings, or the error of reading them.
	reload func(settings site.Settings, err error)

	// mu is held while the file is read and applied, so that settings replace none that were read later.
	mu          sync.Mutex
	lastModTime time.Time
}

// run rereads the file on each SIGHUP and whenever its modification time changes, until ctx ends.
func (w *settingsWatch) run(ctx context.Context, hangUps <-chan os.Signal) {
	ticks := time.NewTicker(settingsInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
			w.read()
		case <-ticks.C:
			w.readIfChanged()
		}
	}
}

func (w *settingsWatch) read() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readAndApply()
}

func (w *settingsWatch) readIfChanged() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !modTime(w.path).Equal(w.lastModTime) {
		w.readAndApply()
	}
}

func (w *settingsWatch) readAndApply() {
	w.lastModTime = modTime(w.path)
	w.reload(platform.ReadSettings(w.path))
}

// modTime returns the modification time of a file, or the zero time if it can't be read. Either transition between the two counts as
// a change.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
