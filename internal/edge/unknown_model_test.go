package edge_test

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestUnknownModelsTakeNoServersOut guards against callers that name a model that no server has: the servers' 421 was taken for the answer of others at their
// addresses, and all of them were out of service.
func TestUnknownModelsTakeNoServersOut(t *testing.T) {
	for _, test := range []struct {
		name, path string
		status     int
	}{
		{"route that lists its models", "/s/1", http.StatusMisdirectedRequest},
		{"route without a list", "/once/1", http.StatusMisdirectedRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			withTestFleet(t, func(f *testFleet) {
				f.callersModel = "unheard-of"
				for range 3 {
					got := f.send(context.Background(), 0, test.path, "key-1")
					f.c.Assert(got.err, qt.IsNil)
					f.c.Check(got.status, qt.Equals, test.status)
				}
				f.callersModel = "*"
				for range 3 {
					got := f.send(context.Background(), 0, "/s/1", "key-1")
					f.c.Assert(got.err, qt.IsNil)
					f.c.Check(got.status, qt.Equals, http.StatusOK)
				}
			})
		})
	}
}
