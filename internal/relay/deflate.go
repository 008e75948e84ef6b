package relay

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/monsoonrail/monsoonrail/internal/kv"
)

const (
	// minDeflateBytes is the size from which on a value is deflated: smaller ones fit into a few packets anyway.
	minDeflateBytes = 4 << 10
	// maxInflatedBytes bounds an inflated value.
	maxInflatedBytes = kv.MaxValueBytes
	// maxDeflatedValues bounds the deflated values that are kept.
	maxDeflatedValues = 32
)

// ErrInflate means that a deflated value is invalid or too large.
type ErrInflate struct{ Cause error }

// Error implements error.
func (e *ErrInflate) Error() string { return "invalid deflated value" }

// Unwrap returns the cause; nil if the value is too large.
func (e *ErrInflate) Unwrap() error { return e.Cause }

// deflater deflates the large values of a mirror once for all nodes that read them. It is safe for concurrent use.
type deflater struct {
	mu sync.Mutex
	// values holds the newest deflated value of each key.
	values map[string]deflatedValue
}

type deflatedValue struct {
	version kv.Version
	data    []byte
}

func newDeflater() *deflater { return &deflater{values: make(map[string]deflatedValue)} }

// encode returns an event as it is sent to a node that accepts deflated values or not.
func (d *deflater) encode(e kv.Event, acceptDeflate bool) event {
	if !acceptDeflate || len(e.Pair.Value) < minDeflateBytes {
		return event{Event: e}
	}
	data := d.deflate(e.Pair)
	e.Pair.Value = nil
	return event{Event: e, Deflated: data}
}

func (d *deflater) deflate(pair kv.Pair) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if kept, ok := d.values[pair.Key]; ok && kept.version == pair.Version {
		return kept.data
	}
	var out bytes.Buffer
	// Neither the level nor a write to a bytes.Buffer can cause an error.
	w, _ := flate.NewWriter(&out, flate.BestSpeed)
	_, _ = w.Write(pair.Value)
	_ = w.Close()
	if len(d.values) >= maxDeflatedValues {
		clear(d.values)
	}
	d.values[pair.Key] = deflatedValue{version: pair.Version, data: out.Bytes()}
	return out.Bytes()
}

func inflate(data []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxInflatedBytes+1))
	if err != nil || len(value) > maxInflatedBytes {
		return nil, Error.Wrap(&ErrInflate{Cause: err})
	}
	return value, nil
}
