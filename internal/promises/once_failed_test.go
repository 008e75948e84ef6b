package promises

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPlansThatFailedOnce carries out what is left of drawn plans that broke a promise, whatever plans are drawn today.
func TestPlansThatFailedOnce(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name  string
		steps []Step
	}{
		{"an answer is asked for at a node without a configuration", []Step{
			{Kind: StepDrainNode, At: 3 * ms, Node: 0},
			{Kind: StepStream, At: 18 * ms, Node: 2, Other: 0, Key: KeyIssued, Attach: 2470 * ms},
			{Kind: StepKillNode, At: 2486 * ms, Node: 0, For: ms},
		}},
		{"a stream holds nothing but another request's answer", []Step{
			{Kind: StepStream, At: 100 * ms, Node: 1},
			{Kind: StepSwapped, At: 2 * time.Second, Server: 0, For: 6 * time.Second},
			{Kind: StepSwapped, At: 2 * time.Second, Server: 1, For: 6 * time.Second},
			{Kind: StepSwapped, At: 2 * time.Second, Server: 2, For: 6 * time.Second},
			{Kind: StepStream, At: 3 * time.Second, Node: 1}, {Kind: StepStream, At: 4 * time.Second, Node: 0},
			{Kind: StepChat, At: 5 * time.Second, Node: 1}, {Kind: StepChat, At: 6 * time.Second, Node: 2},
		}},
		{"the peer that holds the bills of a node which stopped in an outage crashes", []Step{
			{Kind: StepStoreOut, At: ms, For: 12 * time.Second},
			{Kind: StepDrainNode, At: 63 * ms, Node: 1},
			{Kind: StepPlain, At: 301 * ms, Node: 1},
			{Kind: StepKillNode, At: 20 * time.Second, Node: 0, For: 2 * ms},
		}},
		{"two nodes stop in an outage and the only one that can hold their bills crashes after it", []Step{
			{Kind: StepStoreOut, At: ms, For: 12 * time.Second},
			{Kind: StepDrainNode, At: ms, Node: 2},
			{Kind: StepDrainNode, At: 63 * ms, Node: 1},
			{Kind: StepChat, At: 64 * ms, Node: 2},
			{Kind: StepPlain, At: 301 * ms, Node: 1},
			{Kind: StepKillNode, At: 20 * time.Second, Node: 0, For: 2 * ms},
		}},
		{"the first call of a service lasts for its whole deadline", []Step{
			{Kind: StepChat, At: 2 * ms, Node: 1, Key: KeyIssued},
			{Kind: StepSilence, At: 4 * ms, Node: 1, Server: 3},
			{Kind: StepOnce, At: 820 * ms, Node: 1, Server: 4, Session: 2, HangUp: 149 * ms, Attach: 13 * ms},
		}},
		{"a kept connection to a plain service went silent while nobody used it", []Step{
			{Kind: StepPlain, At: 2 * ms, Node: 2, Server: 2},
			{Kind: StepStream, At: 25 * ms, Node: 2, Other: 1, Server: 2, Key: KeyOwn, Session: 1, Resend: 4 * ms},
			{Kind: StepOnce, At: 336 * ms, Node: 2, Other: 1},
			{Kind: StepSilence, At: 20 * time.Second, Node: 2, Server: 3},
			{Kind: StepSilence, At: 20 * time.Second, Node: 2, Server: 4},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Check(t, runBubble(t, test.steps, Options{Config: loadConfig(t)}), qt.HasLen, 0)
		})
	}
}
