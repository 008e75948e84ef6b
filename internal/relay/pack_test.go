package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/kv"
)

// serverEntries returns entries of servers as the platform writes them.
func serverEntries(count int, version kv.Version) (events []kv.Event) {
	for i := range count {
		value := fmt.Appendf(nil, `{"service":"models","address":"10.%d.%d.%d:8749","zone":"z%d","version":"v1","slots":16,"state":"ready",`+
			`"warmupLeftMs":0,"sequence":%d,"born":%d,"kvTotal":348104,"models":[{"name":"m%d","version":1,"adapters":[]}]}`,
			i/65536, i/256%256, i%256, i%3, i, 1700000000000+i*7919, i%17)
		events = append(events, kv.Event{Pair: kv.Pair{
			Key: fmt.Sprintf("servers/i-%010x", uint64(i)*2654435761%(1<<40)), Value: value, Version: version + kv.Version(i), Lease: kv.LeaseID(i * 104729),
		}})
	}
	return events
}

// TestChangesOfManyServersAreSmall relays the entries of 1,000 servers that register anew, as after the loss of a failure domain: eight readers must
// get them within half a second over a link of 10 Mbit/s.
func TestChangesOfManyServersAreSmall(t *testing.T) {
	const servers, maxBytes = 1000, 10_000_000 / 8 / 2 / 8
	m := &mirror{batch: kv.WatchBatch{Events: serverEntries(servers, 100), Revision: 100 + servers}}
	c := client(t, m)
	counting := &countingTransport{}
	c.Client = &http.Client{Transport: counting}
	for range 2 {
		counting.bytes.Store(0)
		batch, err := c.Poll(context.Background(), "", 1, 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, batch, qt.DeepEquals, m.batch)
		qt.Assert(t, counting.bytes.Load() < maxBytes, qt.IsTrue, qt.Commentf("%d bytes", counting.bytes.Load()))
	}
	t.Logf("%d bytes", counting.bytes.Load())
	// Changes up to a later revision must not be answered with those that are kept.
	m.batch.Events, m.batch.Revision = serverEntries(servers, 200), 200+servers
	batch, err := c.Poll(context.Background(), "", 1, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, batch, qt.DeepEquals, m.batch)
}

// TestDifferenceReplacesCompactedHistory relays a difference to a node that accepts one; another node gets the error, and lists all keys.
func TestDifferenceReplacesCompactedHistory(t *testing.T) {
	m := &mirror{
		err:        kv.Error.Wrap(&kv.ErrCompacted{Oldest: 5}),
		difference: &kv.WatchBatch{Events: serverEntries(1, 100), Revision: 101, KeyHashes: []uint64{1 << 63, 2}},
	}
	c := client(t, m)
	batch, err := c.Poll(context.Background(), "", 3, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, batch, qt.DeepEquals, *m.difference)
	qt.Assert(t, m.after, qt.Equals, kv.Version(3))

	resp, err := http.Post("http://"+c.Address+"/v1/store/poll", "application/json", strings.NewReader(`{"After":3,"AcceptDeflate":true}`))
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusGone)
}

// TestDifferenceOfAnEmptyStore relays the difference to a store without keys, by which a reader deletes all of its own.
func TestDifferenceOfAnEmptyStore(t *testing.T) {
	m := &mirror{
		err:        kv.Error.Wrap(&kv.ErrCompacted{Oldest: 5}),
		difference: &kv.WatchBatch{Revision: 101, KeyHashes: []uint64{}},
	}
	batch, err := client(t, m).Poll(context.Background(), "", 3, 0)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, batch.KeyHashes, qt.IsNotNil)
}
