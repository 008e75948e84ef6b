package billing_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// addFor adds a line every 5 ms for a while and returns the longest wait of the lines with each value of IsWhole.
func addFor(s *system, lines int, isWhole func(number int) bool) map[bool]time.Duration {
	var mu sync.Mutex
	longest := map[bool]time.Duration{}
	var callers sync.WaitGroup
	for i := range lines {
		l := line(i)
		l.IsWhole = isWhole(i)
		callers.Go(func() {
			began := time.Now()
			s.Check(s.nodes[0].biller.Add(context.Background(), l), qt.IsNil)
			mu.Lock()
			defer mu.Unlock()
			longest[l.IsWhole] = max(longest[l.IsWhole], time.Since(began))
		})
		time.Sleep(5 * time.Millisecond)
	}
	callers.Wait()
	return longest
}

// TestWholeAnswersDoNotWait ends 190 streams a second and ten whole answers: only the streams wait for the pace.
func TestWholeAnswersDoNotWait(t *testing.T) {
	inBubble(t, 2, func(s *system) {
		s.pace(50 * time.Millisecond)
		longest := addFor(s, 2000, func(number int) bool { return number%20 == 10 })
		s.Assert(longest[true], qt.Equals, time.Duration(0))
		s.Assert(longest[false] > 0, qt.IsTrue)
		s.Assert(longest[false] <= 50*time.Millisecond, qt.IsTrue, qt.Commentf("%s", longest[false]))
		s.Assert(s.nodes[0].biller.Stats().Unprotected, qt.Equals, int64(0))
	})
}

// TestMessagesArePacedWhateverEnds ends 200 whole answers a second for long: messages stay within their bounds.
func TestMessagesArePacedWhateverEnds(t *testing.T) {
	inBubble(t, 2, func(s *system) {
		s.pace(50 * time.Millisecond)
		const seconds = 60
		longest := addFor(s, 200*seconds, func(int) bool { return true })
		s.Assert(longest[true] <= 50*time.Millisecond, qt.IsTrue, qt.Commentf("%s", longest[true]))
		// 20 and 10 a second, and bursts of 20 and 600.
		s.Assert(s.holds <= 30*seconds+620, qt.IsTrue, qt.Commentf("%d messages", s.holds))
	})
}

// TestNoPaceWithoutAPeer ends answers one after the other on a node that is alone.
func TestNoPaceWithoutAPeer(t *testing.T) {
	inBubble(t, 1, func(s *system) {
		s.pace(50 * time.Millisecond)
		began := time.Now()
		for i := range 200 {
			s.Assert(s.nodes[0].biller.Add(context.Background(), line(i)), qt.IsNil)
		}
		s.Assert(time.Since(began), qt.Equals, time.Duration(0))
		s.Assert(s.nodes[0].biller.Stats().Unprotected, qt.Equals, int64(200))
	})
}
