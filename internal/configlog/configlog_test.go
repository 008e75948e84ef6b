package configlog_test

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/configlog"
	"github.com/monsoonrail/monsoonrail/internal/fake/kvfake"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// stateAt returns an empty state at a revision.
func stateAt(t *testing.T, revision api.Revision) *fleet.State {
	var data bytes.Buffer
	writer := gzip.NewWriter(&data)
	fmt.Fprintf(writer, `{"Revision": %d, "ChangeID": "x"}`, revision)
	qt.Assert(t, writer.Close(), qt.IsNil)
	state, err := fleet.DecodeState(data.Bytes())
	qt.Assert(t, err, qt.IsNil)
	return state
}

// TestSnapshotOfALongHistory checks that writing a state at a high revision to an empty service takes only a few calls:
// their number must not grow with the revision.
func TestSnapshotOfALongHistory(t *testing.T) {
	service := kvfake.New()
	changes := configlog.New(service.Store(), configlog.DefaultPrefix)
	state := stateAt(t, 7_000_000)
	head, err := changes.WriteSnapshot(t.Context(), configlog.Head{}, state, 0)
	qt.Assert(t, err, qt.IsNil)
	counts := service.Counts()
	qt.Assert(t, counts.Reads+counts.Writes <= 4, qt.IsTrue, qt.Commentf("%d calls", counts.Reads+counts.Writes))

	next := fleet.Delta{Revision: head.Revision + 1, Parent: head.ChangeID, Change: fleet.Change{ID: "y"}}
	head, err = changes.Append(t.Context(), head, next)
	qt.Assert(t, err, qt.IsNil)
	history, err := changes.History(t.Context(), 20)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, history, qt.HasLen, 1)

	// A second snapshot replaces the first one and the deltas before it.
	after, err := state.Apply(next)
	qt.Assert(t, err, qt.IsNil)
	_, err = changes.WriteSnapshot(t.Context(), head, after, 0)
	qt.Assert(t, err, qt.IsNil)
	history, err = changes.History(t.Context(), 20)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, history, qt.HasLen, 0)
	again, err := changes.Head(t.Context())
	qt.Assert(t, err, qt.IsNil)
	read, err := changes.Snapshot(t.Context(), again)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, read.Revision(), qt.Equals, after.Revision())
}
