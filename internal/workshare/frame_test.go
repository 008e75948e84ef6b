package workshare

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// payloadOf returns an encoded frame without its length.
func payloadOf(encoded []byte) []byte {
	_, n := binary.Uvarint(encoded)
	return encoded[n:]
}

func TestFramesAreReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		f := frame{
			number: rapid.Uint64().Draw(t, "number"), isFull: rapid.Bool().Draw(t, "isFull"),
			lag: time.Duration(rapid.IntRange(0, 1000).Draw(t, "lag")) * lagUnit, wants: scope(rapid.IntRange(0, int(scopes)-1).Draw(t, "wants")), entries: []entry{},
		}
		last := name(0)
		for range rapid.IntRange(0, 20).Draw(t, "entries") {
			last += name(rapid.Uint64Range(1, 1<<(nameBits-5)).Draw(t, "name"))
			e := entry{name: last, hasPace: rapid.Bool().Draw(t, "hasPace"), row: row{amounts: drawAmounts(t)}}
			if !e.hasPace {
				e.row.amounts = e.row.amounts.withPaceOf(amounts{})
			}
			if rapid.Bool().Draw(t, "hasSlowdown") {
				age := time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * slowdownTick
				e.row.slowdown = slowdown{hundredths: rapid.Int64Range(1, 1000).Draw(t, "slowdown"), at: now.Add(-age)}
			}
			f.entries = append(f.entries, e)
		}
		encoded := f.encode(now)
		_, n, err := (&frameReader{from: bufio.NewReader(bytes.NewReader(encoded))}).next()
		if err != nil || n != len(encoded) {
			t.Fatalf("%d of %d bytes, %v", n, len(encoded), err)
		}
		got, err := decodeFrame(payloadOf(encoded), []entry{}, now)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, f) {
			t.Fatalf("%+v, want %+v", got, f)
		}
	})
}

func FuzzDecodeFrame(f *testing.F) {
	now := time.Unix(1000, 0)
	f.Add(payloadOf(frame{number: 3, wants: scopeFleet, entries: []entry{{name: 7, row: row{amounts: amounts{requests: 2, unread: 30}}}}}.encode(now)))
	f.Fuzz(func(t *testing.T, payload []byte) {
		got, err := decodeFrame(payload, nil, now)
		if err != nil {
			return
		}
		for _, e := range got.entries {
			qt.Check(t, e.row.amounts.requests >= 0 && e.row.amounts.unread >= 0, qt.IsTrue)
		}
	})
}
