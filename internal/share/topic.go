package share

import (
	"bytes"
	"compress/flate"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// maxPayloadBytes bounds a payload once it is unpacked.
	maxPayloadBytes = 4 << 20
	// packing is how many times smaller packed records are at least; it decides how many are packed into a payload.
	packing = 3
	// packedWithWords begins a payload that leaves out the topic's words; gzip begins with another byte.
	packedWithWords = 1
	// MinDictionaryProtocol is the least protocol of a peer that reads payloads without the topic's words.
	MinDictionaryProtocol = 3
)

// Error is the class of every error of the package.
var Error = errs.Class("share")

// ErrBadPayload means that a peer's payload can't be read; nothing of it was taken in.
type ErrBadPayload struct{ Cause error }

// Error implements error.
func (e *ErrBadPayload) Error() string { return "bad payload: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrBadPayload) Unwrap() error { return e.Cause }

// Options describes a topic whose records have type R.
type Options[R any] struct {
	// Name is the same on every node and release.
	Name string
	// FailureDomain is the node's own.
	FailureDomain api.FailureDomain
	// ForOwnDomain returns, by key, the records for peers of the own failure domain, Far those for all others: sums over the own
	// failure domain, and the sums of others that were heard of.
	ForOwnDomain    func(now time.Time) map[string]R
	ForOtherDomains func(now time.Time) map[string]R
	// Apply takes in records of a peer; it must be commutative, associative and idempotent.
	Apply func(records []R, now time.Time)
	// Interval is the least time between two looks at what changed.
	Interval time.Duration
	// Dictionary, the same on every release that speaks a protocol, is text that packed records are likely to repeat, the likeliest last.
	// Peers of WordsProtocol or later get payloads that leave it out.
	Dictionary []byte
}

// Topic implements peer.Topic.
type Topic[R any] struct {
	opts Options[R]
	near *set
	far  *set

	mu     sync.Mutex
	looked time.Time
}

// NewTopic returns a topic that has told nothing yet.
func NewTopic[R any](opts Options[R]) *Topic[R] {
	return &Topic[R]{opts: opts, near: newSet(), far: newSet()}
}

// Name implements peer.Topic.
func (t *Topic[R]) Name() string { return t.opts.Name }

// Since implements peer.Topic.
func (t *Topic[R]) Since(since uint64, to peer.Member, maxBytes int) ([]byte, uint64) {
	t.look(time.Now())
	from := t.far
	if to.FailureDomain == t.opts.FailureDomain {
		from = t.near
	}
	records, version := from.since(since, maxBytes*packing)
	if len(records) == 0 {
		return nil, version
	}
	var words []byte
	if to.Protocol >= MinDictionaryProtocol {
		words = t.opts.Dictionary
	}
	payload, err := pack(records, words)
	if err != nil || len(payload) > maxBytes {
		// Half as many records are tried with the next peer's question; these wait for it.
		records, version = from.since(since, maxBytes)
		payload, err = pack(records, words)
	}
	if err != nil || len(payload) > maxBytes {
		return nil, since
	}
	return payload, version
}

// look brings the sets up to date, if the last look is Interval ago.
func (t *Topic[R]) look(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.looked) < t.opts.Interval {
		return
	}
	t.looked = now
	t.near.replace(encodeAll(t.opts.ForOwnDomain(now)), now)
	t.far.replace(encodeAll(t.opts.ForOtherDomains(now)), now)
}

func encodeAll[R any](records map[string]R) map[string][]byte {
	encoded := make(map[string][]byte, len(records))
	for key, r := range records {
		if data, err := json.Marshal(r); err == nil {
			encoded[key] = data
		}
	}
	return encoded
}

// Merge implements peer.Topic. What these topics share is never urgent news.
func (t *Topic[R]) Merge(_ peer.Member, payload []byte) (news bool, err error) {
	records, err := Unpack[R](payload, t.opts.Dictionary)
	if err != nil {
		return false, err
	}
	t.opts.Apply(records, time.Now())
	return false, nil
}

// Pack makes a payload of records for a peer of WordsProtocol or later.
func Pack[R any](records []R, words []byte) ([]byte, error) {
	encoded := make([][]byte, len(records))
	for i, r := range records {
		data, err := json.Marshal(r)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		encoded[i] = data
	}
	payload, err := pack(encoded, words)
	return payload, Error.Wrap(err)
}

// Unpack returns the records of a payload, with or without words; of a bad one it returns none.
func Unpack[R any](payload, words []byte) ([]R, error) {
	raw, err := unpack(payload, words)
	if err != nil {
		return nil, Error.Wrap(&ErrBadPayload{Cause: err})
	}
	var records []R
	if err := json.Unmarshal(raw, &records); err != nil {
		return nil, Error.Wrap(&ErrBadPayload{Cause: err})
	}
	return records, nil
}

// pack writes records as a JSON array and packs it, as gzip where there are no words.
func pack(records [][]byte, words []byte) ([]byte, error) {
	var packed bytes.Buffer
	var writer io.WriteCloser = gzip.NewWriter(&packed)
	if words != nil {
		packed.WriteByte(packedWithWords)
		var err error
		if writer, err = flate.NewWriterDict(&packed, flate.BestCompression, words); err != nil {
			return nil, err
		}
	}
	joined := append([]byte("["), bytes.Join(records, []byte(","))...)
	if _, err := writer.Write(append(joined, ']')); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

func unpack(payload, words []byte) ([]byte, error) {
	if len(payload) > 0 && payload[0] == packedWithWords {
		return io.ReadAll(io.LimitReader(flate.NewReaderDict(bytes.NewReader(payload[1:]), words), maxPayloadBytes))
	}
	reader, err := gzip.NewReader(bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(reader, maxPayloadBytes))
}
