package framing_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/framing"
)

// TestVerdicts lists the verdict of every end of an answer (docs/decisions/0086-ends-of-answers.md).
func TestVerdicts(t *testing.T) {
	const (
		complete, unconfirmed, broken = framing.Complete, framing.Unconfirmed, framing.Broken
	)
	places := []framing.Place{framing.BeforeFirstEvent, framing.WithinEvent, framing.AfterEvent, framing.NotEvents}
	for _, row := range []struct {
		framing framing.Framing
		cause   framing.Cause
		// want has the verdict for each of the places.
		want [4]framing.Verdict
	}{
		{framing.Length, framing.CauseEnd, [4]framing.Verdict{complete, broken, complete, complete}},
		{framing.Chunked, framing.CauseEnd, [4]framing.Verdict{complete, broken, complete, complete}},
		{framing.Close, framing.CauseEnd, [4]framing.Verdict{broken, broken, unconfirmed, unconfirmed}},
		{framing.Length, framing.CauseBroken, [4]framing.Verdict{broken, broken, broken, broken}},
		{framing.Chunked, framing.CauseBroken, [4]framing.Verdict{broken, broken, broken, broken}},
		{framing.Close, framing.CauseBroken, [4]framing.Verdict{broken, broken, broken, broken}},
		{framing.Length, framing.CauseSilence, [4]framing.Verdict{broken, broken, broken, broken}},
		{framing.Chunked, framing.CauseSilence, [4]framing.Verdict{broken, broken, broken, broken}},
		{framing.Close, framing.CauseSilence, [4]framing.Verdict{broken, broken, broken, broken}},
	} {
		for i, place := range places {
			end := framing.End{Framing: row.framing, Place: place, Cause: row.cause}
			qt.Check(t, end.Verdict(), qt.Equals, row.want[i], qt.Commentf("%v, %v, %v", row.framing, place, row.cause))
		}
	}
}

// TestCallerIsNeverToldMore checks that an answer ends properly only if that shows the caller no more than the server's bytes show.
func TestCallerIsNeverToldMore(t *testing.T) {
	for _, row := range []struct {
		verdict framing.Verdict
		caller  framing.Framing
		want    bool
	}{
		{framing.Complete, framing.Length, true},
		{framing.Complete, framing.Chunked, true},
		{framing.Complete, framing.Close, true},
		{framing.Unconfirmed, framing.Length, false},
		{framing.Unconfirmed, framing.Chunked, false},
		{framing.Unconfirmed, framing.Close, true},
		{framing.Broken, framing.Length, false},
		{framing.Broken, framing.Chunked, false},
		{framing.Broken, framing.Close, false},
	} {
		qt.Check(t, framing.MayEnd(row.verdict, row.caller), qt.Equals, row.want, qt.Commentf(fmt.Sprint(row.verdict, row.caller)))
	}
}
