package relay

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"
	"unicode/utf8"

	"github.com/monsoonrail/monsoonrail/internal/kv"
)

// packedEvent is an event in Packed. A value that is text is kept as such, since base64 hides what values have in common.
type packedEvent struct {
	kv.Event
	Text *string `json:",omitempty"`
}

// packKey identifies the events of an answer.
type packKey struct {
	after, revision kv.Version
	// path is the call's, and count the number of events: missing keys are removed from lists without another revision.
	path  string
	count int
	// isShared is set for what several readers get alike: lists and retained changes.
	isShared bool
}

// packer packs the events of an answer together: the entries of servers differ little. It keeps the events that were packed last, which most
// readers of a mirror ask for, so that they are packed once for all of them. It is safe for concurrent use.
type packer struct {
	mu   sync.Mutex
	key  packKey
	data []byte
}

// pack returns the packed events.
func (p *packer) pack(key packKey, events []kv.Event) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.data != nil && p.key == key && key.isShared {
		return p.data
	}
	var out bytes.Buffer
	// Neither the level nor a write to a bytes.Buffer can cause an error, and events have no values that JSON can't represent.
	w, _ := flate.NewWriter(&out, flate.BestSpeed)
	encoder := json.NewEncoder(w)
	for _, e := range events {
		packed := packedEvent{Event: e}
		if utf8.Valid(e.Pair.Value) && len(e.Pair.Value) > 0 {
			text := string(e.Pair.Value)
			packed.Text, packed.Pair.Value = &text, nil
		}
		_ = encoder.Encode(packed)
	}
	_ = w.Close()
	if key.isShared {
		p.key, p.data = key, out.Bytes()
	}
	return out.Bytes()
}

func unpack(data []byte) (events []kv.Event, err error) {
	bounded := &io.LimitedReader{R: flate.NewReader(bytes.NewReader(data)), N: maxAnswerBytes}
	decoder := json.NewDecoder(bounded)
	for {
		var packed packedEvent
		switch err := decoder.Decode(&packed); {
		case err == io.EOF && bounded.N > 0:
			return events, nil
		case err != nil:
			return nil, Error.Wrap(&ErrInflate{Cause: err})
		}
		if packed.Text != nil {
			packed.Pair.Value = []byte(*packed.Text)
		}
		events = append(events, packed.Event)
	}
}

// sizeOf returns the size of the events' values in bytes.
func sizeOf(events []kv.Event) (bytes int) {
	for _, e := range events {
		bytes += len(e.Pair.Value)
	}
	return bytes
}

const hashBytes = 8

func encodeHashes(hashes []uint64) []byte {
	if hashes == nil {
		return nil
	}
	data := make([]byte, 0, len(hashes)*hashBytes)
	for _, hash := range hashes {
		data = binary.BigEndian.AppendUint64(data, hash)
	}
	return data
}

func decodeHashes(data []byte) []uint64 {
	if data == nil {
		return nil
	}
	hashes := make([]uint64, 0, len(data)/hashBytes)
	for ; len(data) >= hashBytes; data = data[hashBytes:] {
		hashes = append(hashes, binary.BigEndian.Uint64(data))
	}
	return hashes
}
