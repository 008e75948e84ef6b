package noderpc_test

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/noderpc"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// serversByVersion is a ServerFinder for one service.
type serversByVersion map[api.VersionID][]api.ServerID

func (s serversByVersion) ServersWithVersion(service api.Service, version api.VersionID) []api.ServerID {
	if service != "tutor-llm" {
		return nil
	}
	return s[version]
}

func TestServersAreFound(t *testing.T) {
	held, missing := api.VersionID{Model: "m", Version: "1"}, api.VersionID{Model: "m", Version: "2"}
	_, handler := noderpc.NewHandler(noderpc.ServerOptions{ServerFinder: serversByVersion{held: {"a", "b", "c", "d", "e"}}})
	inBubble(t, handler, func(p *pair) {
		found, err := p.client.FindServers(context.Background(), "far", "tutor-llm", []api.VersionID{missing, held})
		p.Assert(err, qt.IsNil)
		p.Assert(found, qt.DeepEquals, map[api.VersionID][]api.ServerID{held: {"a", "b", "c", "d"}})
		found, err = p.client.FindServers(context.Background(), "far", "other", []api.VersionID{held})
		p.Assert(err, qt.IsNil)
		p.Assert(found, qt.HasLen, 0)
	})
}

func TestFindServersFailsWithOlderRelease(t *testing.T) {
	inBubble(t, http.NotFoundHandler(), func(p *pair) {
		_, err := p.client.FindServers(context.Background(), "far", "tutor-llm", nil)
		p.Assert(err, qt.IsNotNil)
	})
}
