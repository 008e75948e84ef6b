package node

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/cascade"
	"github.com/monsoonrail/monsoonrail/internal/peer"
	"github.com/monsoonrail/monsoonrail/internal/poison"
	"github.com/monsoonrail/monsoonrail/internal/share"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Names of the topics. They are the same in every release.
const (
	topicSuspicions  = "suspicions"
	topicUsage       = "usage"
	topicDirectUsage = "usage-taken"
	topicRatings     = "ratings"
)

// ratingInterval is the least time between two reports of ratings.
const ratingInterval = 30 * time.Second

// ratingDictionary is the compression dictionary for records of ratings. It is fixed for protocol 3.
var ratingDictionary = []byte(`[{"Source":{"FailureDomain":"00000,"Sum":00000,"SumSquares":00000,"Histogram":[0,0,0,0,0,0,0,0,0,0]}},{"Epoch":` +
	`,"Cell":{"Ratings":,"Arm":{"First":"","Then":""}},"Series":{"Total":{"Ratings":1,"Sum":000000,"SumSquares":000000,"Histogram":` +
	`[0,0,0,0,0,0,0,0,0,0]},"Recent":[{"Epoch":14,"Cell":{"Ratings":1,"Sum":000000,"SumSquares":000000,"Histogram":[0,0,0,0,0,0,0,0,0,0` +
	`]}}]}},{"Source":{"Incarnation":""},"Key":{"Service":"","Class":"","Arm":{"First":""}},"Series":{"Total":{"Ratings":`)

// ratingTopic shares the ratings of versions with peers.
func (n *Node) ratingTopic() peer.Topic {
	return share.NewTopic(share.Options[cascade.SeriesRecord]{
		Name: topicRatings, FailureDomain: api.FailureDomain(n.opts.Settings.Node.FailureDomain),
		ForOwnDomain:    func(time.Time) map[string]cascade.SeriesRecord { return byKey(n.versionChooser.Snapshot()) },
		ForOtherDomains: func(time.Time) map[string]cascade.SeriesRecord { return byKey(n.ratingsForOtherDomains()) },
		Apply:           func(records []cascade.SeriesRecord, _ time.Time) { n.versionChooser.Merge(records) },
		Interval:        ratingInterval, Dictionary: ratingDictionary,
	})
}

// ratingsForOtherDomains returns the totals of this failure domain and the known totals of others.
func (n *Node) ratingsForOtherDomains() []cascade.SeriesRecord {
	records := n.versionChooser.Aggregate()
	for _, record := range n.versionChooser.Snapshot() {
		foreign := record.Source.FailureDomain != api.FailureDomain(n.opts.Settings.Node.FailureDomain)
		if record.Source.Incarnation == "" && foreign {
			records = append(records, record)
		}
	}
	return records
}

func byKey(records []cascade.SeriesRecord) map[string]cascade.SeriesRecord {
	keyed := make(map[string]cascade.SeriesRecord, len(records))
	for _, record := range records {
		keyed[fmt.Sprint(record.Source, record.Key)] = record
	}
	return keyed
}

// suspicionTopic shares the evidence against requests that crash servers.
type suspicionTopic struct {
	node *Node
	mu   sync.Mutex
	// version grows with each change; lastPayload is the last payload, to detect changes.
	version     uint64
	lastPayload []byte
}

// Name implements peer.Topic.
func (t *suspicionTopic) Name() string { return topicSuspicions }

// Since implements peer.Topic. All suspicions are sent together: they are few and expire within minutes.
func (t *suspicionTopic) Since(since uint64, _ peer.Member, maxBytes int) ([]byte, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.node.guard.Suspicions(time.Now())
	if len(all) == 0 {
		return nil, t.version
	}
	payload, err := json.Marshal(all)
	for err == nil && len(payload) > maxBytes && len(all) > 1 {
		all = all[len(all)/2:]
		payload, err = json.Marshal(all)
	}
	if err != nil {
		return nil, t.version
	}
	if !slices.Equal(payload, t.lastPayload) {
		t.version++
		t.lastPayload = payload
	}
	if t.version <= since {
		return nil, t.version
	}
	return payload, t.version
}

// Merge implements peer.Topic.
func (t *suspicionTopic) Merge(_ peer.Member, payload []byte) (news bool, err error) {
	var received []poison.Suspicion
	if err := json.Unmarshal(payload, &received); err != nil {
		return false, Error.Wrap(err)
	}
	now := time.Now()
	before := len(t.node.guard.Suspicions(now))
	t.node.guard.Merge(received)
	return len(t.node.guard.Suspicions(now)) > before, nil
}
