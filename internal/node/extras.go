package node

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// extra is a server that a node uses beyond its subset, since it holds a version that the subset's servers lack.
type extra struct {
	service api.Service
	version api.VersionID
	since   time.Time
}

// extras are the extra servers of a node. One goroutine changes them; others read.
type extras struct {
	// servers is replaced as a whole; its map is never changed.
	servers atomic.Pointer[map[api.ServerID]extra]
	// changed holds a signal after a change.
	changed chan struct{}
}

func newExtras() *extras {
	e := &extras{changed: make(chan struct{}, 1)}
	e.servers.Store(&map[api.ServerID]extra{})
	return e
}

// all returns the extra servers; the map must not be changed.
func (e *extras) all() map[api.ServerID]extra { return *e.servers.Load() }

// replace makes these the extra servers.
func (e *extras) replace(next map[api.ServerID]extra) {
	if maps.Equal(e.all(), next) {
		return
	}
	e.servers.Store(&next)
	select {
	case e.changed <- struct{}{}:
	default:
		// A signal that was not taken yet tells of this change too.
	}
}
