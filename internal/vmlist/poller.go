package vmlist

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonrail/monsoonrail/internal/eventlog"
	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/sleep"
)

const (
	// DefaultInterval is the time between reads of a short list.
	DefaultInterval = 2 * time.Second
	// DefaultBytesPerSecond bounds the mean rate of the reads.
	DefaultBytesPerSecond = 2 << 10
	// jitter is the part of the interval by which each wait varies.
	jitter = 0.2
	// firstSpread is the part by which the first wait after an unchanged list varies. All nodes see the next change at the same
	// time, and from then on read at times of their own, so that one of them is soon to read.
	firstSpread = 2.0
	// maxToldShare is the part of all servers that may begin to leave between two readings for peers to be told: one list that is
	// wrong about most servers is not to stop the work of all nodes.
	maxToldShare = 0.25
	// metricTold counts the servers that the node was the first it knows of to see leave, metricHeard those that peers named.
	metricTold  = "vmlist.leaving_told"
	metricHeard = "vmlist.leaving_heard"
)

// PollerOptions configures NewPoller.
type PollerOptions struct {
	Client Lister
	// Interval is the time between reads; 0 means DefaultInterval.
	Interval time.Duration
	// BytesPerSecond stretches the interval of a long list; 0 means DefaultBytesPerSecond.
	BytesPerSecond int
	Rand           *rand.Rand
	// Log gets a line for each list that changed; nil logs nothing.
	Log log.Interface
	// OnLeaving is called when servers began to leave that no peer had named; nil if nobody is told.
	OnLeaving func()
	// Metrics gets the counters of the marks; nil counts for nobody.
	Metrics metrics.Registry
}

// Poller is the duty that reads the list again and again. While the platform does not answer, the last snapshot stays.
type Poller struct {
	opts PollerOptions
	// etag names the list that snapshot was made from.
	etag        string
	told, heard metrics.Counter
	// wasLong tells that the last wait was that of a list that takes longer than the interval.
	wasLong bool

	mu sync.Mutex
	// list is what the node read last.
	list  *Snapshot
	marks marks
	// snapshot is list with the servers of marks as leaving.
	snapshot *Snapshot
	changed  chan struct{}
}

// NewPoller returns a poller with an empty snapshot.
func NewPoller(opts PollerOptions) *Poller {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	if opts.BytesPerSecond == 0 {
		opts.BytesPerSecond = DefaultBytesPerSecond
	}
	opts.Log = eventlog.OrDiscard(opts.Log)
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewRegistry()
	}
	empty := &Snapshot{}
	return &Poller{
		opts: opts, list: empty, snapshot: empty, changed: make(chan struct{}), marks: marks{newer: make(map[instance]time.Time)},
		told:  metrics.GetOrRegisterCounter(metricTold, opts.Metrics),
		heard: metrics.GetOrRegisterCounter(metricHeard, opts.Metrics),
	}
}

// Snapshot returns the newest snapshot, never nil, and a channel that is closed when a newer one is published.
func (p *Poller) Snapshot() (*Snapshot, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snapshot, p.changed
}

// Run reads the list until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		sent := int64(0)
		if fetched, err := p.opts.Client.Fetch(ctx, p.etag); err != nil {
			p.opts.Log.WithError(err).Warn("VM list not read")
		} else {
			sent = fetched.Bytes
			p.take(fetched)
		}
		sleep.For(ctx, p.nextWait(sent))
	}
	return ctx.Err()
}

// take publishes a list, unless it is older than the one held, and tells peers who began to leave.
func (p *Poller) take(fetched Fetched) {
	if fetched.IsUnchanged {
		return
	}
	if p.replace(fetched) && p.opts.OnLeaving != nil {
		p.opts.OnLeaving()
	}
}

// replace makes a list the one held, unless it is older. It reports whether servers began to leave that were not known to.
func (p *Poller) replace(fetched Fetched) (news bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fetched.List.AsOf.Before(p.list.AsOf) {
		return false
	}
	before := p.snapshot
	p.etag = fetched.ETag
	p.list = NewSnapshot(fetched.List)
	p.list.ReadNumber = before.ReadNumber + 1
	p.marks.forget(p.list.AsOf)
	p.explain(before)
	p.publish()
	// Those of the first list are old news.
	if before.ReadNumber == 0 {
		return false
	}
	return p.tellNew(before.leaving())
}

// explain logs a list that counts other VMs than the one before. The caller holds the lock.
func (p *Poller) explain(before *Snapshot) {
	now, was := p.list.counts(), before.counts()
	if now == was && before.ReadNumber > 0 {
		return
	}
	p.opts.Log.WithFields(log.Fields{
		"nodes": now.nodes, "servers": now.servers, "leaving": now.leaving,
		"servers_before": was.servers, "leaving_before": was.leaving,
		"age": time.Since(p.list.AsOf).Round(time.Millisecond).String(),
	}).Info("VM list changed")
}

// tellNew has peers told which servers began to leave, and reports whether there are any. The caller holds the lock.
func (p *Poller) tellNew(known map[instance]fleet.Server) (news bool) {
	began := p.list.leaving()
	maps.DeleteFunc(began, func(named instance, _ fleet.Server) bool {
		_, isKnown := known[named]
		return isKnown
	})
	if float64(len(began)) > maxToldShare*float64(len(p.list.Servers)) {
		p.opts.Log.WithField("servers", len(began)).Warn("more servers leave at once than peers are told of")
		return false
	}
	for _, server := range began {
		p.marks.tell(newMark(server, p.list.AsOf), time.Now())
	}
	p.told.Inc(int64(len(began)))
	return len(began) > 0
}

// publish makes a snapshot of the list and the marks. The caller holds the lock.
func (p *Poller) publish() {
	p.snapshot = p.list.withLeaving(p.marks.newer)
	close(p.changed)
	p.changed = make(chan struct{})
}

// nextWait returns the wait after an answer of some bytes.
func (p *Poller) nextWait(sent int64) time.Duration {
	pace := time.Duration(float64(sent) / float64(p.opts.BytesPerSecond) * float64(time.Second))
	wait := max(p.opts.Interval, pace)
	spread := jitter
	isLong := pace > p.opts.Interval
	if isLong && !p.wasLong {
		spread = firstSpread
	}
	p.wasLong = isLong
	return max(p.opts.Interval/2, time.Duration(float64(wait)*(1-spread/2+spread*p.opts.Rand.Float64())))
}
