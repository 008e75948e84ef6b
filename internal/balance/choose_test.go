package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

var start = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

func fullTable(n int) *Table {
	table := NewTable()
	var configs []ServerConfig
	for i := range n {
		configs = append(configs, ServerConfig{ID: api.ServerID(fmt.Sprintf("server-%d", i))})
	}
	table.SetServers(configs)
	for i, config := range configs {
		for range i % 5 {
			table.RecordDispatch(config.ID, Dispatch{At: start})
		}
		table.RecordLoad(config.ID, LoadReport{Running: i % 7, Slots: 4 + i%8, MeasuredAt: start.Add(time.Second)})
	}
	return table
}

func fullInput(table *Table) Input {
	return Input{
		Servers: table.Servers(), Prefix: 7, PrefixTokens: 500, PromptTokens: 1000, AnswerTokens: 200,
		Choices: 0, Stickiness: 0.1, Now: start.Add(3 * time.Second), Rand: rand.New(rand.NewPCG(1, 2)),
	}
}

func BenchmarkChoose(b *testing.B) {
	for name, choices := range map[string]int{"default": DefaultChoices, "all": 0} {
		b.Run(name, func(b *testing.B) {
			in := fullInput(fullTable(MaxSubsetSize))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				in.Prefix = uint64(i + 1)
				in.Choices = choices
				if _, ok := Choose(&in); !ok {
					b.Fatal("no server chosen")
				}
			}
		})
	}
}

func TestChooseDoesNotAllocate(t *testing.T) {
	in := fullInput(fullTable(MaxSubsetSize))
	qt.Assert(t, testing.AllocsPerRun(100, func() { Choose(&in) }), qt.Equals, 0.0)
}

// require fails a rapid check unless ok; quicktest can't be used because rapid.T isn't a testing.TB.
func require(t *rapid.T, ok bool) {
	t.Helper()
	if !ok {
		t.Fatal("condition doesn't hold")
	}
}

// TestChooseReturnsEligibleServers checks that a server that is excluded, tried or not in Allowed is never chosen,
// and that a server is chosen if any is eligible.
func TestChooseReturnsEligibleServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, MaxSubsetSize).Draw(t, "servers")
		table := fullTable(n)
		in := fullInput(table)
		in.Allowed = Mask(rapid.Uint64().Draw(t, "only"))
		in.Tried = Mask(rapid.Uint64().Draw(t, "tried"))
		in.CacheHolders = Mask(rapid.Uint64().Draw(t, "holders"))
		in.Choices = rapid.IntRange(0, 5).Draw(t, "choices")
		excluded := Mask(rapid.Uint64().Draw(t, "excluded"))
		mayChoose := false
		for i := range in.Servers {
			in.Servers[i].Excluded = excluded.Has(ServerIndex(i))
			mayChoose = mayChoose || isEligible(&in, ServerIndex(i))
		}
		index, ok := Choose(&in)
		require(t, ok == mayChoose)
		if ok {
			require(t, isEligible(&in, index))
		}
	})
}

func isEligible(in *Input, i ServerIndex) bool {
	return !in.Servers[i].Excluded && !in.Tried.Has(i) && (in.Allowed == 0 || in.Allowed.Has(i))
}

// TestReportExcludesOwnRequests checks that a load report that arrives late doesn't count the node's own requests twice,
// and that a report older than the last one is ignored.
func TestReportExcludesOwnRequests(t *testing.T) {
	table := NewTable()
	table.SetServers([]ServerConfig{{ID: "a"}})
	for i := range 10 {
		table.RecordDispatch("a", Dispatch{At: start.Add(time.Duration(i) * time.Second)})
	}
	table.RecordLoad("a", LoadReport{Running: 8, MeasuredAt: start.Add(4500 * time.Millisecond)})
	qt.Assert(t, table.Servers()[0].InFlight, qt.Equals, 10)
	qt.Assert(t, table.Servers()[0].PeerInFlight, qt.Equals, 3)
	table.RecordLoad("a", LoadReport{Running: 1, MeasuredAt: start.Add(time.Second)})
	qt.Assert(t, table.Servers()[0].PeerInFlight, qt.Equals, 3)
}
