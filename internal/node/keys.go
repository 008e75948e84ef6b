package node

import (
	"net/http"

	"github.com/monsoonrail/monsoonrail/internal/claim"
	"github.com/monsoonrail/monsoonrail/internal/idem"
	"github.com/monsoonrail/monsoonrail/internal/keyowner"
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/supervisor"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

// makeStore connects to the key-value service over a transport of its own.
func (n *Node) makeStore() {
	transport := tcp.NewTransport(n.opts.Network)
	n.store = kv.NewGateway(kv.GatewayOptions{
		Endpoints: n.opts.Settings.Platform.KV, Client: &http.Client{Transport: transport}, Timeout: n.opts.Settings.Platform.KVTimeout,
	})
	n.rollOuts = rollout.NewStore(n.store)
	n.parts.onClose = append(n.parts.onClose, transport.CloseIdleConnections)
}

// makeKeys makes what decides about idempotency keys.
func (n *Node) makeKeys() error {
	issuer, err := idem.NewIssuer(idem.IssuerOptions{
		Node: n.opts.Settings.Node.NodeID(), Incarnation: n.incarnation, Secrets: secretBytes(n.opts.Settings.Secrets.Issue),
	})
	if err != nil {
		return Error.Wrap(err)
	}
	n.batcher = claim.NewBatcher(claim.BatcherOptions{Store: n.store, Log: n.log})
	claims := claim.New(claim.Options{
		Node: n.opts.Settings.Node.NodeID(), Incarnation: n.incarnation, Local: n.batcher, Remote: n.calls,
		Members: n.liveNodes,
	})
	n.parts.issuer = issuer
	n.parts.keys = keyowner.New(keyowner.Options{
		Node: n.opts.Settings.Node.NodeID(), Incarnation: n.incarnation,
		Issuer: issuer, Used: idem.NewUsedKeys(0, 0), Claims: claims, Members: n.parts.members,
	})
	restorer := claim.NewRestorer(claim.RestorerOptions{Store: n.store, Claims: claims, Batcher: n.batcher, Log: n.log})
	n.parts.duties = append(n.parts.duties,
		supervisor.Duty{Name: "claims", Run: n.batcher.Run},
		supervisor.Duty{Name: "claims-restore", Run: restorer.Run})
	return nil
}
