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

// ratingTimeout is how long a cascade waits for a rating.
const ratingTimeout = 500 * time.Millisecond

// makeVersions creates the choice of versions and, if there is a rating service, the duties that feed it with ratings.
func (n *Node) makeVersions() {
	opts := versionchoice.Options{
		Incarnation: n.incarnation, FailureDomain: api.FailureDomain(n.opts.Settings.Node.FailureDomain),
		Rand: n.newRand(streamVersions),
	}
	service := n.opts.Platform.Ratings
	if service != nil {
		opts.RatingTimeout = ratingTimeout
	}
	n.versionChooser = versionchoice.New(opts)
	n.parts.versions = n.versionChooser
	n.parts.duties = append(n.parts.duties, supervisor.Duty{Name: "estimates", Run: n.versionChooser.Run})
	if service == nil {
		n.parts.ratings = noRatings{}
		return
	}
	feed := ratingfeed.New(ratingfeed.Options{
		Service: service, Incarnation: n.incarnation, RatingCounter: n.versionChooser, Trials: n.cluster.trials,
		MaxPerSecond: n.opts.Settings.Platform.RatingsPerSecond, RatingTimeout: ratingTimeout, Metrics: n.metrics, Log: n.log,
	})
	poller := rating.NewPoller(rating.PollerOptions{
		Reader: service, Incarnation: n.incarnation, Handle: feed.HandleRating, Rand: n.newRand(streamRatings), Log: n.log,
	})
	n.parts.ratings = feed
	n.parts.duties = append(n.parts.duties,
		supervisor.Duty{Name: "rating-feed", Run: feed.Run},
		supervisor.Duty{Name: "rating-poll", Run: poller.Run})
}

// noRatings replaces the rating feed if the platform has no rating service. Quality is then the configuration's assumption.
type noRatings struct{}

// Offer implements router.Rater.
func (noRatings) Offer(router.RatedAnswer) {}

// Rate implements router.Rater.
func (noRatings) Rate(context.Context, router.RatedAnswer) (api.Quality, bool) { return 0, false }
