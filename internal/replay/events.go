package replay

import (
	"container/heap"
	"time"
)

// event is something that happens at a time; events of the same time happen in the order in which they were added.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// clock runs events in virtual time.
type clock struct {
	events eventHeap
	now    time.Duration
	seq    int
}

// epoch is the wall time of the start of every replay.
var epoch = time.Date(2026, 3, 2, 9, 0, 0, 0, time.UTC)

// wall returns the present as the decision packages take it.
func (c *clock) wall() time.Time { return epoch.Add(c.now) }

// at adds an event.
func (c *clock) at(t time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{at: t, seq: c.seq, do: do})
}

// run runs events until none is left.
func (c *clock) run() {
	for len(c.events) > 0 {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.do()
	}
}
