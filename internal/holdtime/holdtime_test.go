package holdtime

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCostFollowsTokens checks that two classes with the same wait at servers get different costs, and that the costs add up to the
// time that slots were occupied.
func TestCostFollowsTokens(t *testing.T) {
	c := qt.New(t)
	e := New()
	short, long := Request{Class: "query", Prompt: 100}, Request{Class: "dossier", Prompt: 4000}
	c.Check(e.Cost(short) > 0, qt.IsTrue)
	const wait = 5 * time.Second
	for range 200 {
		e.Observe(short, 9, wait+250*time.Millisecond)
		e.Observe(long, 160, wait+5*time.Second)
	}
	c.Check(int(math.Round(float64(e.Cost(long))/float64(e.Cost(short)))), qt.Equals, 20)
	sum := (e.Cost(long) + e.Cost(short)).Seconds()
	c.Check(sum > 0.9*15.25 && sum < 1.1*15.25, qt.IsTrue, qt.Commentf("%f", sum))
	long.MaxAnswer = 10
	c.Check(e.Cost(long) < e.Cost(Request{Class: "dossier", Prompt: 4000})/3, qt.IsTrue)
}

// TestPlainCalls checks that the cost of calls without tokens converges to their slot time.
func TestPlainCalls(t *testing.T) {
	c := qt.New(t)
	e := New()
	for range 200 {
		e.Observe(Request{}, 0, 10*time.Millisecond)
	}
	c.Check(e.Cost(Request{}).Round(time.Millisecond), qt.Equals, 10*time.Millisecond)
}
