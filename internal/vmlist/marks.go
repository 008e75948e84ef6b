package vmlist

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
)

const (
	// markBytes is the size of a mark in a payload: its instance and its time.
	markBytes = 16
	// tellFor is how long a mark is told to peers that were not reached by the push; later they read it themselves.
	tellFor = 15 * time.Second
	// maxMarks bounds the marks that are held until the own list is as new. One too many is left to the own reading.
	maxMarks = 16 << 10
	// maxTold bounds the marks that are told; the oldest gives way.
	maxTold = 4 << 10
	// maxAhead is how far ahead of the own clock the time of a mark may be.
	maxAhead = time.Minute
)

// instance names a server at an address, by a hash of both.
type instance uint64

func instanceOf(server fleet.Server) instance {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(string(server.ID))
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(server.Address)
	return instance(digest.Sum64())
}

// mark says that a list showed an instance as leaving.
type mark struct {
	instance instance
	// asOf is when that list was true, rounded up to milliseconds, so that no older list seems newer.
	asOf time.Time
}

func newMark(server fleet.Server, asOf time.Time) mark {
	rounded := asOf.Truncate(time.Millisecond)
	if rounded.Before(asOf) {
		rounded = rounded.Add(time.Millisecond)
	}
	return mark{instance: instanceOf(server), asOf: rounded}
}

// tellable is a mark that peers are told.
type tellable struct {
	mark
	// version is the number of the mark at this node.
	version uint64
	until   time.Time
}

// marks holds what lists that are newer than the own one say.
type marks struct {
	// newer holds the newest time at which an instance was shown as leaving; none is older than the own list.
	newer map[instance]time.Time
	// told is ordered by version.
	told []tellable
	// version is the number of the last mark that was added to told.
	version uint64
}

// tell has a mark told to peers for a while.
func (m *marks) tell(told mark, now time.Time) {
	m.version++
	if len(m.told) >= maxTold {
		m.told = slices.Delete(m.told, 0, 1)
	}
	m.told = append(m.told, tellable{mark: told, version: m.version, until: now.Add(tellFor)})
}

// learn holds a mark unless it says nothing new, and reports whether it names an instance that had none.
func (m *marks) learn(heard mark) bool {
	known, isKnown := m.newer[heard.instance]
	if !isKnown && len(m.newer) >= maxMarks {
		return false
	}
	if !isKnown || known.Before(heard.asOf) {
		m.newer[heard.instance] = heard.asOf
	}
	return !isKnown
}

// forget drops the marks that are older than the own list, which tells by itself who leaves.
func (m *marks) forget(asOf time.Time) {
	for named, at := range m.newer {
		if at.Before(asOf) {
			delete(m.newer, named)
		}
	}
}

// since encodes the marks that were added after a version, in at most maxBytes, and returns the version that whoever takes
// them in has then.
func (m *marks) since(version uint64, maxBytes int, now time.Time) ([]byte, uint64) {
	m.told = slices.DeleteFunc(m.told, func(t tellable) bool { return !now.Before(t.until) })
	var payload []byte
	for _, t := range m.told {
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

// decodeMarks reads what since encoded.
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
