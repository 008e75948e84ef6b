// Package standalone implements clients of the services of deployments that run without the users' platform: a key-value service
// with an etcd gateway, a VM list, a rating service and a weight store. The interfaces are declared by the packages that use them;
// only the program's start-up code imports this package.
package standalone

import (
	"net/http"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/internal/node"
	"github.com/monsoonrail/monsoonrail/internal/setting"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

// Names of the platform's services in log entries.
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

// Client holds a node's clients of the platform's services, and their connections.
type Client struct {
	node.Platform

	// storeTransport is the transport of the key-value service, otherTransport that of the other services. They are separate
	// since the client of the key-value service closes all idle connections when one went silent.
	storeTransport, otherTransport *http.Transport
}

// New returns a client without making any call. Close must be called.
func New(opts Options) *Client {
	c := &Client{storeTransport: tcp.NewTransport(opts.Network), otherTransport: tcp.NewTransport(opts.Network)}
	otherClient := &http.Client{Transport: c.otherTransport}
	c.Store = &loggingStore{
		Store: NewStore(StoreOptions{
			Endpoints: opts.Settings.KV, Client: &http.Client{Transport: c.storeTransport}, Timeout: opts.Settings.KVTimeout,
		}),
		dependency: &eventlog.Dependency{Name: nameStore, Log: opts.Log},
	}
	c.VMs = &loggingVMList{
		Lister: NewVMList(opts.Settings.VMList, otherClient), dependency: &eventlog.Dependency{Name: nameVMList, Log: opts.Log},
	}
	if opts.Settings.Rating != "" {
		c.Ratings = &loggingRatings{
			Ratings: NewRatings(opts.Settings.Rating, otherClient), dependency: &eventlog.Dependency{Name: nameRatings, Log: opts.Log},
		}
	}
	if opts.Settings.WeightStore != "" {
		c.Weights = &loggingWeightStore{
			WeightStore: NewWeightStore(opts.Settings.WeightStore, otherClient),
			dependency:  &eventlog.Dependency{Name: nameWeights, Log: opts.Log},
		}
	}
	return c
}

// Close closes the idle connections; calls in progress end with their contexts.
func (c *Client) Close() {
	c.storeTransport.CloseIdleConnections()
	c.otherTransport.CloseIdleConnections()
}
