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
	// DefaultBytesPerSecond bounds the mean transfer rate of the reads.
	DefaultBytesPerSecond = 2 << 10
	// jitter is the fraction of the interval by which each wait varies.
	jitter = 0.2
	// firstJitter is the jitter of the first long wait after reads of an unchanged list. All nodes see a change at the same time; the
	// large jitter then spreads their next reads, so that one node reads the following change early and reports it to its peers.
	firstJitter = 2.0
	// maxSharedFraction is the largest fraction of all servers that may begin to leave between two reads and still be reported to
	// peers, so that one list that is wrong about most servers doesn't stop all nodes from using them.
	maxSharedFraction = 0.25
	// metricReported counts the leaving servers that this node read before any peer reported them, metricReceived those that a peer
	// reported before this node read them.
	metricReported = "vmlist.leaving_told"
	metricReceived = "vmlist.leaving_heard"
)

// PollerOptions configures NewPoller.
type PollerOptions struct {
	Client Lister
	// Interval is the time between reads; 0 means DefaultInterval.
	Interval time.Duration
	// BytesPerSecond limits the mean transfer rate, which lengthens the interval of a long list; 0 means DefaultBytesPerSecond.
	BytesPerSecond int
	Rand           *rand.Rand
	// Log receives a line for each list that changed; nil logs nothing.
	Log log.Interface
	// OnLeaving, if not nil, is called when a list shows servers as leaving that no peer had reported before.
	OnLeaving func()
	// Metrics receives the counters of the marks; nil means a private registry.
	Metrics metrics.Registry
}

// Poller reads the list periodically. While the platform does not answer, the last snapshot stays in use.
type Poller struct {
	opts PollerOptions
	// etag is the ETag of list.
	etag               string
	reported, received metrics.Counter
	// wasLong is true if the last wait was lengthened beyond the interval by the transfer rate limit.
	wasLong bool

	mu sync.Mutex
	// list is the newest list that the node itself read.
	list  *Snapshot
	marks marks
	// snapshot is list with the marked servers shown as leaving.
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
		reported: metrics.GetOrRegisterCounter(metricReported, opts.Metrics),
		received: metrics.GetOrRegisterCounter(metricReceived, opts.Metrics),
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
		bytes := int64(0)
		if fetched, err := p.opts.Client.Fetch(ctx, p.etag); err != nil {
			p.opts.Log.WithError(err).Warn("could not read the VM list")
		} else {
			bytes = fetched.Bytes
			p.apply(fetched)
		}
		sleep.For(ctx, p.nextWait(bytes))
	}
	return ctx.Err()
}

// apply publishes a list, unless it is older than the current one, and calls OnLeaving if it shows newly leaving servers.
func (p *Poller) apply(fetched Fetched) {
	if fetched.IsUnchanged {
		return
	}
	if p.replace(fetched) && p.opts.OnLeaving != nil {
		p.opts.OnLeaving()
	}
}

// replace makes a list the current one, unless it is older. It reports whether there are newly leaving servers to share with peers.
func (p *Poller) replace(fetched Fetched) (hasNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if fetched.List.AsOf.Before(p.list.AsOf) {
		return false
	}
	before := p.snapshot
	p.etag = fetched.ETag
	p.list = NewSnapshot(fetched.List)
	p.list.ReadNumber = before.ReadNumber + 1
	p.marks.dropOlder(p.list.AsOf)
	p.logChange(before)
	p.publish()
	// Servers that are leaving on the first list may have been leaving for long; don't report them to peers.
	if before.ReadNumber == 0 {
		return false
	}
	return p.shareNew(before.leaving())
}

// logChange logs the new list if its counts of VMs differ from those of the previous one. The caller holds the lock.
func (p *Poller) logChange(before *Snapshot) {
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

// shareNew adds marks for the servers on the list that are leaving but not in known, and reports whether there are any. The caller
// holds the lock.
func (p *Poller) shareNew(known map[instance]fleet.Server) (hasNew bool) {
	began := p.list.leaving()
	maps.DeleteFunc(began, func(id instance, _ fleet.Server) bool {
		_, isKnown := known[id]
		return isKnown
	})
	if float64(len(began)) > maxSharedFraction*float64(len(p.list.Servers)) {
		p.opts.Log.WithField("servers", len(began)).Warn("more servers leave at once than peers are told of")
		return false
	}
	for _, server := range began {
		p.marks.share(newMark(server, p.list.AsOf), time.Now())
	}
	p.reported.Inc(int64(len(began)))
	return len(began) > 0
}

// publish makes a snapshot of the list and the marks and signals the change. The caller holds the lock.
func (p *Poller) publish() {
	p.snapshot = p.list.withLeaving(p.marks.newer)
	close(p.changed)
	p.changed = make(chan struct{})
}

// nextWait returns the wait before the next read, given the size of the last response in bytes.
func (p *Poller) nextWait(bytes int64) time.Duration {
	rateLimited := time.Duration(float64(bytes) / float64(p.opts.BytesPerSecond) * float64(time.Second))
	wait := max(p.opts.Interval, rateLimited)
	spread := jitter
	isLong := rateLimited > p.opts.Interval
	if isLong && !p.wasLong {
		spread = firstJitter
	}
	p.wasLong = isLong
	return max(p.opts.Interval/2, time.Duration(float64(wait)*(1-spread/2+spread*p.opts.Rand.Float64())))
}
