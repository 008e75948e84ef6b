package fleet

import "github.com/monsoonrail/monsoonrail/pkg/api"

// Server is a backend server, from the VM list and the server's own reports.
type Server struct {
	ID      api.ServerID
	Service api.Service
	// Address is "host:port" with an IP address as host.
	Address       string
	FailureDomain api.FailureDomain
	// Leaving reports whether the server is being removed and receives no new requests.
	Leaving bool
	// Versions lists the versions loaded on the server; empty for a plain service.
	Versions []api.VersionID
}
