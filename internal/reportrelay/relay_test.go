package reportrelay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/reportrelay"
	"github.com/monsoonrail/monsoonrail/internal/selfreport"
)

func TestReportReachesTheOtherNode(t *testing.T) {
	var heard []selfreport.Shared
	mux := http.NewServeMux()
	reportrelay.Handle(mux, func(report selfreport.Shared) { heard = append(heard, report) })
	node := httptest.NewServer(mux)
	defer node.Close()
	peers := strings.TrimPrefix(node.URL, "http://")
	report := selfreport.Shared{Server: "s1", Start: 7, Pause: 1500 * time.Millisecond, HasLimit: true, Limit: 2}
	qt.Assert(t, reportrelay.Tell(context.Background(), node.Client(), peers, report), qt.IsNil)
	qt.Assert(t, heard, qt.DeepEquals, []selfreport.Shared{report})

	for _, body := range []string{"", "{", `{"Pause":-1}`, `{"Limit":-1}`, strings.Repeat("x", 10<<10)} {
		resp, err := http.Post(node.URL+"/v1/servers/report", "application/json", strings.NewReader(body))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.Body.Close(), qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadRequest, qt.Commentf("%.20s", body))
	}
	qt.Assert(t, heard, qt.HasLen, 1)
}

// TestNodeOfAnEarlierReleaseTakesNoReport tells a node that doesn't know the call.
func TestNodeOfAnEarlierReleaseTakesNoReport(t *testing.T) {
	node := httptest.NewServer(http.NotFoundHandler())
	defer node.Close()
	err := reportrelay.Tell(context.Background(), node.Client(), strings.TrimPrefix(node.URL, "http://"), selfreport.Shared{Server: "s1"})
	qt.Assert(t, err, qt.ErrorMatches, ".*404.*")
}
