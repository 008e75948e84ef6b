// Package membudget bounds the memory that messages from other systems take together while they are read as a whole. It does no input or output of its own.
package membudget

import (
	"errors"
	"io"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of every error of the package.
var Error = errs.Class("membudget")

const (
	// freeBytes of each message are not counted, so that messages of the usual size need no budget.
	freeBytes = 32 << 10
	// maxSenderShare is the share of a budget that the messages of one sender may take, so that a faulty one doesn't use up all of it.
	maxSenderShare = 0.5
	// minReadBytes is the capacity that ReadAll begins with.
	minReadBytes = 512
)

// ErrExceeded means that a message needs more memory than its budget has left.
type ErrExceeded struct{ Bytes int64 }

// Error implements error.
func (e *ErrExceeded) Error() string { return "no memory left for large messages" }

// IsErrExceeded reports whether err is an ErrExceeded.
func IsErrExceeded(err error) bool {
	var target *ErrExceeded
	return errors.As(err, &target)
}

// Budget is an amount of memory. It is safe for concurrent use.
type Budget struct {
	max int64

	mu sync.Mutex
	// used is the sum of bySender, at most max. An entry of bySender is above 0 and at most maxSenderShare of max.
	used     int64
	bySender map[string]int64
}

// New returns a budget of a number of bytes.
func New(max int64) *Budget { return &Budget{max: max, bySender: make(map[string]int64)} }

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// add changes what a sender's messages take, and reports false if that is more than is left.
func (b *Budget) add(sender string, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ofSender := b.bySender[sender] + bytes
	if bytes > 0 && (b.used+bytes > b.max || float64(ofSender) > maxSenderShare*float64(b.max)) {
		return false
	}
	b.used += bytes
	b.bySender[sender] = ofSender
	if ofSender == 0 {
		delete(b.bySender, sender)
	}
	return true
}

// Reservation is the memory of one message. It is used by one goroutine. A nil Reservation is not bounded.
type Reservation struct {
	budget *Budget
	sender string
	bytes  int64
}

// Reserve returns a reservation of nothing yet for a message of a sender; Release must be called. A nil budget gives one that is not bounded.
func (b *Budget) Reserve(sender string) *Reservation {
	if b == nil {
		return nil
	}
	return &Reservation{budget: b, sender: sender}
}

// Resize sets the size of the message's buffers. It returns ErrExceeded, and changes nothing, if there is not enough memory left.
func (r *Reservation) Resize(size int) error {
	if r == nil {
		return nil
	}
	wanted := max(0, int64(size)-freeBytes)
	if !r.budget.add(r.sender, wanted-r.bytes) {
		return Error.Wrap(&ErrExceeded{Bytes: wanted})
	}
	r.bytes = wanted
	return nil
}

// Release gives all memory back.
func (r *Reservation) Release() {
	// Less memory is always granted.
	_ = r.Resize(0)
}

// ReadAll reads a message to its end, and returns what it has read before an error. The size that a message claims is not used: a faulty sender could
// reserve memory by it alone.
func (r *Reservation) ReadAll(from io.Reader) ([]byte, error) { return r.readAll(from, nil) }

// ReadSized is like ReadAll for a message of a known size, all of whose memory is reserved before it is read, so that messages which together need too much
// don't keep each other from being read. A message without a size, or with more bytes, is read by ReadAll.
func (r *Reservation) ReadSized(from io.Reader, size int64) ([]byte, error) {
	if size <= 0 {
		return r.readAll(from, nil)
	}
	// The byte beyond the size is for the read that finds the end.
	if err := r.Resize(int(size) + 1); err != nil {
		return nil, err
	}
	return r.readAll(from, make([]byte, 0, size+1))
}

// readAll reads a message into a buffer for which memory is reserved.
func (r *Reservation) readAll(from io.Reader, data []byte) ([]byte, error) {
	next := max(minReadBytes, 2*cap(data))
	for {
		if len(data) == cap(data) {
			// Both buffers exist while the data is copied.
			if err := r.Resize(cap(data) + next); err != nil {
				return data, err
			}
			data = append(make([]byte, 0, next), data...)
			if err := r.Resize(next); err != nil {
				return data, err
			}
			next *= 2
		}
		n, err := from.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}
