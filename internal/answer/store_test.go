package answer_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// chunkCost is the size of a chunk of chunkBytes in the store, including its end offset.
const (
	chunkBytes = 96
	chunkCost  = 100
)

var chunk = []byte(strings.Repeat("x", chunkBytes))

func newStore() *answer.Store {
	return answer.NewStore(answer.StoreOptions{MaxAnswers: 3, MaxBytes: 5 * chunkCost, MaxAnswerBytes: 4 * chunkBytes, Retention: time.Minute})
}

func open(t *testing.T, store *answer.Store, id string) *answer.Answer {
	ans, err := store.Open(answer.OpenOptions{ID: api.RequestID(id), Team: "lessons", Key: api.IdempotencyKey(id)})
	qt.Assert(t, err, qt.IsNil)
	return ans
}

func fill(t *testing.T, ans *answer.Answer, chunks int) {
	for range chunks {
		qt.Assert(t, ans.Append(chunk), qt.IsNil)
	}
}

func isKept(store *answer.Store, id string) bool {
	_, ok := store.Find("lessons", api.RequestID(id))
	return ok
}

// TestReadersSeeEveryChunkOnce attaches readers at several offsets while the answer is written and restarted.
func TestReadersSeeEveryChunkOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		ans := open(t, store, "a")
		first, second := ans.Attach(0), ans.Attach(1)
		_, idle := ans.IdleSince()
		qt.Check(t, idle, qt.IsFalse)
		go func() {
			for _, text := range []string{"a", "b", "c"} {
				_ = ans.Append([]byte(text))
				time.Sleep(time.Second)
			}
			ans.Restart()
			_ = ans.Append([]byte("d"))
			ans.Finish(answer.Tail{FinishReason: "stop"})
			ans.Fail(&api.Problem{})
		}()
		qt.Check(t, readAll(t, first), qt.Equals, "abc|d")
		qt.Check(t, readAll(t, second), qt.Equals, "d")
		qt.Check(t, readAll(t, ans.Attach(1)), qt.Equals, "")
		qt.Check(t, readAll(t, ans.AttachAfter(0, 3)), qt.Equals, "d")
		qt.Check(t, ans.Append([]byte("e")), qt.ErrorMatches, ".*has ended")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := open(t, store, "b").Attach(0).Next(ctx)
		qt.Check(t, err, qt.Equals, context.DeadlineExceeded)
	})
}

// readAll concatenates the chunks that a reader reads, with a bar where the text was restarted after some were read.
func readAll(t *testing.T, reader *answer.Reader) string {
	defer reader.Close()
	text, restarts := "", 0
	for {
		part, err := reader.Next(t.Context())
		qt.Assert(t, err, qt.IsNil)
		if part.Restarts != restarts && text != "" {
			text += "|"
		}
		restarts = part.Restarts
		for _, chunk := range part.Chunks {
			text += string(chunk)
		}
		if part.Done {
			qt.Check(t, part.Tail.FinishReason, qt.Equals, "stop")
			qt.Check(t, part.Problem == nil, qt.IsTrue)
			return text
		}
	}
}

func TestStoreDropsTheOldestFinishedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		a, b, c := open(t, store, "a"), open(t, store, "b"), open(t, store, "c")
		_, err := store.Open(answer.OpenOptions{ID: "d"})
		qt.Check(t, err, qt.ErrorMatches, ".*3 answers are running and hold 0 bytes")
		b.Finish(answer.Tail{})
		d := open(t, store, "d")
		qt.Check(t, isKept(store, "b"), qt.IsFalse, qt.Commentf("dropped by count"))

		fill(t, a, 2)
		a.Finish(answer.Tail{})
		late := a.Attach(1)
		fill(t, c, 4)
		qt.Check(t, isKept(store, "a"), qt.IsFalse, qt.Commentf("dropped by bytes"))
		part, err := late.Next(t.Context())
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, part.Dropped && part.Done, qt.IsTrue)

		time.Sleep(time.Hour)
		store.Expire(time.Now())
		qt.Check(t, isKept(store, "c") && isKept(store, "d"), qt.IsTrue, qt.Commentf("running answers do not expire"))
		d.Finish(answer.Tail{})
		time.Sleep(time.Minute - time.Nanosecond)
		store.Expire(time.Now())
		qt.Check(t, isKept(store, "d"), qt.IsTrue)
		time.Sleep(time.Nanosecond)
		store.Expire(time.Now())
		qt.Check(t, isKept(store, "d"), qt.IsFalse, qt.Commentf("dropped by age"))
		qt.Check(t, store.Stats(), qt.Equals, answer.Stats{Answers: 1, Running: 1, Bytes: 4 * chunkCost})
	})
}

// TestRunningAnswersAreBoundedInBytes checks that a full store opens no new answer, since it can't drop running ones.
func TestRunningAnswersAreBoundedInBytes(t *testing.T) {
	store := newStore()
	a, b := open(t, store, "a"), open(t, store, "b")
	fill(t, a, 4)
	qt.Check(t, answer.IsErrTooLarge(a.Append(chunk)), qt.IsTrue)
	fill(t, b, 1)
	_, err := store.Open(answer.OpenOptions{ID: "c"})
	qt.Check(t, err, qt.ErrorMatches, ".*hold 500 bytes")
	b.Finish(answer.Tail{})
	open(t, store, "c")
	qt.Check(t, isKept(store, "b"), qt.IsFalse)
	a.Restart()
	qt.Check(t, store.Stats().Bytes, qt.Equals, 0)
}

func TestKeysAndTeamsAreKeptApart(t *testing.T) {
	store := newStore()
	ans := open(t, store, "a")
	_, ok := store.Find("moderators", "a")
	qt.Check(t, ok, qt.IsFalse)
	_, ok, err := store.FindKey("moderators", "a", answer.Fingerprint{})
	qt.Check(t, ok || err != nil, qt.IsFalse)
	found, ok, _ := store.FindKey("lessons", "a", answer.Fingerprint{})
	qt.Check(t, ok && found == ans, qt.IsTrue)
	_, _, err = store.FindKey("lessons", "a", answer.Fingerprint{1})
	qt.Check(t, answer.IsErrKeyReused(err), qt.IsTrue)

	fill(t, ans, 1)
	ans.Fail(&api.Problem{Reason: api.ReasonNoServer})
	store.Forget(ans)
	store.Forget(ans)
	_, ok, _ = store.FindKey("lessons", "a", answer.Fingerprint{1})
	qt.Check(t, ok, qt.IsFalse, qt.Commentf("a forgotten key may be used again"))
	part, err := ans.Attach(0).Next(t.Context())
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, part.Problem.Reason, qt.Equals, api.ReasonNoServer)

	draft := store.Draft("a")
	fill(t, draft, 2)
	store.Discard(draft)
	qt.Check(t, store.Stats(), qt.Equals, answer.Stats{})
}

// TestAnswersAreRetainedAsRequested checks that finished answers are dropped in the order of their own expiry, whichever
// finished first.
func TestAnswersAreRetainedAsRequested(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		for id, keep := range map[api.RequestID]time.Duration{"long": time.Hour, "short": time.Second, "default": 0} {
			ans, err := store.Open(answer.OpenOptions{ID: id, Team: "lessons", Retention: keep})
			qt.Assert(t, err, qt.IsNil)
			ans.Finish(answer.Tail{})
		}
		for _, step := range []struct {
			wait time.Duration
			kept []api.RequestID
		}{
			{time.Second - time.Nanosecond, []api.RequestID{"long", "short", "default"}},
			{time.Nanosecond, []api.RequestID{"long", "default"}},
			{time.Minute - time.Second, []api.RequestID{"long"}},
			{time.Hour - time.Minute, nil},
		} {
			time.Sleep(step.wait)
			store.Expire(time.Now())
			var kept []api.RequestID
			for _, id := range []api.RequestID{"long", "short", "default"} {
				if isKept(store, string(id)) {
					kept = append(kept, id)
				}
			}
			qt.Check(t, kept, qt.DeepEquals, step.kept)
		}
	})
}
