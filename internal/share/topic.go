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
	// maxPayloadBytes bounds the size of a decompressed payload.
	maxPayloadBytes = 4 << 20
	// minCompressionRatio is the assumed minimum compression ratio, from which the number of records in a payload is chosen.
	minCompressionRatio = 3
	// dictionaryMarker is the first byte of a payload that is compressed with the topic's dictionary. A gzip payload begins with
	// another byte.
	dictionaryMarker = 1
	// MinDictionaryProtocol is the lowest protocol version of peers that can read payloads compressed with a dictionary.
	MinDictionaryProtocol = 3
)

// Error is the class of every error of the package.
var Error = errs.Class("share")

// ErrBadPayload means that a peer's payload can't be decoded. Nothing of it was applied.
type ErrBadPayload struct{ Cause error }

// Error implements error.
func (e *ErrBadPayload) Error() string { return "bad payload: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrBadPayload) Unwrap() error { return e.Cause }

// Options describes a topic whose records have type R.
type Options[R any] struct {
	// Name is the name of the topic, the same on every node and in every release.
	Name string
	// FailureDomain is the failure domain of this node.
	FailureDomain api.FailureDomain
	// ForOwnDomain returns, by key, the records for peers of the own failure domain, ForOtherDomains those for all other peers:
	// sums over the own failure domain, and the sums received from others.
	ForOwnDomain    func(now time.Time) map[string]R
	ForOtherDomains func(now time.Time) map[string]R
	// Apply merges records of a peer; it must be commutative, associative and idempotent.
	Apply func(records []R, now time.Time)
	// Interval is the minimum time between two checks for changed records.
	Interval time.Duration
	// Dictionary is the preset dictionary of the compression, the text that encoded records are likely to contain, the most likely
	// last. It must be the same in every release with the same protocol version. It is used for peers of MinDictionaryProtocol or later.
	Dictionary []byte
}

// Topic is a topic of the peer exchange. It implements peer.Topic.
type Topic[R any] struct {
	opts         Options[R]
	ownDomain    *recordSet
	otherDomains *recordSet

	mu          sync.Mutex
	refreshedAt time.Time
}

// NewTopic returns a topic of which nothing was sent yet.
func NewTopic[R any](opts Options[R]) *Topic[R] {
	return &Topic[R]{opts: opts, ownDomain: newRecordSet(), otherDomains: newRecordSet()}
}

// Name implements peer.Topic.
func (t *Topic[R]) Name() string { return t.opts.Name }

// Since implements peer.Topic.
func (t *Topic[R]) Since(since uint64, to peer.Member, maxBytes int) ([]byte, uint64) {
	t.refresh(time.Now())
	set := t.otherDomains
	if to.FailureDomain == t.opts.FailureDomain {
		set = t.ownDomain
	}
	records, version := set.since(since, maxBytes*minCompressionRatio)
	if len(records) == 0 {
		return nil, version
	}
	var dictionary []byte
	if to.Protocol >= MinDictionaryProtocol {
		dictionary = t.opts.Dictionary
	}
	payload, err := compress(records, dictionary)
	if err != nil || len(payload) > maxBytes {
		// The records compress less than assumed. Only as many as fit uncompressed are sent; the others wait for the next exchange.
		records, version = set.since(since, maxBytes)
		payload, err = compress(records, dictionary)
	}
	if err != nil || len(payload) > maxBytes {
		return nil, since
	}
	return payload, version
}

// refresh updates the records if the last refresh was at least Interval ago.
func (t *Topic[R]) refresh(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.refreshedAt) < t.opts.Interval {
		return
	}
	t.refreshedAt = now
	t.ownDomain.replace(encodeAll(t.opts.ForOwnDomain(now)), now)
	t.otherDomains.replace(encodeAll(t.opts.ForOtherDomains(now)), now)
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

// Merge implements peer.Topic. It never returns news, since no record of these topics is urgent. The error is ErrBadPayload.
func (t *Topic[R]) Merge(_ peer.Member, payload []byte) (news bool, err error) {
	records, err := Unpack[R](payload, t.opts.Dictionary)
	if err != nil {
		return false, err
	}
	t.opts.Apply(records, time.Now())
	return false, nil
}

// Pack encodes records as a payload for a peer of MinDictionaryProtocol or later. With a nil dictionary any peer can read it.
func Pack[R any](records []R, dictionary []byte) ([]byte, error) {
	encoded := make([][]byte, len(records))
	for i, r := range records {
		data, err := json.Marshal(r)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		encoded[i] = data
	}
	payload, err := compress(encoded, dictionary)
	return payload, Error.Wrap(err)
}

// Unpack decodes the records of a payload that was compressed with or without the dictionary. The error is ErrBadPayload.
func Unpack[R any](payload, dictionary []byte) ([]R, error) {
	raw, err := decompress(payload, dictionary)
	if err != nil {
		return nil, Error.Wrap(&ErrBadPayload{Cause: err})
	}
	var records []R
	if err := json.Unmarshal(raw, &records); err != nil {
		return nil, Error.Wrap(&ErrBadPayload{Cause: err})
	}
	return records, nil
}

// compress encodes records as a JSON array and compresses it, with DEFLATE and the dictionary or as gzip if that is nil.
func compress(records [][]byte, dictionary []byte) ([]byte, error) {
	var compressed bytes.Buffer
	var writer io.WriteCloser = gzip.NewWriter(&compressed)
	if dictionary != nil {
		compressed.WriteByte(dictionaryMarker)
		var err error
		if writer, err = flate.NewWriterDict(&compressed, flate.BestCompression, dictionary); err != nil {
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
	return compressed.Bytes(), nil
}

func decompress(payload, dictionary []byte) ([]byte, error) {
	if len(payload) > 0 && payload[0] == dictionaryMarker {
		return io.ReadAll(io.LimitReader(flate.NewReaderDict(bytes.NewReader(payload[1:]), dictionary), maxPayloadBytes))
	}
	reader, err := gzip.NewReader(bytes.NewReader(payload))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(reader, maxPayloadBytes))
}
