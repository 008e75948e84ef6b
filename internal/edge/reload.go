package edge

import (
	"context"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/site"
)

// Reload is a change of the settings: the new ones, or why they can't be used.
type Reload struct {
	Settings site.Settings
	Err      error
}

// followSettings takes in changed settings until ctx ends. Bounds hold at once; addresses hold from the next start. Settings that can't
// be used leave the old ones in force.
func (n *Node) followSettings(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case reload := <-n.opts.Reloads:
			n.reload(reload)
		}
	}
}

func (n *Node) reload(reload Reload) {
	if reload.Err != nil {
		n.log.WithError(reload.Err).Error("settings not reloaded, the old ones stay in force")
		return
	}
	old := n.settings.Swap(&reload.Settings)
	n.log.WithFields(log.Fields{
		"changed": *old != reload.Settings, "listeners_changed": old.Listen != reload.Settings.Listen,
	}).Info("settings reloaded")
}
