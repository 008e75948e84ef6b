package node

import (
	"context"

	"github.com/monsoonrail/monsoonrail/internal/caller"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/internal/supervisor"
	"github.com/monsoonrail/monsoonrail/internal/vmlist"
)

// parts are what the request path asks, each fed by duties of its own.
type parts struct {
	configs   router.Configs
	versions  router.VersionChooser
	ratings   router.Rater
	copies    router.Copier
	servers   router.ServerChooser
	admission router.Admission
	bills     router.Biller
	keys      router.KeyResolver
	members   caller.Members
	issuer    caller.Issuer
	vms       *vmlist.Poller
	extras    *extras
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
