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
	// TopicName names the topic of the peer exchange.
	TopicName = "trial"
	// maxMessage bounds an unpacked payload in bytes.
	maxMessage = 1 << 20
	// packedPart is how much smaller a payload surely becomes by packing.
	packedPart = 2
)

// ErrBadMessage means that a peer's payload can't be read.
type ErrBadMessage struct{ Cause error }

// Error implements error.
func (e *ErrBadMessage) Error() string { return "payload can't be read: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrBadMessage) Unwrap() error { return e.Cause }

// IsErrBadMessage reports whether err says that a peer's payload can't be read.
func IsErrBadMessage(err error) bool {
	var target *ErrBadMessage
	return errors.As(err, &target)
}

// message is a payload of the topic: JSON, packed by flate.
type message struct {
	Reports []NodeReport    `json:",omitempty"`
	Grants  []rollout.Grant `json:",omitempty"`
	Stops   []suspect.Stop  `json:",omitempty"`
	// Histories is unknown to releases that know no pooled evidence on versions in service, which pass over it.
	Histories []NodeHistory `json:",omitempty"`
}

// Name implements peer.Topic.
func (n *Node) Name() string { return TopicName }

// change is one entry that a peer lacks.
type change struct {
	seq uint64
	add func(*message)
	// size is what the entry adds to the payload at most, in bytes.
	size int
}

// Since implements peer.Topic: the oldest changes go first, and all go to every peer, which hands them on.
func (n *Node) Since(since uint64, _ peer.Member, maxBytes int) (payload []byte, version uint64) {
	n.mu.Lock()
	changes := n.shared.since(since)
	upTo := n.shared.seq
	n.mu.Unlock()
	var m message
	size := 0
	for i, c := range changes {
		size += c.size
		if size > packedPart*maxBytes {
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
	return n.packer.pack(m), upTo
}

func (s *shared) since(since uint64) []change {
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

// Merge implements peer.Topic. News is a stop that is new here. The error is IsErrBadMessage; nothing of such a payload
// is taken in.
func (n *Node) Merge(_ peer.Member, payload []byte) (news bool, err error) {
	m, err := unpack(payload)
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
		n.takeGrant(grant)
	}
	for _, stop := range m.Stops {
		news = n.hear(stop) || news
	}
	return news, nil
}

// hear takes in a peer's stop and reports whether it is new here.
func (n *Node) hear(stop suspect.Stop) bool {
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

// packer packs payloads; it keeps its writer, which is large.
type packer struct {
	mu     sync.Mutex
	writer *flate.Writer
}

func (p *packer) pack(m message) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	var packed bytes.Buffer
	if p.writer == nil {
		// The level is a valid one.
		p.writer, _ = flate.NewWriter(&packed, flate.BestSpeed)
	}
	p.writer.Reset(&packed)
	// A buffer takes every write.
	_, _ = p.writer.Write(mustMarshal(m))
	_ = p.writer.Close()
	return packed.Bytes()
}

func unpack(payload []byte) (message, error) {
	var m message
	reader := flate.NewReader(bytes.NewReader(payload))
	err := json.NewDecoder(io.LimitReader(reader, maxMessage)).Decode(&m)
	return m, err
}

// mustMarshal encodes the package's own types, which always can be.
func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
