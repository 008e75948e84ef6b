package answer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestReadAllWaitsForTheEnd restarts an answer while one reader waits for all of it, others wait for a part and one times out.
func TestReadAllWaitsForTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		ans := open(t, store, "a")
		ended, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err := ans.Attach(0).ReadAll(ended)
		qt.Check(t, err, qt.Equals, context.DeadlineExceeded)

		go func() {
			for _, text := range []string{"a", "b"} {
				_ = ans.Append([]byte(text))
				time.Sleep(time.Second)
			}
			ans.Restart()
			for _, text := range []string{"c", "d"} {
				_ = ans.Append([]byte(text))
				time.Sleep(time.Second)
			}
			ans.Finish(answer.Tail{FinishReason: "stop"})
		}()
		reader := ans.Attach(1)
		part, text, err := reader.ReadAll(t.Context())
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, string(text), qt.Equals, "cd", qt.Commentf("an offset of the earlier text is invalid in the restarted text"))
		qt.Check(t, part.Restarts, qt.Equals, 1)
		qt.Check(t, part.Done && part.Tail.FinishReason == "stop", qt.IsTrue)
		for offset, want := range []string{"cd", "d", "", ""} {
			_, text, err := ans.Attach(offset).ReadAll(t.Context())
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, string(text), qt.Equals, want)
		}

		late := ans.Attach(0)
		time.Sleep(time.Hour)
		store.Expire(time.Now())
		part, text, err = late.ReadAll(t.Context())
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, part.Dropped && part.Done && len(text) == 0, qt.IsTrue)
	})
}

// BenchmarkChunk passes chunks to a reader that waits for each.
func BenchmarkChunk(b *testing.B) {
	store := answer.NewStore(answer.StoreOptions{MaxAnswers: 1, MaxBytes: 1 << 40, MaxAnswerBytes: 1 << 31, Retention: time.Minute})
	ans, err := store.Open(answer.OpenOptions{ID: api.RequestID("a")})
	qt.Assert(b, err, qt.IsNil)
	ans.SetHead(answer.Head{})
	reader := ans.Attach(0)
	read, text := make(chan struct{}), []byte(" word")
	go func() {
		defer close(read)
		for n := 0; n < b.N; {
			part, ok, err := reader.NextWithin(b.Context(), time.Second)
			if err != nil || !ok {
				return
			}
			n += len(part.Chunks)
			if len(part.Chunks) > 0 {
				read <- struct{}{}
			}
		}
	}()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		_ = ans.Append(text)
		<-read
	}
	<-read
}
