package sse

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// event is an Event whose data stays valid after the next call of Next.
type event struct{ ID, Event, Data string }

func readAll(r io.Reader, maxBytes int) ([]event, error) {
	var events []event
	reader := NewReader(r, maxBytes)
	for {
		next, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, event{ID: next.ID, Event: next.Event, Data: string(next.Data)})
	}
}

func TestNext(t *testing.T) {
	for _, test := range []struct {
		name   string
		stream string
		events []event
		err    error
	}{
		{"empty", "", nil, io.EOF},
		{"one", "id: 1\ndata: x\n\n", []event{{ID: "1", Data: "x"}}, io.EOF},
		{"crlf, comment, mark", "\xef\xbb\xbf: hello\r\ndata:x\r\ndata:\r\ndata: y\r\n\r\n", []event{{Data: "x\n\ny"}}, io.EOF},
		{"no data is no event", "id: 1\n\ndata: x\n\n", []event{{Data: "x"}}, io.EOF},
		{"cut in a line", "data: x\n\ndata: y", []event{{Data: "x"}}, io.ErrUnexpectedEOF},
		{"cut in an event", "data: x\n\ndata: y\n", []event{{Data: "x"}}, io.ErrUnexpectedEOF},
	} {
		t.Run(test.name, func(t *testing.T) {
			events, err := readAll(strings.NewReader(test.stream), 100)
			qt.Assert(t, events, qt.DeepEquals, test.events)
			qt.Assert(t, err, qt.Equals, test.err)
		})
	}
}

func TestNextBoundsEvents(t *testing.T) {
	for _, stream := range []string{
		"data: " + strings.Repeat("x", 10_000) + "\n\n",
		strings.Repeat("data: x\n", 1_000),
	} {
		_, err := readAll(strings.NewReader(stream), 5_000)
		qt.Assert(t, IsErrEventTooLarge(err), qt.IsTrue)
	}
}

func TestAppendRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.StringMatching(`[a-z0-9]{0,8}`)
		text := rapid.StringMatching(`[ -~\n]{0,40}`)
		want := event{ID: word.Draw(t, "id"), Event: word.Draw(t, "event"), Data: text.Draw(t, "data")}
		stream := Append(nil, Event{ID: want.ID, Event: want.Event, Data: []byte(want.Data)})
		events, err := readAll(bytes.NewReader(stream), 1000)
		if !errors.Is(err, io.EOF) || len(events) != 1 || events[0] != want {
			t.Fatalf("wrote %q, read %q, %v", want, events, err)
		}
	})
}

func FuzzNext(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\n"))
	f.Add([]byte("data: x\r\n\r\n: c\n\ndata"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		events, err := readAll(bytes.NewReader(stream), 64)
		if err == nil {
			t.Fatal("no end")
		}
		for _, event := range events {
			if len(event.Data) > 64 {
				t.Fatalf("event of %d bytes", len(event.Data))
			}
		}
	})
}
