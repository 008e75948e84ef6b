package peer

import (
	"context"
	"net"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/monsoonrail/monsoonrail/internal/peer/peerpb"
	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

// Names of the metrics of bytes. They count both directions of the calls that the node makes, so that their sum over
// all nodes is the fleet's total; the traffic of a node is about twice its count, since it also serves calls.
const (
	// metricWire counts the bytes on the connections, HTTP headers included.
	metricWire = "peer.bytes.wire"
	// metricMessages counts the messages without HTTP headers; the parts below add up to it.
	metricMessages = "peer.bytes.messages"
	// metricRecords and metricPulses count the members' records and heartbeats.
	metricRecords = "peer.bytes.records"
	metricPulses  = "peer.bytes.heartbeats"
	// metricEnvelope counts the remainder of a bundle: sender, numbers and acknowledgements.
	metricEnvelope = "peer.bytes.envelope"
	// metricFetches counts the messages that fetch the configuration.
	metricFetches = "peer.bytes.fetches"
	// metricTopic is the prefix of a topic's metric; the topic's name follows it.
	metricTopic = "peer.bytes.topic."
)

// meters are the exchange's metrics.
type meters struct {
	registry     metrics.Registry
	calls        metrics.Counter
	seedCalls    metrics.Counter
	failedCalls  metrics.Counter
	droppedCalls metrics.Counter
	served       metrics.Counter
	fetches      metrics.Counter
	badPayloads  metrics.Counter
	members      metrics.Gauge

	wire         metrics.Counter
	messages     metrics.Counter
	records      metrics.Counter
	pulses       metrics.Counter
	envelope     metrics.Counter
	fetchedBytes metrics.Counter
}

func newMeters(registry metrics.Registry) *meters {
	return &meters{
		registry:     registry,
		calls:        metrics.GetOrRegisterCounter("peer.calls", registry),
		seedCalls:    metrics.GetOrRegisterCounter("peer.seed_calls", registry),
		failedCalls:  metrics.GetOrRegisterCounter("peer.failed_calls", registry),
		droppedCalls: metrics.GetOrRegisterCounter("peer.dropped_calls", registry),
		served:       metrics.GetOrRegisterCounter("peer.served", registry),
		fetches:      metrics.GetOrRegisterCounter("peer.fetches", registry),
		badPayloads:  metrics.GetOrRegisterCounter("peer.bad_payloads", registry),
		members:      metrics.GetOrRegisterGauge("peer.members", registry),
		wire:         metrics.GetOrRegisterCounter(metricWire, registry),
		messages:     metrics.GetOrRegisterCounter(metricMessages, registry),
		records:      metrics.GetOrRegisterCounter(metricRecords, registry),
		pulses:       metrics.GetOrRegisterCounter(metricPulses, registry),
		envelope:     metrics.GetOrRegisterCounter(metricEnvelope, registry),
		fetchedBytes: metrics.GetOrRegisterCounter(metricFetches, registry),
	}
}

// countBundle counts a bundle's bytes by content. The protobuf framing of a part counts as envelope.
func (m *meters) countBundle(bundle *peerpb.Bundle) {
	rest := proto.Size(bundle)
	m.messages.Inc(int64(rest))
	for _, record := range bundle.GetMembers() {
		size := proto.Size(record)
		m.records.Inc(int64(size))
		rest -= size
	}
	if pulses := proto.Size(bundle.GetPulses()); pulses > 0 {
		m.pulses.Inc(int64(pulses))
		rest -= pulses
	}
	for _, part := range bundle.GetTopics() {
		rest -= m.countTopic(part)
	}
	m.envelope.Inc(int64(rest))
}

// countTopic counts a topic's payload and returns its size. It counts nothing and returns 0 for a topic that is not
// registered here, since names that peers choose must not fill the metrics registry.
func (m *meters) countTopic(part *peerpb.TopicPart) int {
	counter, ok := m.registry.Get(metricTopic + part.Name).(metrics.Counter)
	if !ok {
		return 0
	}
	counter.Inc(int64(len(part.Payload)))
	return len(part.Payload)
}

// countFetch counts the messages of a configuration fetch.
func (m *meters) countFetch(messages ...proto.Message) {
	for _, message := range messages {
		size := int64(proto.Size(message))
		m.messages.Inc(size)
		m.fetchedBytes.Inc(size)
	}
}

// meteredNetwork counts the bytes of the connections that it opens.
type meteredNetwork struct {
	tcp.Network
	bytes metrics.Counter
}

// DialContext implements tcp.Network.
func (n meteredNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.Network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return meteredConn{Conn: conn, bytes: n.bytes}, nil
}

type meteredConn struct {
	net.Conn
	bytes metrics.Counter
}

// Read implements net.Conn.
func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Inc(int64(n))
	return n, err
}
