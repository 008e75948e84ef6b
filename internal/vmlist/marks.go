package vmlist

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
)

const (
	// markBytes is the encoded size of a mark: its instance and its time, 8 bytes each.
	markBytes = 16
	// shareFor is how long a mark is offered to peers that the push did not reach; after that they have read the list themselves.
	shareFor = 15 * time.Second
	// maxMarks bounds the marks that are kept until this node's list is as new as they are. Marks beyond the limit are dropped; the node
	// sees these servers leave when it next reads the list.
	maxMarks = 16 << 10
	// maxShared bounds the marks that are offered to peers; the oldest is evicted first.
	maxShared = 4 << 10
	// maxClockSkew is how far ahead of the local clock the time of a mark may be.
	maxClockSkew = time.Minute
)

// instance identifies a server at an address, by a hash of both.
type instance uint64

func instanceOf(server fleet.Server) instance {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(server.ID))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(server.Address)
	return instance(digest.Sum64())
}

// mark records that a list showed an instance as leaving.
type mark struct {
	instance instance
	// asOf is the AsOf of that list, rounded up to milliseconds so that an older list never compares as newer.
	asOf time.Time
}

func newMark(server fleet.Server, asOf time.Time) mark {
	rounded := asOf.Truncate(time.Millisecond)
	if rounded.Before(asOf) {
		rounded = rounded.Add(time.Millisecond)
	}
	return mark{instance: instanceOf(server), asOf: rounded}
}

// sharedMark is a mark that is offered to peers.
type sharedMark struct {
	mark
	// version is the sequence number of the mark on this node.
	version uint64
	until   time.Time
}

// marks holds the leaving servers of lists that are newer than this node's list, and the marks to offer to peers.
type marks struct {
	// newer holds, for each instance, the newest time at which a list showed it as leaving; none is older than this node's list.
	newer map[instance]time.Time
	// shared is ordered by version.
	shared []sharedMark
	// version is the sequence number of the last mark that was added to shared.
	version uint64
}

// share offers a mark to peers for the time shareFor.
func (m *marks) share(added mark, now time.Time) {
	m.version++
	if len(m.shared) >= maxShared {
		m.shared = slices.Delete(m.shared, 0, 1)
	}
	m.shared = append(m.shared, sharedMark{mark: added, version: m.version, until: now.Add(shareFor)})
}

// add keeps a mark unless a newer one is known, and reports whether its instance had no mark before.
func (m *marks) add(received mark) bool {
	known, isKnown := m.newer[received.instance]
	if !isKnown && len(m.newer) >= maxMarks {
		return false
	}
	if !isKnown || known.Before(received.asOf) {
		m.newer[received.instance] = received.asOf
	}
	return !isKnown
}

// dropOlder drops the marks that are older than this node's list, since the list itself shows which servers are leaving.
func (m *marks) dropOlder(asOf time.Time) {
	for id, at := range m.newer {
		if at.Before(asOf) {
			delete(m.newer, id)
		}
	}
}

// since encodes the marks that were added after a version, in at most maxBytes, and returns the version that a receiver has
// reached after merging them.
func (m *marks) since(version uint64, maxBytes int, now time.Time) ([]byte, uint64) {
	m.shared = slices.DeleteFunc(m.shared, func(t sharedMark) bool { return !now.Before(t.until) })
	var payload []byte
	for _, t := range m.shared {
		if t.version <= version {
			continue
		}
		if len(payload)+markBytes > maxBytes {
			return payload, version
		}
		payload = binary.BigEndian.AppendUint64(payload, uint64(t.instance))
		payload = binary.BigEndian.AppendUint64(payload, uint64(t.asOf.UnixMilli()))
		version = t.version
	}
	return payload, m.version
}

// decodeMarks decodes a payload that marks.since encoded.
func decodeMarks(payload []byte) ([]mark, error) {
	if len(payload)%markBytes != 0 {
		return nil, Error.Wrap(&ErrBadMarks{Bytes: len(payload)})
	}
	var decoded []mark
	for raw := range slices.Chunk(payload, markBytes) {
		decoded = append(decoded, mark{
			instance: instance(binary.BigEndian.Uint64(raw)),
			asOf:     time.UnixMilli(int64(binary.BigEndian.Uint64(raw[8:]))),
		})
	}
	return decoded, nil
}
