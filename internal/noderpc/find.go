package noderpc

import (
	"context"

	"connectrpc.com/connect"

	"github.com/monsoonrail/monsoonrail/internal/noderpc/noderpcpb"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxFindVersions bounds the versions of one message.
	maxFindVersions = 64
	// maxFound bounds the servers that are named for a version.
	maxFound = 4
)

// ServerFinder names servers that this node uses.
type ServerFinder interface {
	// Holders returns servers of a service that hold a version, the best to name first.
	ServersWithVersion(service api.Service, version api.VersionID) []api.ServerID
}

// FindServers asks a node for servers that hold versions of a service.
func (c *Client) FindServers(ctx context.Context, peer api.NodeID, service api.Service, versions []api.VersionID) (map[api.VersionID][]api.ServerID, error) {
	node, err := c.node(peer)
	if err != nil {
		return nil, err
	}
	req := &noderpcpb.FindServersRequest{Service: string(service)}
	for _, version := range versions[:min(len(versions), maxFindVersions)] {
		req.Versions = append(req.Versions, version.String())
	}
	resp, err := node.FindServers(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	found := make(map[api.VersionID][]api.ServerID)
	for _, named := range resp.Msg.Found {
		version := api.ParseVersionID(named.Version)
		for _, id := range named.Servers[:min(len(named.Servers), maxFound)] {
			found[version] = append(found[version], api.ServerID(id))
		}
	}
	return found, nil
}

// FindServers implements noderpcpbconnect.NodeServiceHandler.
func (s server) FindServers(_ context.Context, req *connect.Request[noderpcpb.FindServersRequest]) (*connect.Response[noderpcpb.FindServersResponse], error) {
	resp := &noderpcpb.FindServersResponse{}
	for _, version := range req.Msg.Versions[:min(len(req.Msg.Versions), maxFindVersions)] {
		named := &noderpcpb.VersionServers{Version: version}
		holders := s.opts.ServerFinder.ServersWithVersion(api.Service(req.Msg.Service), api.ParseVersionID(version))
		for _, id := range holders[:min(len(holders), maxFound)] {
			named.Servers = append(named.Servers, string(id))
		}
		if len(named.Servers) > 0 {
			resp.Found = append(resp.Found, named)
		}
	}
	return connect.NewResponse(resp), nil
}
