package billing

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

const (
	// holdBurst is how many messages go out without a pause after a quiet time.
	holdBurst = 20
	// wholePerSecond and wholeBurst bound the messages that go out within a pause because an answer that is sent as a whole
	// waits; the burst is for a lesson's beginning.
	wholePerSecond = 10
	wholeBurst     = 600
)

// pacer bounds the messages to the peer. The end of a stream may wait for the next one, since its tokens are with the caller; an
// answer that is sent as a whole has one sent at once, as long as these are few.
type pacer struct {
	all, whole *rate.Limiter
	// urgent holds a token while a line waits whose answer is sent as a whole.
	urgent chan struct{}
}

// newPacer returns a pacer of a mean interval, without pauses if it is 0.
func newPacer(interval time.Duration) pacer {
	limit := rate.Inf
	if interval > 0 {
		limit = rate.Every(interval)
	}
	return pacer{
		all:    rate.NewLimiter(limit, holdBurst),
		whole:  rate.NewLimiter(wholePerSecond, wholeBurst),
		urgent: make(chan struct{}, 1),
	}
}

// hurry tells that a line waits whose answer is sent as a whole.
func (p *pacer) hurry() {
	select {
	case p.urgent <- struct{}{}:
	default:
	}
}

// calm forgets the lines that hurry told of.
func (p *pacer) calm() {
	select {
	case <-p.urgent:
	default:
	}
}

// pause waits until the message after one that was sent may go out.
func (p *pacer) pause(ctx context.Context) error {
	next := p.all.Reserve()
	delay := next.Delay()
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
			if p.whole.Allow() {
				next.Cancel()
				return nil
			}
			urgent = nil
		}
	}
}
