package operator

import (
	"github.com/monsoonrail/monsoonrail/internal/follower"
	"github.com/monsoonrail/monsoonrail/internal/peer"
)

// StatusFrom returns a function for Options.Status that reports the status of f.
func StatusFrom(f *follower.Follower) func() ConfigStatus {
	return func() ConfigStatus {
		status := f.Status()
		return ConfigStatus{
			Since: status.Since, Store: string(status.Service), IsAlarm: status.Service.IsAlarm(), Detail: status.Detail,
		}
	}
}

// MembersFrom returns a function for Options.Members that lists the members known to e: those of the node's own failure domain and a few
// of each other one.
func MembersFrom(e *peer.Exchange) func() []Member {
	return func() []Member {
		var members []Member
		for _, m := range e.Members() {
			members = append(members, Member{
				Node: m.Node, FailureDomain: m.FailureDomain, Revision: m.Revision,
				Draining: m.Draining, LastHeard: m.LastHeard,
			})
		}
		return members
	}
}
