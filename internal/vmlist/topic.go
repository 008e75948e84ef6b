package vmlist

import (
	"fmt"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/peer"
)

// TopicName names the marks of leaving servers among what nodes share, the same on every release.
const TopicName = "leaving"

// ErrBadMarks means that a peer's payload can't be read; nothing of it was taken in.
type ErrBadMarks struct{ Bytes int }

// Error implements error.
func (e *ErrBadMarks) Error() string {
	return fmt.Sprintf("%d bytes are no marks of leaving servers", e.Bytes)
}

// Topic shares which servers began to leave, as a peer.Topic. A mark of a peer adds to what the own list says until the node
// itself reads a list that is newer than the mark.
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

// Merge implements peer.Topic. Servers that begin to leave are urgent news.
func (t *Topic) Merge(_ peer.Member, payload []byte) (news bool, err error) {
	heard, err := decodeMarks(payload)
	if err != nil {
		return false, err
	}
	return t.poller.hear(heard, time.Now()), nil
}

// hear takes in the marks of a peer and reports whether there was one that the node had neither heard nor read.
func (p *Poller) hear(heard []mark, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := make(map[instance]mark)
	for _, m := range heard {
		if m.asOf.Before(p.list.AsOf) || m.asOf.After(now.Add(maxAhead)) {
			continue
		}
		if p.marks.learn(m) {
			fresh[m.instance] = m
		}
	}
	if len(fresh) == 0 {
		return false
	}
	for named := range p.list.leaving() {
		delete(fresh, named)
	}
	for _, m := range fresh {
		p.marks.tell(m, now)
	}
	p.heard.Inc(int64(len(fresh)))
	if len(fresh) > 0 {
		p.publish()
	}
	return len(fresh) > 0
}
