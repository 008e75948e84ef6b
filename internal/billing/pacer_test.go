package billing_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// addLines adds a line every 5 ms and returns the longest delay, separately for lines with and without IsWhole.
func addLines(s *system, lines int, isWhole func(number int) bool) map[bool]time.Duration {
	var mu sync.Mutex
	longest := map[bool]time.Duration{}
	var callers sync.WaitGroup
	for i := range lines {
		l := line(i)
		l.IsWhole = isWhole(i)
		callers.Go(func() {
			start := time.Now()
			s.Check(s.nodes[0].biller.Add(context.Background(), l), qt.IsNil)
			mu.Lock()
			defer mu.Unlock()
			longest[l.IsWhole] = max(longest[l.IsWhole], time.Since(start))
		})
		time.Sleep(5 * time.Millisecond)
	}
	callers.Wait()
	return longest
}

// TestNonStreamingAnswersDoNotWait ends 190 streams and ten non-streaming answers a second: only the streams may wait
// for the hold interval.
func TestNonStreamingAnswersDoNotWait(t *testing.T) {
	inBubble(t, 2, func(s *system) {
		s.setHoldInterval(50 * time.Millisecond)
		longest := addLines(s, 2000, func(number int) bool { return number%20 == 10 })
		s.Assert(longest[true], qt.Equals, time.Duration(0))
		s.Assert(longest[false] > 0, qt.IsTrue)
		s.Assert(longest[false] <= 50*time.Millisecond, qt.IsTrue, qt.Commentf("%s", longest[false]))
		s.Assert(s.nodes[0].biller.Stats().Unprotected, qt.Equals, int64(0))
	})
}

// TestHoldMessagesAreRateLimited ends 200 non-streaming answers a second for a minute: the number of messages must stay
// within the rate limits.
func TestHoldMessagesAreRateLimited(t *testing.T) {
	inBubble(t, 2, func(s *system) {
		s.setHoldInterval(50 * time.Millisecond)
		const seconds = 60
		longest := addLines(s, 200*seconds, func(int) bool { return true })
		s.Assert(longest[true] <= 50*time.Millisecond, qt.IsTrue, qt.Commentf("%s", longest[true]))
		// The limits are 20 and 10 messages a second, with bursts of 20 and 600.
		s.Assert(s.holds <= 30*seconds+620, qt.IsTrue, qt.Commentf("%d messages", s.holds))
	})
}

// TestNoRateLimitWithoutPeer ends answers one after the other on a node without peers.
func TestNoRateLimitWithoutPeer(t *testing.T) {
	inBubble(t, 1, func(s *system) {
		s.setHoldInterval(50 * time.Millisecond)
		start := time.Now()
		for i := range 200 {
			s.Assert(s.nodes[0].biller.Add(context.Background(), line(i)), qt.IsNil)
		}
		s.Assert(time.Since(start), qt.Equals, time.Duration(0))
		s.Assert(s.nodes[0].biller.Stats().Unprotected, qt.Equals, int64(200))
	})
}
