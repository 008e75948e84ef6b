package rating_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fake/memnet"
	"github.com/monsoonrail/monsoonrail/internal/fake/ratingfake"
	"github.com/monsoonrail/monsoonrail/internal/httpjson"
	"github.com/monsoonrail/monsoonrail/internal/rating"
	"github.com/monsoonrail/monsoonrail/internal/standalone"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func inBubble(t *testing.T, f func(c *qt.C, service *ratingfake.Service, client *standalone.Ratings)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := memnet.New()
		service := ratingfake.New(func(s rating.Submission) api.Quality { return api.Quality(len(s.Answer)) / 10 })
		l, err := network.Host("10.0.0.2").Listen(context.Background(), ":80")
		c.Assert(err, qt.IsNil)
		web := &http.Server{Handler: service}
		go func() { _ = web.Serve(l) }()
		transport := tcp.NewTransport(network.Host("10.0.0.1"))
		defer func() {
			transport.CloseIdleConnections()
			_ = web.Close()
			time.Sleep(time.Second)
		}()
		f(c, service, standalone.NewRatings("http://10.0.0.2:80", &http.Client{Transport: transport}))
	})
}

func submission(number int) rating.Submission {
	return rating.Submission{RequestID: api.RequestID(fmt.Sprint(number)), Answer: "good"}
}

func TestSubmitAndWait(t *testing.T) {
	inBubble(t, func(c *qt.C, service *ratingfake.Service, client *standalone.Ratings) {
		ctx := context.Background()
		service.SetLag(time.Second)
		got, ok, err := client.SubmitAndWait(ctx, submission(1), 2*time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(ok, qt.IsTrue)
		c.Assert(got, qt.Equals, rating.Rating{Seq: 1, RequestID: "1", Quality: 0.4})
		service.SetLag(time.Minute)
		_, ok, err = client.SubmitAndWait(ctx, submission(2), 2*time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(ok, qt.IsFalse)
		service.SetRate(1)
		_ = client.Submit(ctx, submission(3))
		var status *httpjson.ErrStatus
		c.Assert(errors.As(client.Submit(ctx, submission(4)), &status), qt.IsTrue)
		c.Assert(status.RetryAfter, qt.Equals, time.Second)
		time.Sleep(2 * time.Minute)
	})
}

// TestPollerReadsEachRatingOnce reads delayed ratings, with some answers unrated and some ratings made during an outage.
func TestPollerReadsEachRatingOnce(t *testing.T) {
	inBubble(t, func(c *qt.C, service *ratingfake.Service, client *standalone.Ratings) {
		ctx, cancel := context.WithCancel(context.Background())
		var got []api.RequestID
		poller := rating.NewPoller(rating.PollerOptions{
			Reader: client,
			Handle: func(r rating.Rating) { got = append(got, r.RequestID) },
			Rand:   rand.New(rand.NewPCG(1, 2)),
			Log:    &log.Logger{Handler: discard.New()},
		})
		done := make(chan error)
		go func() { done <- poller.Run(ctx) }()
		service.SetLag(30 * time.Second)
		service.SetSkip(func(id api.RequestID) bool { return id == "7" })
		var want []api.RequestID
		for i := range 2500 {
			c.Assert(client.Submit(ctx, submission(i)), qt.IsNil)
			if i != 7 {
				want = append(want, api.RequestID(fmt.Sprint(i)))
			}
			time.Sleep(time.Millisecond)
		}
		service.SetOutage(true)
		time.Sleep(time.Minute)
		service.SetOutage(false)
		time.Sleep(10 * time.Second)
		cancel()
		c.Assert(<-done, qt.Equals, context.Canceled)
		c.Assert(got, qt.DeepEquals, want)
	})
}

// TestPollersReadTheirOwnRatings has three incarnations, of which the last starts after the others, read from a service that
// supports sources and from one that does not.
func TestPollersReadTheirOwnRatings(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		inBubble(t, func(c *qt.C, service *ratingfake.Service, client *standalone.Ratings) {
			if ignores {
				service.IgnoreSourceParameter()
			}
			ctx, cancel := context.WithCancel(context.Background())
			var mu sync.Mutex
			got := map[api.Incarnation]int{}
			var pollers sync.WaitGroup
			start := func(source api.Incarnation) {
				poller := rating.NewPoller(rating.PollerOptions{
					Reader: client, Incarnation: source, Rand: rand.New(rand.NewPCG(1, 2)), Log: &log.Logger{Handler: discard.New()},
					Handle: func(rating.Rating) {
						mu.Lock()
						defer mu.Unlock()
						got[source]++
					},
				})
				pollers.Go(func() { _ = poller.Run(ctx) })
			}
			start("a")
			start("b")
			for i := range 3000 {
				sub := submission(i)
				sub.Source = []api.Incarnation{"a", "a", "b"}[i%3]
				c.Assert(client.Submit(ctx, sub), qt.IsNil)
				time.Sleep(time.Millisecond)
			}
			start("c")
			time.Sleep(10 * time.Second)
			cancel()
			pollers.Wait()
			want := map[api.Incarnation]int{"a": 2000, "b": 1000}
			if ignores {
				want = map[api.Incarnation]int{"a": 3000, "b": 3000, "c": 3000}
			}
			c.Assert(got, qt.DeepEquals, want)
		})
	}
}
