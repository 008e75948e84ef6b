package billing

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

const (
	// holdBurst is the number of messages that may be sent without a delay after an idle period.
	holdBurst = 20
	// urgentPerSecond and urgentBurst bound the messages sent ahead of the interval for non-streaming answers; the
	// burst covers the requests at the beginning of a lesson.
	urgentPerSecond = 10
	urgentBurst     = 600
)

// pacer limits the rate of messages to the peer. The end of a stream may wait for the next message, since the caller
// already has its tokens; for a non-streaming answer the message is sent at once as long as such messages are few.
type pacer struct {
	limiter, urgentLimiter *rate.Limiter
	// urgent holds a token while the line of a non-streaming answer waits.
	urgent chan struct{}
}

// newPacer returns a pacer with a mean interval between messages, or without a limit if interval is 0.
func newPacer(interval time.Duration) pacer {
	limit := rate.Inf
	if interval > 0 {
		limit = rate.Every(interval)
	}
	return pacer{
		limiter:       rate.NewLimiter(limit, holdBurst),
		urgentLimiter: rate.NewLimiter(urgentPerSecond, urgentBurst),
		urgent:        make(chan struct{}, 1),
	}
}

// markUrgent records that the line of a non-streaming answer waits.
func (p *pacer) markUrgent() {
	select {
	case p.urgent <- struct{}{}:
	default:
	}
}

// clearUrgent resets markUrgent.
func (p *pacer) clearUrgent() {
	select {
	case <-p.urgent:
	default:
	}
}

// wait is called after a message and waits until the next one may be sent.
func (p *pacer) wait(ctx context.Context) error {
	reservation := p.limiter.Reserve()
	delay := reservation.Delay()
	if delay <= 0 {
		return ctx.Err()
	}
	timer := sleep.NewTimer(delay)
	defer timer.Stop()
	urgent := p.urgent
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		case <-urgent:
			if p.urgentLimiter.Allow() {
				reservation.Cancel()
				return nil
			}
			urgent = nil
		}
	}
}
