package edge_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
)

// TestConfigurationChangesCutNoRequests applies configurations without the routes, keys and services of requests that are under way. Each must get its
// complete answer.
func TestConfigurationChangesCutNoRequests(t *testing.T) {
	current := string(configurationVersion(2, "key-1"))
	for name, changed := range map[string]string{
		"routes removed": strings.NewReplacer(`"/s/"`, `"/s2/"`, `"/c/"`, `"/c2/"`, `"/r/"`, `"/r2/"`).Replace(current),
		"key removed":    string(configurationVersion(2, "key-2")),
		"services moved": strings.NewReplacer(`"service":"models"`, `"service":"x"`, `"service":"calls"`, `"service":"models"`, `"service":"x"`, `"service":"calls"`).
			Replace(current),
		"shorter timeouts": strings.Replace(current, `"timeoutMs":20000`, `"timeoutMs":500`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				for _, server := range f.allServers() {
					server.SetLatency(1500 * time.Millisecond)
				}
				answers := make(chan answer)
				for _, kind := range requestKinds {
					go func() { answers <- f.send(context.Background(), 0, kind.path, "key-1") }()
				}
				time.Sleep(200 * time.Millisecond)
				f.store.Put("op/config", []byte(changed))
				for range requestKinds {
					got := <-answers
					f.c.Check(got.err, qt.IsNil)
					f.c.Check(got.status, qt.Equals, http.StatusOK)
					if strings.HasPrefix(got.body, "id: ") {
						f.c.Check(got.body, qt.Equals, platformfake.Stream("/s/1", 10))
					} else {
						f.c.Check(got.body, qt.Equals, "answer of c0")
					}
				}
			})
		})
	}
}
