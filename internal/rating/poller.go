package rating

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/sleep"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// DefaultInterval is the mean time between two reads of the ratings.
const DefaultInterval = 2 * time.Second

// Reader reads ratings page by page.
type Reader interface {
	// Fetch returns the ratings after a sequence number of the answers that a source handed in, or of all where the service
	// does not know sources.
	Fetch(ctx context.Context, source api.Incarnation, after int64) (Page, error)
}

// PollerOptions configures NewPoller.
type PollerOptions struct {
	Reader Reader
	// Incarnation is this node's incarnation, for whose answers the ratings are read.
	Incarnation api.Incarnation
	// Handle is called with each rating once, in order, from the duty's goroutine; it must not block.
	Handle func(Rating)
	// Interval is the mean time between reads; 0 means DefaultInterval.
	Interval time.Duration
	// StartAfter is the sequence number to begin after.
	StartAfter int64
	Rand       *rand.Rand
	Log        log.Interface
}

// Poller is the duty that reads the ratings as they come. What comes during an outage of the service is read after it.
type Poller struct {
	opts  PollerOptions
	after int64
}

// NewPoller returns a poller that has read nothing.
func NewPoller(opts PollerOptions) *Poller {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	return &Poller{opts: opts, after: opts.StartAfter}
}

// Run reads ratings until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := p.readAll(ctx); err != nil {
			p.opts.Log.WithError(err).Warn("ratings not read")
		}
		half := p.opts.Interval / 2
		sleep.For(ctx, half+time.Duration(p.opts.Rand.Int64N(int64(2*half)+1)))
	}
	return ctx.Err()
}

// readAll reads pages until one is empty.
func (p *Poller) readAll(ctx context.Context) error {
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
