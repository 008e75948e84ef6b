package fleet

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// MaxSnapshotBytes bounds the uncompressed size of a snapshot.
const MaxSnapshotBytes = 64 << 20

// snapshot is the encoded form of a State.
type snapshot struct {
	Revision api.Revision
	ChangeID ChangeID
	// Entities is ordered by EntityID.
	Entities []Op
}

// Encode returns the state as compressed JSON; equal states yield equal bytes.
func (s *State) Encode() []byte {
	content := snapshot{Revision: s.Revision(), ChangeID: s.ChangeID}
	for id, value := range s.entities {
		content.Entities = append(content.Entities, Op{EntityID: id, Value: value})
	}
	sortOps(content.Entities)
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	// Writes to memory can't fail.
	_, _ = writer.Write(mustMarshal(content))
	_ = writer.Close()
	return out.Bytes()
}

// DecodeState decodes a state that State.Encode encoded.
func DecodeState(data []byte) (*State, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, corruptSnapshot(err)
	}
	plain, err := io.ReadAll(io.LimitReader(reader, MaxSnapshotBytes+1))
	if err != nil {
		return nil, corruptSnapshot(err)
	}
	if len(plain) > MaxSnapshotBytes {
		return nil, corruptSnapshot(io.ErrShortBuffer)
	}
	var content snapshot
	if err := json.Unmarshal(plain, &content); err != nil {
		return nil, corruptSnapshot(err)
	}
	if content.Revision < 0 {
		return nil, corruptSnapshot(&ErrOutOfOrder{Got: content.Revision})
	}
	return NewState().withOps(content.Revision, content.ChangeID, content.Entities)
}

func corruptSnapshot(cause error) error {
	return Error.Wrap(&ErrCorrupt{What: "snapshot", Cause: cause})
}

// SplitChunks splits data into chunks of at most size bytes; there is always at least one chunk.
func SplitChunks(data []byte, size int) [][]byte {
	var chunks [][]byte
	for len(data) > size {
		chunks = append(chunks, data[:size])
		data = data[size:]
	}
	return append(chunks, data)
}
