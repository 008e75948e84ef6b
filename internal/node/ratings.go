package node

import (
	"context"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/rating"
	"github.com/monsoonrail/monsoonrail/internal/ratingfeed"
	"github.com/monsoonrail/monsoonrail/internal/router"
	"github.com/monsoonrail/monsoonrail/internal/supervisor"
	"github.com/monsoonrail/monsoonrail/internal/versionchoice"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// ratingWait is how long a cascade waits for a rating.
const ratingWait = 500 * time.Millisecond

// makeVersions makes the choice of versions and, where there is a rating service, what feeds it.
func (n *Node) makeVersions() {
	opts := versionchoice.Options{
		Incarnation: n.incarnation, FailureDomain: api.FailureDomain(n.opts.Settings.Node.FailureDomain),
		Rand: n.random(streamVersions),
	}
	service := n.opts.Platform.Ratings
	if service != nil {
		opts.RatingTimeout = ratingWait
	}
	n.versions = versionchoice.New(opts)
	n.parts.versions = n.versions
	n.parts.duties = append(n.parts.duties, supervisor.Duty{Name: "estimates", Run: n.versions.Run})
	if service == nil {
		n.parts.ratings = noRatings{}
		return
	}
	feed := ratingfeed.New(ratingfeed.Options{
		Service: service, Incarnation: n.incarnation, RatingCounter: n.versions, Trials: n.cluster.trials, MaxPerSecond: n.opts.Settings.Platform.RatingsPerSecond,
		RatingTimeout: ratingWait, Metrics: n.metrics, Log: n.log,
	})
	poller := rating.NewPoller(rating.PollerOptions{
		Reader: service, Incarnation: n.incarnation, Handle: feed.HandleRating, Rand: n.random(streamRatings), Log: n.log,
	})
	n.parts.ratings = feed
	n.parts.duties = append(n.parts.duties,
		supervisor.Duty{Name: "rating-feed", Run: feed.Run},
		supervisor.Duty{Name: "rating-poll", Run: poller.Run})
}

// noRatings stands in where the platform has no rating service: quality is what the configuration assumes.
type noRatings struct{}

// Offer implements router.Rater.
func (noRatings) Offer(router.RatedAnswer) {}

// Rate implements router.Rater.
func (noRatings) Rate(context.Context, router.RatedAnswer) (api.Quality, bool) { return 0, false }
