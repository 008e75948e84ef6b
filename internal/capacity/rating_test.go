package capacity_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/capacity"
	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/fake/ratingfake"
	"github.com/monsoonrail/monsoonrail/internal/rating"
	"github.com/monsoonrail/monsoonrail/internal/standalone"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// ratingsPerSecond is what a node hands in by default.
const ratingsPerSecond = 5

// measureRatings returns the bytes a second that one node reads of the ratings of some nodes' answers.
func measureRatings(t *testing.T, nodes int, knowsSources bool) float64 {
	var bytes float64
	synctest.Test(t, func(t *testing.T) {
		network := &countedNetwork{Network: memnet.New(), bytes: make(map[int]*atomic.Int64)}
		service := ratingfake.New(func(rating.Submission) api.Quality { return 0.875 })
		if !knowsSources {
			service.IgnoreSourceParameter()
		}
		listener, err := network.Host("10.0.0.2").Listen(context.Background(), fmt.Sprint(":", portRating))
		qt.Assert(t, err, qt.IsNil)
		web := &http.Server{Handler: service}
		go func() { _ = web.Serve(listener) }()
		base := fmt.Sprint("http://10.0.0.2:", portRating)
		others, own := tcp.NewTransport(network.Host("10.0.0.3")), tcp.NewTransport(network.host("10.0.0.1"))
		ctx, cancel := context.WithCancel(context.Background())
		source := func(node int) api.Incarnation {
			return api.Incarnation(fmt.Sprintf("00000000-0000-4000-8000-%012d", node))
		}
		poller := rating.NewPoller(rating.PollerOptions{
			Reader: standalone.NewRatings(base, &http.Client{Transport: own}), Incarnation: source(0), Handle: func(rating.Rating) {},
			Rand: rand.New(rand.NewPCG(1, 1)), Log: quiet,
		})
		var duties sync.WaitGroup
		duties.Go(func() { _ = poller.Run(ctx) })
		client := standalone.NewRatings(base, &http.Client{Transport: others})
		seconds := int(lasting().Seconds())
		for i := range seconds * ratingsPerSecond {
			for node := range nodes {
				id := api.RequestID(fmt.Sprintf("%08d-0000-4000-8000-%012d", i, node))
				qt.Check(t, client.Submit(ctx, rating.Submission{RequestID: id, Source: source(node)}), qt.IsNil)
			}
			time.Sleep(time.Second / ratingsPerSecond)
		}
		bytes = float64(network.counter(fmt.Sprint(":", portRating)).Load()) / float64(seconds)
		cancel()
		duties.Wait()
		own.CloseIdleConnections()
		others.CloseIdleConnections()
		_ = web.Close()
		time.Sleep(time.Second)
	})
	return bytes
}

// TestMeasureRatings varies the nodes whose answers are rated.
func TestMeasureRatings(t *testing.T) {
	nodes := sizes(4, 8, 16, 32)
	own, all := make([]float64, len(nodes)), make([]float64, len(nodes))
	for i, n := range nodes {
		own[i], all[i] = measureRatings(t, n, true), measureRatings(t, n, false)
	}
	const over = "nodes, 5 ratings a second each"
	finish(t, "ratings", "TestMeasureRatings", []capacity.Series{
		series(capacity.Series{Quantity: "ratings read by a node", Unit: "B/s", Over: over, Target: capacity.Nodes, Budget: capacity.ControlBytes, Mechanism: "the service returns those of the node's own answers (internal/rating)"},
			nodes, func(i int) float64 { return own[i] }),
		series(capacity.Series{Quantity: "ratings read by a node, from a service that does not know sources", Unit: "B/s", Over: over, Target: capacity.Nodes, Budget: capacity.ControlBytes, Mechanism: "all ratings are read, and others' passed over (internal/rating)"},
			nodes, func(i int) float64 { return all[i] }),
	})
}
