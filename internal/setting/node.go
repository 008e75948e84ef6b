package setting

import (
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Node holds the identity of the node and its addresses.
type Node struct {
	ID            string        `long:"node" env:"MONSOONRAIL_NODE" description:"name of this node, unique in the fleet, without dots (required)"`
	FailureDomain string        `long:"failure-domain" env:"MONSOONRAIL_FAILURE_DOMAIN" description:"failure domain of this VM (required)"`
	Region        string        `long:"region" env:"MONSOONRAIL_REGION" description:"region of this VM"`
	Listen        string        `long:"listen" env:"MONSOONRAIL_LISTEN" default:"127.0.0.1:8080" description:"IP number and port of the caller and operator APIs"`
	PeerListen    string        `long:"peer-listen" env:"MONSOONRAIL_PEER_LISTEN" default:"127.0.0.1:8081" description:"IP number and port of the peer exchange"`
	Advertise     string        `long:"advertise" env:"MONSOONRAIL_ADVERTISE" description:"base URL that callers use; made from --listen if empty"`
	PeerAdvertise string        `long:"peer-advertise" env:"MONSOONRAIL_PEER_ADVERTISE" description:"IP number and port that peers use; --peer-listen if empty"`
	Seeds         []string      `long:"seed" env:"MONSOONRAIL_SEEDS" env-delim:"," description:"IP number and port of a peer to begin with; may be repeated"`
	MetricsListen string        `long:"metrics-listen" env:"MONSOONRAIL_METRICS_LISTEN" description:"IP number and port of the metrics, served without a key; if empty they are on --listen only, with an operator's key"`
	AddressKeep   time.Duration `long:"address-keep" env:"MONSOONRAIL_ADDRESS_KEEP" default:"30s" description:"how long callers may use the addresses they were told, from 1s to 10m"`
	DrainTimeout  time.Duration `long:"drain-timeout" env:"MONSOONRAIL_DRAIN_TIMEOUT" default:"5m" description:"how long a stopping node waits for its requests, from 1s to 1h"`
}

const (
	minAddressKeep  = time.Second
	maxAddressKeep  = 10 * time.Minute
	minDrainTimeout = time.Second
	maxDrainTimeout = time.Hour
)

func (n *Node) check() []error {
	var faults []error
	if n.ID == "" || strings.ContainsAny(n.ID, "./ ") {
		faults = append(faults, badSetting("node", n.ID, "a name without dots, slashes and blanks"))
	}
	if n.FailureDomain == "" {
		faults = append(faults, badSetting("failure-domain", "", "the name of a failure domain of the configuration"))
	}
	faults = append(faults, checkAddress("listen", n.Listen)...)
	faults = append(faults, checkAddress("peer-listen", n.PeerListen)...)
	if n.PeerAdvertise != "" {
		faults = append(faults, checkAddress("peer-advertise", n.PeerAdvertise)...)
	}
	if n.MetricsListen != "" {
		faults = append(faults, checkAddress("metrics-listen", n.MetricsListen)...)
	}
	for _, seed := range n.Seeds {
		faults = append(faults, checkAddress("seed", seed)...)
	}
	faults = append(faults, checkRange("address-keep", n.AddressKeep, minAddressKeep, maxAddressKeep)...)
	return append(faults, checkRange("drain-timeout", n.DrainTimeout, minDrainTimeout, maxDrainTimeout)...)
}

// URL returns the base URL that callers use: Advertise, or one made from Listen.
func (n *Node) URL() string {
	if n.Advertise != "" {
		return strings.TrimSuffix(n.Advertise, "/")
	}
	return "http://" + n.Listen
}

// CallerAddress returns the "host:port" of URL, which callers and other nodes use.
func (n *Node) CallerAddress() string {
	if parsed, err := url.Parse(n.URL()); err == nil && parsed.Host != "" {
		return parsed.Host
	}
	return n.Listen
}

// PeerAddress returns the "IP:port" that peers use: PeerAdvertise, or PeerListen if that is empty.
func (n *Node) PeerAddress() string {
	if n.PeerAdvertise != "" {
		return n.PeerAdvertise
	}
	return n.PeerListen
}

// NodeID returns the node's ID.
func (n *Node) NodeID() api.NodeID { return api.NodeID(n.ID) }

func checkAddress(flag, address string) []error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port == "" || net.ParseIP(host) == nil {
		return []error{badSetting(flag, address, "an IP number and a port, such as 127.0.0.1:8080")}
	}
	return nil
}

// CheckListen checks the address of a listener: "IP:port", ":port" for all addresses of the machine, or empty. The error is an
// ErrBadSetting.
func CheckListen(flag, address string) error {
	if address == "" {
		return nil
	}
	host, port, err := net.SplitHostPort(address)
	if number, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || number == 0 || host != "" && net.ParseIP(host) == nil {
		return badSetting(flag, address, "a port, or an IP number and a port, such as :9464")
	}
	return nil
}

func checkRange(flag string, value, low, high time.Duration) []error {
	if value < low || value > high {
		return []error{badSetting(flag, value.String(), "from "+low.String()+" to "+high.String())}
	}
	return nil
}
