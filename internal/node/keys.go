package node

import (
	"github.com/monsoonrail/monsoonrail/internal/claim"
	"github.com/monsoonrail/monsoonrail/internal/idem"
	"github.com/monsoonrail/monsoonrail/internal/keyowner"
	"github.com/monsoonrail/monsoonrail/internal/supervisor"
)

// makeKeys creates the issuer, the claim batcher and the resolver of idempotency keys.
func (n *Node) makeKeys() error {
	issuer, err := idem.NewIssuer(idem.IssuerOptions{
		Node: n.opts.Settings.Node.NodeID(), Incarnation: n.incarnation, Secrets: secretBytes(n.opts.Settings.Secrets.Issue),
	})
	if err != nil {
		return Error.Wrap(err)
	}
	n.batcher = claim.NewBatcher(claim.BatcherOptions{Store: n.store, Log: n.log})
	claims := claim.New(claim.Options{
		Node: n.opts.Settings.Node.NodeID(), Incarnation: n.incarnation, Local: n.batcher, Remote: n.peerClient,
		Members: n.liveNodes,
	})
	n.parts.issuer = issuer
	n.parts.keys = keyowner.New(keyowner.Options{
		Node: n.opts.Settings.Node.NodeID(), Incarnation: n.incarnation,
		Issuer: issuer, UsedKeys: idem.NewUsedKeys(0, 0), Claimer: claims, Members: n.parts.members,
	})
	restorer := claim.NewRestorer(claim.RestorerOptions{Store: n.store, Claimer: claims, Batcher: n.batcher, Log: n.log})
	n.parts.duties = append(n.parts.duties,
		supervisor.Duty{Name: "claims", Run: n.batcher.Run},
		supervisor.Duty{Name: "claims-restore", Run: restorer.Run})
	return nil
}
