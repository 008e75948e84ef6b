package vmlist

import (
	"fmt"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/peer"
)

// TopicName is the peer topic of the marks of leaving servers; it must stay the same in every release.
const TopicName = "leaving"

// ErrBadMarks means that a peer's payload can't be decoded; none of its marks was applied.
type ErrBadMarks struct{ Bytes int }

// Error implements error.
func (e *ErrBadMarks) Error() string {
	return fmt.Sprintf("payload of %d bytes is not a whole number of marks of leaving servers", e.Bytes)
}

// Topic is the peer.Topic that shares which servers began to leave. A mark from a peer supplements this node's list until the
// node itself reads a list that is newer than the mark.
type Topic struct{ poller *Poller }

// Topic returns the poller's topic.
func (p *Poller) Topic() *Topic { return &Topic{poller: p} }

// Name implements peer.Topic.
func (t *Topic) Name() string { return TopicName }

// Since implements peer.Topic.
func (t *Topic) Since(since uint64, _ peer.Member, maxBytes int) ([]byte, uint64) {
	t.poller.mu.Lock()
	defer t.poller.mu.Unlock()
	return t.poller.marks.since(since, maxBytes, time.Now())
}

// Merge implements peer.Topic. It reports news for marks of servers that newly leave, so that they are pushed on at once.
func (t *Topic) Merge(_ peer.Member, payload []byte) (news bool, err error) {
	received, err := decodeMarks(payload)
	if err != nil {
		return false, err
	}
	return t.poller.receive(received, time.Now()), nil
}

// receive applies the marks of a peer and reports whether one of them was new: neither received before nor on this node's list.
func (p *Poller) receive(received []mark, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := make(map[instance]mark)
	for _, m := range received {
		if m.asOf.Before(p.list.AsOf) || m.asOf.After(now.Add(maxClockSkew)) {
			continue
		}
		if p.marks.add(m) {
			fresh[m.instance] = m
		}
	}
	if len(fresh) == 0 {
		return false
	}
	for id := range p.list.leaving() {
		delete(fresh, id)
	}
	for _, m := range fresh {
		p.marks.share(m, now)
	}
	p.received.Inc(int64(len(fresh)))
	if len(fresh) > 0 {
		p.publish()
	}
	return len(fresh) > 0
}
