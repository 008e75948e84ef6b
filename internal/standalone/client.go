// Package standalone speaks with the services of deployments that run without the users' platform: a key-value service with an
// etcd gateway, a VM list, a rating service and a weight store. It implements the interfaces that their users declare; nothing
// but the start of the program imports it.
package standalone

import (
	"net/http"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/internal/node"
	"github.com/monsoonrail/monsoonrail/internal/setting"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

// Names of the platform's services in the log.
const (
	nameStore   = "key-value-service"
	nameVMList  = "vm-list"
	nameRatings = "rating-service"
	nameWeights = "weight-store"
)

// Options configures New.
type Options struct {
	Settings setting.Platform
	Network  tcp.Network
	Log      log.Interface
}

// Client holds the connections to the platform of one node.
type Client struct {
	node.Platform

	// store and other are the transports of the key-value service, which closes idle connections where one went silent, and
	// of the rest.
	store, other *http.Transport
}

// New returns a client; it calls nobody yet. Close must be called.
func New(opts Options) *Client {
	c := &Client{store: tcp.NewTransport(opts.Network), other: tcp.NewTransport(opts.Network)}
	other := &http.Client{Transport: c.other}
	c.Store = &watchedStore{
		Store: NewStore(StoreOptions{
			Endpoints: opts.Settings.KV, Client: &http.Client{Transport: c.store}, Timeout: opts.Settings.KVTimeout,
		}),
		dependency: &eventlog.Dependency{Name: nameStore, Log: opts.Log},
	}
	c.VMs = &watchedVMList{
		Lister: NewVMList(opts.Settings.VMList, other), dependency: &eventlog.Dependency{Name: nameVMList, Log: opts.Log},
	}
	if opts.Settings.Rating != "" {
		c.Ratings = &watchedRatings{
			Ratings: NewRatings(opts.Settings.Rating, other), dependency: &eventlog.Dependency{Name: nameRatings, Log: opts.Log},
		}
	}
	if opts.Settings.WeightStore != "" {
		c.Weights = &watchedWeights{
			WeightStore: NewWeightStore(opts.Settings.WeightStore, other),
			dependency:  &eventlog.Dependency{Name: nameWeights, Log: opts.Log},
		}
	}
	return c
}

// Close closes the idle connections; calls under way end with their contexts.
func (c *Client) Close() {
	c.store.CloseIdleConnections()
	c.other.CloseIdleConnections()
}
