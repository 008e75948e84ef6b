package edge

import (
	"reflect"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/site"
)

// Reload applies reread settings, or logs the error err of rereading them, after which the previous ones stay in force. Of the settings only bounds that are read
// where they are used take effect, such as the grace period in a stop that begins later; all others need a restart.
func (n *Node) Reload(settings site.Settings, err error) {
	if err != nil {
		n.log.WithError(err).Error("settings not reloaded; keeping the previous settings")
		return
	}
	old := n.settings.Swap(&settings)
	n.log.WithFields(log.Fields{
		"changed": !reflect.DeepEqual(*old, settings), "listeners_changed": old.Listen != settings.Listen,
	}).Info("settings reloaded")
}
