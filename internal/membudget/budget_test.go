package membudget_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/membudget"
)

const (
	testBudget = 1 << 20
	// uncounted is a size that needs no budget.
	uncounted = 32 << 10
)

// TestReadAllReturnsTheMessage reads messages of all sizes in small and large pieces: the bytes are the same, and nothing stays reserved.
func TestReadAllReturnsTheMessage(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		budget := membudget.New(testBudget)
		message := bytes.Repeat([]byte("ab"), rapid.IntRange(0, 50_000).Draw(rt, "half"))
		var from io.Reader = bytes.NewReader(message)
		if rapid.Bool().Draw(rt, "inHalves") {
			from = iotest.HalfReader(from)
		}
		reservation := budget.Reserve("s1")
		size := int64(rapid.SampledFrom([]int{0, 1, len(message) / 2, len(message), 2 * len(message)}).Draw(rt, "size"))
		got, err := reservation.ReadSized(from, size)
		if size == int64(len(message)) && cap(got) > len(message)+1 && len(message) > 0 {
			rt.Fatalf("a buffer of %d bytes for %d", cap(got), len(message))
		}
		if err != nil || !bytes.Equal(got, message) {
			rt.Fatalf("%d bytes of %d, %v", len(got), len(message), err)
		}
		if used := budget.Used(); used < int64(cap(got)-uncounted) {
			rt.Fatalf("%d bytes reserved of %d", used, cap(got))
		}
		reservation.Release()
		if budget.Used() != 0 {
			rt.Fatalf("%d bytes stay reserved", budget.Used())
		}
	})
}

// TestEndlessMessagesAreBoundedTogether reads messages without end of one sender, and then of another one: the first takes no more than its share, and messages
// of the usual size need none.
func TestEndlessMessagesAreBoundedTogether(t *testing.T) {
	budget := membudget.New(testBudget)
	read := func(sender string) error {
		_, err := budget.Reserve(sender).ReadAll(iotest.DataErrReader(endless{}))
		return err
	}
	for range 10 {
		qt.Check(t, membudget.IsErrExceeded(read("s1")), qt.IsTrue)
		qt.Check(t, budget.Used() <= testBudget/2, qt.IsTrue)
	}
	qt.Check(t, membudget.IsErrExceeded(read("s2")), qt.IsTrue)
	qt.Check(t, budget.Used() <= testBudget, qt.IsTrue)
	usual := strings.Repeat("a", uncounted/4)
	got, err := budget.Reserve("s1").ReadAll(strings.NewReader(usual))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(got), qt.Equals, usual)
}

// TestReadAllReturnsErrors passes on the error of a message that breaks off.
func TestReadAllReturnsErrors(t *testing.T) {
	broken := errors.New("broken off")
	var unbounded *membudget.Budget
	got, err := unbounded.Reserve("s1").ReadAll(io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(broken)))
	qt.Check(t, err, qt.ErrorIs, broken)
	qt.Check(t, string(got), qt.Equals, "abc")
}

// endless is a message without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }
