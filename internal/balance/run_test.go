package balance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var version = api.VersionID{Model: "m", Version: "1"}

// twoServers returns a table of two idle servers with one completed request each, of which "a" is a little faster than "b".
func twoServers() *Table {
	table := NewTable()
	table.SetServers([]ServerConfig{{ID: "a"}, {ID: "b"}})
	for _, server := range []struct {
		id   api.ServerID
		took time.Duration
	}{{"a", 900 * time.Millisecond}, {"b", time.Second}} {
		attemptID := table.RecordDispatch(server.id, Dispatch{PromptTokens: 400, Version: version, At: start})
		table.RecordFinish(server.id, attemptID, &Completion{
			PromptTokens: 400, AnswerTokens: 40, Version: version, FirstToken: server.took / 10, Total: server.took,
		}, start.Add(server.took))
	}
	return table
}

// chosen returns the server that Choose selects for a request.
func chosen(c *qt.C, table *Table, now time.Time) api.ServerID {
	in := Input{Servers: table.Servers(), PromptTokens: 400, AnswerTokens: 40, Now: now}
	i, ok := Choose(&in)
	c.Assert(ok, qt.IsTrue)
	return table.Servers()[i].ID
}

// TestLateRequestDivertsNewRequests checks that a server gets no new requests while one of its requests is late, and gets
// them again once that request makes progress.
func TestLateRequestDivertsNewRequests(t *testing.T) {
	c := qt.New(t)
	table := twoServers()
	at := start.Add(10 * time.Second)
	attemptID := table.RecordDispatch("a", Dispatch{PromptTokens: 400, Version: version, At: at})
	c.Check(chosen(c, table, at.Add(100*time.Millisecond)), qt.Equals, api.ServerID("a"))
	c.Check(chosen(c, table, at.Add(time.Second)), qt.Equals, api.ServerID("b"))
	table.RecordProgress("a", attemptID, 1, at.Add(time.Second))
	c.Check(chosen(c, table, at.Add(time.Second)), qt.Equals, api.ServerID("a"))
	c.Check(chosen(c, table, at.Add(2*time.Second)), qt.Equals, api.ServerID("b"))
}

// TestUnfinishedRequestLowersSpeed checks that a request that was abandoned after a long wait lowers the learnt speed of its
// server, and that one that failed at once, or whose connection was silent, does not.
func TestUnfinishedRequestLowersSpeed(t *testing.T) {
	at := start.Add(10 * time.Second)
	for name, test := range map[string]struct {
		resumed bool
		waited  time.Duration
		want    api.ServerID
	}{
		"given up after a long wait": {false, 2 * time.Second, "b"},
		"failed at once":             {false, 10 * time.Millisecond, "a"},
		"connection was silent":      {true, 2 * time.Second, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			table := twoServers()
			attemptID := table.RecordDispatch("a", Dispatch{PromptTokens: 400, Version: version, At: at})
			end := at.Add(test.waited)
			if test.resumed {
				table.RecordResume("a", attemptID, end.Add(-time.Millisecond))
			}
			table.RecordFinish("a", attemptID, nil, end)
			c.Check(chosen(c, table, end), qt.Equals, test.want)
			c.Check(table.Servers()[0].InFlight, qt.Equals, 0)
		})
	}
}

// TestSlowTokensLowerSpeedBeforeTheEnd checks that a server counts as slow while its first slow answer is still in progress, and
// that its own reports raise its speed again when it gets no requests.
func TestSlowTokensLowerSpeedBeforeTheEnd(t *testing.T) {
	c := qt.New(t)
	table := twoServers()
	at := start.Add(10 * time.Second)
	attemptID := table.RecordDispatch("a", Dispatch{PromptTokens: 400, Version: version, At: at})
	rate := table.Servers()[0].AnswerRate
	for tokens := api.Tokens(1); tokens <= 16; tokens++ {
		at = at.Add(time.Duration(8 / rate * float64(time.Second)))
		table.RecordProgress("a", attemptID, tokens, at)
	}
	slow := table.Servers()[0].AnswerRate
	c.Check(slow < 0.6*rate, qt.IsTrue, qt.Commentf("%.1f, before %.1f tokens a second", slow, rate))
	table.RecordFinish("a", attemptID, nil, at)
	c.Check(chosen(c, table, at), qt.Equals, api.ServerID("b"))
	table.RecordLoad("a", LoadReport{AnswerRate: rate, MeasuredAt: at.Add(time.Second)})
	c.Check(chosen(c, table, at.Add(time.Second)), qt.Equals, api.ServerID("b"))
	for i := range 10 {
		table.RecordLoad("a", LoadReport{AnswerRate: rate, MeasuredAt: at.Add(staleAfter + time.Duration(i)*time.Second)})
	}
	c.Check(table.Servers()[0].AnswerRate > 0.9*rate, qt.IsTrue)
}
