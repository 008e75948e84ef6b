package node

import (
	"context"

	"github.com/monsoonrail/monsoonrail/internal/caller"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/internal/supervisor"
	"github.com/monsoonrail/monsoonrail/internal/vmlist"
)

// parts holds the dependencies of the request path, and the duties that feed them.
type parts struct {
	configs   router.Configs
	versions  router.VersionChooser
	ratings   router.Rater
	copier    router.Copier
	servers   router.ServerChooser
	admission router.Admission
	bills     router.Biller
	keys      router.KeyResolver
	members   caller.Members
	issuer    caller.Issuer
	vms       *vmlist.Poller
	extras    *extraServers
	duties    []supervisor.Duty
	// onDrain, onFlush and onClose run in the order in which they were added.
	onDrain []func()
	onFlush []func(ctx context.Context)
	onClose []func()
}

func (p *parts) announceDrain() {
	for _, announce := range p.onDrain {
		announce()
	}
}

func (p *parts) flush(ctx context.Context) {
	for _, flush := range p.onFlush {
		flush(ctx)
	}
}

func (p *parts) close() {
	for _, end := range p.onClose {
		end()
	}
}
