package fleet

import "github.com/monsoonrail/monsoonrail/pkg/api"

// Server is a backend server as the VM list and its own reports describe it.
type Server struct {
	ID      api.ServerID
	Service api.Service
	// Address is "host:port" with an IP number.
	Address       string
	FailureDomain api.FailureDomain
	// Leaving tells that the server receives no new work.
	Leaving bool
	// Versions lists the versions that the server has loaded; empty for a plain service.
	Versions []api.VersionID
}
