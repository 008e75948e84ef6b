package edge

import (
	"context"
	"reflect"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/site"
)

// Reload is the outcome of rereading the settings: the new settings, or Err if they are invalid.
type Reload struct {
	Settings site.Settings
	Err      error
}

// followSettings applies reloaded settings until ctx ends. Of these only the grace period takes effect immediately; all others need a
// restart. Invalid settings are logged and the previous ones stay in force.
func (n *Node) followSettings(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case reload := <-n.opts.Reloads:
			n.applyReload(reload)
		}
	}
}

func (n *Node) applyReload(reload Reload) {
	if reload.Err != nil {
		n.log.WithError(reload.Err).Error("settings not reloaded; keeping the previous settings")
		return
	}
	old := n.settings.Swap(&reload.Settings)
	n.log.WithFields(log.Fields{
		"changed": !reflect.DeepEqual(*old, reload.Settings), "listeners_changed": old.Listen != reload.Settings.Listen,
	}).Info("settings reloaded")
}
