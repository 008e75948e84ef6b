package trial

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
)

// Error is the class of every error of the package.
var Error = errs.Class("trial")

const (
	// TopicName is the name of the topic in the peer exchange.
	TopicName = "trial"
	// maxMessageBytes bounds the size of a decompressed payload.
	maxMessageBytes = 1 << 20
	// minCompressionRatio is a lower bound of the compression ratio, from which the uncompressed size of a payload is chosen.
	minCompressionRatio = 2
)

// ErrBadMessage means that a peer's payload can't be decoded.
type ErrBadMessage struct{ Cause error }

// Error implements error.
func (e *ErrBadMessage) Error() string { return "payload can't be read: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrBadMessage) Unwrap() error { return e.Cause }

// IsErrBadMessage reports whether err is or wraps an ErrBadMessage.
func IsErrBadMessage(err error) bool {
	var target *ErrBadMessage
	return errors.As(err, &target)
}

// message is a payload of the topic, encoded as JSON and compressed with DEFLATE.
type message struct {
	Reports []NodeReport    `json:",omitempty"`
	Grants  []rollout.Grant `json:",omitempty"`
	Stops   []suspect.Stop  `json:",omitempty"`
	// Histories is ignored by older releases, which don't pool evidence on versions in service.
	Histories []NodeHistory `json:",omitempty"`
}

// Name implements peer.Topic.
func (n *Node) Name() string { return TopicName }

// change is one entry that a peer doesn't have yet.
type change struct {
	seq uint64
	add func(*message)
	// size is the uncompressed size of the entry in bytes.
	size int
}

// Since implements peer.Topic. It returns the oldest changes first. All changes go to every peer, and peers forward them.
func (n *Node) Since(since uint64, _ peer.Member, maxBytes int) (payload []byte, version uint64) {
	n.mu.Lock()
	changes := n.shared.since(since)
	upTo := n.shared.seq
	n.mu.Unlock()
	var m message
	size := 0
	for i, c := range changes {
		size += c.size
		if size > minCompressionRatio*maxBytes {
			upTo = changes[max(i-1, 0)].seq
			if i == 0 {
				return nil, c.seq
			}
			break
		}
		c.add(&m)
	}
	if len(changes) == 0 {
		return nil, upTo
	}
	return n.encoder.encode(m), upTo
}

func (s *sharedState) since(since uint64) []change {
	var changes []change
	add := func(seq uint64, value any, put func(*message)) {
		if seq > since {
			changes = append(changes, change{seq: seq, add: put, size: len(mustMarshal(value))})
		}
	}
	for _, e := range s.reports {
		add(e.seq, e.report, func(m *message) { m.Reports = append(m.Reports, e.report) })
	}
	for _, e := range s.grants {
		add(e.seq, e.grant, func(m *message) { m.Grants = append(m.Grants, e.grant) })
	}
	for _, e := range s.stops {
		add(e.seq, e.stop, func(m *message) { m.Stops = append(m.Stops, e.stop) })
	}
	for _, e := range s.histories {
		add(e.seq, e.history, func(m *message) { m.Histories = append(m.Histories, e.history) })
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Compare(a.seq, b.seq) })
	return changes
}

// Merge implements peer.Topic. It returns news if the payload has a stop that is new on this node. The error is ErrBadMessage;
// nothing of such a payload is applied.
func (n *Node) Merge(_ peer.Member, payload []byte) (news bool, err error) {
	m, err := decode(payload)
	if err != nil {
		return false, Error.Wrap(&ErrBadMessage{Cause: err})
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range m.Reports {
		if r.Incarnation != n.opts.Incarnation {
			n.shared.putReport(r, now)
		}
	}
	for _, history := range m.Histories {
		if history.Incarnation != n.opts.Incarnation {
			n.shared.putHistory(history, now)
		}
	}
	for _, grant := range m.Grants {
		n.mergeGrant(grant)
	}
	for _, stop := range m.Stops {
		news = n.mergeStop(stop) || news
	}
	return news, nil
}

// mergeStop applies a stop from a peer and reports whether it is new on this node.
func (n *Node) mergeStop(stop suspect.Stop) bool {
	if n.stops.IsReplaced(stop.ID) || stop.IsExpired(time.Now()) || !n.shared.putStop(stop) {
		return false
	}
	if n.stops.AddFromPeer(stop, n.confirms(stop)) {
		n.closeGate(stop)
		n.opts.Log.WithField("service", stop.Service).WithField("version", stop.Version).WithField("by", stop.Node).
			Error("version stopped by a peer: " + stop.Reason)
	}
	return true
}

// encoder encodes and compresses payloads. It reuses its flate.Writer, which needs much memory.
type encoder struct {
	mu     sync.Mutex
	writer *flate.Writer
}

func (e *encoder) encode(m message) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	var encoded bytes.Buffer
	if e.writer == nil {
		// NewWriter fails for invalid levels only.
		e.writer, _ = flate.NewWriter(&encoded, flate.BestSpeed)
	}
	e.writer.Reset(&encoded)
	// Writes to a bytes.Buffer don't fail.
	_, _ = e.writer.Write(mustMarshal(m))
	_ = e.writer.Close()
	return encoded.Bytes()
}

func decode(payload []byte) (message, error) {
	var m message
	reader := flate.NewReader(bytes.NewReader(payload))
	err := json.NewDecoder(io.LimitReader(reader, maxMessageBytes)).Decode(&m)
	return m, err
}

// mustMarshal encodes a value of the package's own types, for which encoding never fails.
func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
