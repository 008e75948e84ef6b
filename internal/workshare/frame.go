package workshare

import (
	"bufio"
	"cmp"
	"encoding/binary"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/membudget"
)

const (
	// maxFrameBytes and maxEntries bound a frame, maxAmount each amount in one.
	maxFrameBytes = 1 << 20
	maxEntries    = 1 << 15
	maxAmount     = 1 << 40
	// smallFrameBytes is the size up to which a frame's memory is taken before it has arrived.
	smallFrameBytes = 4 << 10
	// lagUnit is the unit of a frame's lag, and maxLag bounds it.
	lagUnit = 10 * time.Millisecond
	maxLag  = uint64(time.Hour)
	// maxKeptEntries is the largest number of entries for which memory is kept between frames.
	maxKeptEntries = 256
)

// ErrMalformed means that a frame could not be decoded.
type ErrMalformed struct{ Cause error }

// Error implements error.
func (e *ErrMalformed) Error() string { return "malformed frame: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ErrMalformed) Unwrap() error { return e.Cause }

// scope says which nodes' work is summed.
type scope byte

const (
	// scopeNone stands for no sums, scopeDomain for those over the nodes of an aggregator's failure domain, scopeFleet for those over all nodes.
	scopeNone scope = iota
	scopeDomain
	scopeFleet
	scopes
)

// frame is a message in either direction: a node's report, with the sums that it wants, or an aggregator's sums.
type frame struct {
	// number counts the reports of a connection from 1. That of a frame with sums is the one of the last report in them.
	number uint64
	// isFull says that servers that aren't mentioned have no work under way.
	isFull bool
	wants  scope
	// lag is how much earlier than the frame the time is as of which the sums are known, since there was no room for all changes.
	lag     time.Duration
	entries []entry
}

// entry is what a frame says about a server. The slowdown is optional.
type entry struct {
	name name
	row  row
	// hasPace says that the frame has the pace of the answers; otherwise the earlier one stays.
	hasPace bool
}

// Bits of an entry's head; the others hold the number of requests.
const (
	headPace     = 1 << 0
	headSlowdown = 1 << 1
	headBits     = 2
)

// limited returns an amount as a frame can hold it: sums may be larger.
func limited(amount int64) uint64 { return uint64(min(max(amount, 0), maxAmount)) }

// appendEntries appends the entries, which it orders by name.
func appendEntries(b []byte, entries []entry, now time.Time) []byte {
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.name, b.name) })
	b = binary.AppendUvarint(b, uint64(len(entries)))
	var last name
	for _, e := range entries {
		b = binary.AppendUvarint(b, uint64(e.name-last))
		last = e.name
		head := limited(e.row.amounts.requests) << headBits
		if e.hasPace {
			head |= headPace
		}
		if e.row.slowdown.isCurrent(now) {
			head |= headSlowdown
		}
		b = binary.AppendUvarint(b, head)
		b = binary.AppendUvarint(b, limited(e.row.amounts.unread))
		if e.hasPace {
			for _, amount := range []int64{e.row.amounts.answers, e.row.amounts.took, e.row.amounts.expected} {
				b = binary.AppendUvarint(b, limited(amount))
			}
		}
		if head&headSlowdown != 0 {
			b = binary.AppendUvarint(b, uint64(e.row.slowdown.hundredths))
			b = binary.AppendUvarint(b, uint64(max(now.Sub(e.row.slowdown.at), 0)/slowdownTick))
		}
	}
	return b
}

// appendFrame appends a frame whose entries are encoded already.
func appendFrame(b []byte, f frame, entries []byte) []byte {
	head := binary.AppendUvarint(nil, f.number)
	flags := byte(f.wants) << 1
	if f.isFull {
		flags |= 1
	}
	head = binary.AppendUvarint(append(head, flags), uint64(f.lag/lagUnit))
	b = binary.AppendUvarint(b, uint64(len(head)+len(entries)))
	return append(append(b, head...), entries...)
}

// encode encodes a frame.
func (f frame) encode(now time.Time) []byte {
	return appendFrame(nil, f, appendEntries(nil, f.entries, now))
}

// frameReader reads frames from a connection.
type frameReader struct {
	from *bufio.Reader
	// memory is that of large frames until the next one is read; nil means that it isn't bounded.
	memory *membudget.Reservation
	// payload and entries are the memory of the last frame.
	payload []byte
	entries []entry
}

// next reads a frame, which is valid until the next one is read. Times in it become those of this node's clock. n is the number of its bytes.
func (r *frameReader) next() (f frame, n int, err error) {
	if n, err = r.receive(); err != nil {
		return frame{}, 0, err
	}
	f, err = r.decode()
	return f, n, err
}

// receive reads a frame that decode returns. n is the number of its bytes.
func (r *frameReader) receive() (n int, err error) {
	length, err := binary.ReadUvarint(r.from)
	if err != nil {
		return 0, err
	}
	if length > maxFrameBytes {
		return 0, Error.Wrap(&ErrMalformed{errors.New("too long")})
	}
	if err := r.read(int(length)); err != nil {
		return 0, err
	}
	return int(length) + uvarintLen(length), nil
}

// decode returns the frame that was received.
func (r *frameReader) decode() (frame, error) {
	f, err := decodeFrame(r.payload, r.entries[:0], time.Now())
	r.entries = f.entries
	if cap(r.entries) > maxKeptEntries {
		r.payload, r.entries = nil, nil
	}
	return f, err
}

// read reads a number of bytes into payload. The memory of many is taken as they arrive.
func (r *frameReader) read(length int) error {
	r.memory.Release()
	if length <= smallFrameBytes {
		r.payload = slices.Grow(r.payload[:0], length)[:length]
		_, err := io.ReadFull(r.from, r.payload)
		return err
	}
	var err error
	if r.payload, err = r.memory.ReadAll(io.LimitReader(r.from, int64(length))); err == nil && len(r.payload) < length {
		err = io.ErrUnexpectedEOF
	}
	return err
}

// uvarintLen returns the number of bytes of an encoded number.
func uvarintLen(x uint64) int {
	return len(binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64), x))
}

// decodeFrame decodes a frame without its length. Its entries are appended to some memory.
func decodeFrame(payload []byte, entries []entry, now time.Time) (frame, error) {
	d := decoder{rest: payload}
	f := frame{number: d.uvarint()}
	flags := d.byte()
	f.isFull, f.wants = flags&1 != 0, scope(flags>>1)
	f.lag = time.Duration(min(d.uvarint(), maxLag/uint64(lagUnit))) * lagUnit
	length := d.uvarint()
	if f.wants >= scopes || length > min(uint64(len(payload)), maxEntries) {
		d.isBroken = true
	}
	if d.isBroken {
		return frame{}, Error.Wrap(&ErrMalformed{errors.New("invalid head")})
	}
	f.entries = slices.Grow(entries, int(length))
	var last uint64
	for range length {
		last += d.uvarint()
		e := entry{name: name(last)}
		head := d.uvarint()
		e.hasPace = head&headPace != 0
		e.row.amounts.requests, e.row.amounts.unread = int64(head>>headBits), d.amount()
		if e.hasPace {
			e.row.amounts.answers, e.row.amounts.took, e.row.amounts.expected = d.amount(), d.amount(), d.amount()
		}
		if head&headSlowdown != 0 {
			hundredths, age := d.amount(), d.amount()
			e.row.slowdown = slowdown{hundredths: hundredths, at: now.Add(-min(time.Duration(age), time.Duration(slowdownStays/slowdownTick)) * slowdownTick)}
		}
		if d.isBroken || last >= 1<<nameBits || e.row.amounts.requests > maxAmount {
			return frame{}, Error.Wrap(&ErrMalformed{errors.New("invalid entry")})
		}
		f.entries = append(f.entries, e)
	}
	if len(d.rest) > 0 {
		return frame{}, Error.Wrap(&ErrMalformed{errors.New("bytes after the last entry")})
	}
	return f, nil
}

// decoder reads numbers; isBroken is set once one is missing or invalid.
type decoder struct {
	rest     []byte
	isBroken bool
}

func (d *decoder) uvarint() uint64 {
	x, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.isBroken, d.rest = true, nil
		return 0
	}
	d.rest = d.rest[n:]
	return x
}

func (d *decoder) amount() int64 {
	x := d.uvarint()
	if x > maxAmount {
		d.isBroken = true
		return 0
	}
	return int64(x)
}

func (d *decoder) byte() byte {
	if len(d.rest) == 0 {
		d.isBroken = true
		return 0
	}
	b := d.rest[0]
	d.rest = d.rest[1:]
	return b
}
