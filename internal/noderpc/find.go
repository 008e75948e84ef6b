package noderpc

import (
	"context"

	"connectrpc.com/connect"

	"github.com/monsoonrail/monsoonrail/internal/noderpc/noderpcpb"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxFindVersions bounds the versions of a request.
	maxFindVersions = 64
	// maxServersPerVersion bounds the servers returned for a version.
	maxServersPerVersion = 4
)

// ServerFinder finds servers among those that this node uses.
type ServerFinder interface {
	// ServersWithVersion returns the servers of a service that have a version, in order of preference.
	ServersWithVersion(service api.Service, version api.VersionID) []api.ServerID
}

// FindServers asks a node for servers that have versions of a service.
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
		for _, id := range named.Servers[:min(len(named.Servers), maxServersPerVersion)] {
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
		servers := s.opts.ServerFinder.ServersWithVersion(api.Service(req.Msg.Service), api.ParseVersionID(version))
		for _, id := range servers[:min(len(servers), maxServersPerVersion)] {
			named.Servers = append(named.Servers, string(id))
		}
		if len(named.Servers) > 0 {
			resp.Found = append(resp.Found, named)
		}
	}
	return connect.NewResponse(resp), nil
}
