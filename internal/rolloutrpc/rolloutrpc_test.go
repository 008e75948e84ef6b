package rolloutrpc_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/rolloutrpc"
	"github.com/monsoonrail/monsoonrail/internal/route"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/internal/versionrollout"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// collector records the last report that it received.
type collector struct {
	service route.Service
	node    api.NodeID
	report  versionrollout.NodeReport
}

func (c *collector) SetReport(service route.Service, node api.NodeID, report versionrollout.NodeReport) versionrollout.Collected {
	c.service, c.node, c.report = service, node, report
	return versionrollout.Collected{Sessions: []uint64{1 << 63, 7}, IsUnwatched: true}
}

func serve(t *testing.T, handler http.Handler) (address string) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestReportArrivesWhole checks that a report with evidence and session hashes of 64 bits is delivered unchanged, and that the response
// has the collector's sessions.
func TestReportArrivesWhole(t *testing.T) {
	c := &collector{}
	mux := http.NewServeMux()
	rolloutrpc.Handle(mux, c)
	report := versionrollout.NodeReport{Order: 12, Evidence: versionrollout.NewEvidence(), AtOld: 3, Sessions: []uint64{1<<64 - 1, 5}}
	report.Evidence.Record(true, "r/small", true, false)
	report.Evidence.Record(false, "r/small", false, true)
	sent := rolloutrpc.Report{Service: "models", Node: "n1", Report: report}
	got, err := rolloutrpc.Send(context.Background(), http.DefaultClient, serve(t, mux), sent)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Sessions, qt.DeepEquals, []uint64{1 << 63, 7})
	qt.Assert(t, got.IsUnwatched, qt.IsTrue)
	qt.Assert(t, c.service, qt.Equals, route.Service("models"))
	qt.Assert(t, c.node, qt.Equals, api.NodeID("n1"))
	qt.Assert(t, c.report, qt.DeepEquals, report)
}

// manySessions returns as many sessions as a node remembers.
type manySessions struct{}

func (manySessions) SetReport(route.Service, api.NodeID, versionrollout.NodeReport) versionrollout.Collected {
	sessions := make([]uint64, 20_000)
	for i := range sessions {
		sessions[i] = 1<<63 + uint64(i)
	}
	return versionrollout.Collected{Sessions: sessions}
}

// TestManySessionsOverSlowLink lets four nodes report to one with a link of 10 Mbit/s: each gets all sessions, although the responses together
// take longer than a short call.
func TestManySessionsOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const address = "10.0.0.1:80"
		network := memnet.New()
		network.LimitBandwidth("10.0.0.1", 10e6/8)
		mux := http.NewServeMux()
		rolloutrpc.Handle(mux, manySessions{})
		listener, err := network.Host("10.0.0.1").Listen(t.Context(), address)
		qt.Assert(t, err, qt.IsNil)
		server := &http.Server{Handler: mux}
		var running sync.WaitGroup
		running.Go(func() { _ = server.Serve(listener) })
		for i := range 4 {
			running.Go(func() {
				transport := tcp.NewTransportWithoutKeepAlive(network.Host(fmt.Sprintf("10.0.0.%d", 2+i)))
				report := versionrollout.NodeReport{Order: 12, Evidence: versionrollout.NewEvidence()}
				got, err := rolloutrpc.Send(t.Context(), &http.Client{Transport: transport}, address, rolloutrpc.Report{Service: "models", Report: report})
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, got.Sessions, qt.HasLen, 20_000)
			})
		}
		time.Sleep(5 * time.Second)
		_ = server.Close()
		running.Wait()
	})
}

// TestRejectedReport checks that the error has the HTTP status of a node that rejects the report.
func TestRejectedReport(t *testing.T) {
	address := serve(t, http.NotFoundHandler())
	_, err := rolloutrpc.Send(context.Background(), http.DefaultClient, address, rolloutrpc.Report{})
	var rejected *rolloutrpc.ErrRejected
	qt.Assert(t, errors.As(err, &rejected), qt.IsTrue)
	qt.Assert(t, rejected.Status, qt.Equals, http.StatusNotFound)
}

// TestBadReport checks that a malformed report gets status 400 and is not passed to the collector.
func TestBadReport(t *testing.T) {
	c := &collector{}
	mux := http.NewServeMux()
	rolloutrpc.Handle(mux, c)
	resp, err := http.Post("http://"+serve(t, mux)+"/v1/rollouts/report", "application/json", http.NoBody)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.Body.Close(), qt.IsNil)
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusBadRequest)
	qt.Assert(t, c.node, qt.Equals, api.NodeID(""))
}

// TestReportOfTooManyParts checks that a report which would take many times its text gets status 400.
func TestReportOfTooManyParts(t *testing.T) {
	c := &collector{}
	mux := http.NewServeMux()
	rolloutrpc.Handle(mux, c)
	address := serve(t, mux)
	for _, report := range []string{
		`{"Node":"n1","Report":{"Sessions":[1` + strings.Repeat(",1", 1<<20) + `]}}`,
		`{"Node":"n1","Report":{"Evidence":{"Target":{` + strings.Repeat(`"":{},`, 1<<15) + `"":{}}}}}`,
	} {
		resp, err := http.Post("http://"+address+"/v1/rollouts/report", "application/json", strings.NewReader(report))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.Body.Close(), qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadRequest)
	}
	qt.Check(t, c.node, qt.Equals, api.NodeID(""))
}

// FuzzReport has a collector with a running roll-out read any bytes as a report: it must go on, decide, and keep the sessions that it knew.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"Service":"models","Node":"n2","Report":{"Order":5,"Evidence":{"Target":{"r":{"Answers":9,"Failures":9}}},"AtOld":-1,"Sessions":[1]}}`))
	f.Add([]byte(`{"Service":"models","Node":"","Report":{"Order":5,"Evidence":null,"Sessions":[18446744073709551615]}}`))
	f.Add([]byte(`{"Service":"models","Report":{"Order":5,"Evidence":{"Target":null,"Others":{"":{"Answers":-9223372036854775808}}}}}`))
	f.Fuzz(func(t *testing.T, message []byte) {
		tracker := versionrollout.NewTracker(versionrollout.TrackerOptions{Node: "n1", NodeCount: func() int { return 2 }, Log: &log.Logger{Handler: discard.New()}})
		order := versionrollout.Order{Service: "models", Target: "v2", Duration: time.Minute, Revision: 5}
		begin := time.Now()
		tracker.SetOrder(order, versionrollout.StartRecord{}, begin)
		tracker.SetCollected(order, versionrollout.Collected{Sessions: []uint64{7}}, begin)
		mux := http.NewServeMux()
		rolloutrpc.Handle(mux, tracker)
		mux.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/rollouts/report", bytes.NewReader(message)))
		for range 3 {
			begin = begin.Add(20 * time.Second)
			_ = tracker.Pick("models", "session", "id", true, begin)
			_ = tracker.Due(begin)
		}
		collected := tracker.SetReport("models", "n1", versionrollout.NodeReport{Order: 5, Evidence: versionrollout.NewEvidence()})
		qt.Assert(t, slices.Contains(collected.Sessions, 7), qt.IsTrue)
	})
}
