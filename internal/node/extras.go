package node

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// extraServer is a server outside of the node's subset that is used because it has a version that the subset lacks.
type extraServer struct {
	service api.Service
	version api.VersionID
	since   time.Time
}

// extraServers holds the extra servers of a node. One goroutine changes them; others read.
type extraServers struct {
	// servers is replaced as a whole; its map is never changed.
	servers atomic.Pointer[map[api.ServerID]extraServer]
	// changed receives a signal after each change.
	changed chan struct{}
}

func newExtraServers() *extraServers {
	e := &extraServers{changed: make(chan struct{}, 1)}
	e.servers.Store(&map[api.ServerID]extraServer{})
	return e
}

// all returns the extra servers; the map must not be changed.
func (e *extraServers) all() map[api.ServerID]extraServer { return *e.servers.Load() }

// replace sets the extra servers and signals a change if there is one.
func (e *extraServers) replace(next map[api.ServerID]extraServer) {
	if maps.Equal(e.all(), next) {
		return
	}
	e.servers.Store(&next)
	select {
	case e.changed <- struct{}{}:
	default:
		// The pending signal covers this change too.
	}
}
