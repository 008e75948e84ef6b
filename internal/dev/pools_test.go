package dev_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestEveryNodeFindsServersOfAVersion loads a version on two of 80 engines only, so that the server subsets of some nodes lack it at first.
func TestEveryNodeFindsServersOfAVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 8
		rare := api.VersionID{Model: "professor", Version: "1.4"}
		b := newBench(t, func(opts *dev.Options) {
			// In one failure domain every node knows all others, so that no request is guarded.
			opts.Config.FailureDomains = opts.Config.FailureDomains[:1]
			opts.Nodes, opts.Engines, opts.PlainServers = nodes, 80, 1
			opts.HasVersion = func(engine int, version api.VersionID) bool { return version != rare || engine == 0 || engine == 41 }
		})
		defer b.close()
		ask := func() (answered int) {
			for i := range nodes {
				resp, _ := b.do(http.MethodPost, b.system.NodeURL(i)+"/v1/chat/completions", nil,
					`{"model":"`+rare.String()+`","messages":[{"role":"user","content":"Explain this commit"}]}`)
				if resp.StatusCode == http.StatusOK && resp.Header.Get(api.HeaderVersion) == rare.String() {
					answered++
				}
			}
			return answered
		}
		time.Sleep(3 * time.Second)
		t.Logf("%d of %d nodes hold the version at first", ask(), nodes)
		time.Sleep(time.Minute)
		qt.Assert(t, ask(), qt.Equals, nodes)
	})
}
