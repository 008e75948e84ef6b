package rating

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// DefaultInterval is the default mean time between two reads of the ratings.
const DefaultInterval = 2 * time.Second

// Reader reads ratings page by page.
type Reader interface {
	// Fetch returns the ratings after a sequence number for the answers that a source submitted. A service that does not
	// support sources returns the ratings of all answers.
	Fetch(ctx context.Context, source api.Incarnation, after int64) (Page, error)
}

// PollerOptions configures NewPoller.
type PollerOptions struct {
	Reader Reader
	// Incarnation is this node's incarnation; only ratings of answers that it submitted are read.
	Incarnation api.Incarnation
	// Handle is called once with each rating, in order, from the goroutine of Run; it must not block.
	Handle func(Rating)
	// Interval is the mean time between reads; 0 means DefaultInterval.
	Interval time.Duration
	// StartAfter is the sequence number after which the poller starts to read.
	StartAfter int64
	Rand       *rand.Rand
	Log        log.Interface
}

// Poller is a duty that reads new ratings at an interval. After an outage of the service it continues where it stopped.
type Poller struct {
	opts  PollerOptions
	after int64
}

// NewPoller returns a poller that starts after opts.StartAfter.
func NewPoller(opts PollerOptions) *Poller {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	return &Poller{opts: opts, after: opts.StartAfter}
}

// Run reads ratings until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := p.readNewPages(ctx); err != nil {
			p.opts.Log.WithError(err).Warn("reading ratings failed")
		}
		half := p.opts.Interval / 2
		sleep.For(ctx, half+time.Duration(p.opts.Rand.Int64N(int64(2*half)+1)))
	}
	return ctx.Err()
}

// readNewPages reads pages until there are no further ratings.
func (p *Poller) readNewPages(ctx context.Context) error {
	for {
		page, err := p.opts.Reader.Fetch(ctx, p.opts.Incarnation, p.after)
		if err != nil {
			return err
		}
		for _, rating := range page.Ratings {
			if rating.Seq > p.after && rating.Quality >= 0 && rating.Quality <= 1 {
				p.opts.Handle(rating)
			}
		}
		isLast := len(page.Ratings) == 0 || page.Next <= p.after
		p.after = max(p.after, page.Next)
		if isLast {
			return nil
		}
	}
}
