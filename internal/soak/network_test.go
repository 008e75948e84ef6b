package soak

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"

	"github.com/monsoonrail/monsoonrail/internal/tcp"
)

// relayShift is what is added to the third number of an address for that of its relay.
const relayShift = 100

// network is the loopback interface with a relay before each host; it implements play.Network.
type network struct {
	mu     sync.Mutex
	relays map[string]*relay
}

func newNetwork() *network { return &network{relays: make(map[string]*relay)} }

// reach returns the address of the relay before an address, which begins with the first call. One that can't be had shows by
// what can't be reached.
func (n *network) reach(address string) string { return n.reachAs(address, relayShift) }

// reachAs is reach with a relay of one user's own.
func (n *network) reachAs(address string, shift int) string {
	relayed := shifted(address, shift)
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.relays[relayed]; !ok {
		made, err := newRelay(relayed, address)
		if err != nil {
			return address
		}
		n.relays[relayed] = made
	}
	return relayed
}

func shifted(address string, shift int) string {
	host, port, err := net.SplitHostPort(address)
	parts := strings.Split(host, ".")
	if err != nil || len(parts) != 4 {
		return address
	}
	third, err := strconv.Atoi(parts[2])
	if err != nil {
		return address
	}
	parts[2] = strconv.Itoa(third + shift)
	return net.JoinHostPort(strings.Join(parts, "."), port)
}

// of returns the relays before a host, named by its own IP number or a relay's; all of them for "".
func (n *network) of(ip string) []*relay {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []*relay
	for listen, r := range n.relays {
		if ip == "" || strings.HasPrefix(listen, ip+":") || strings.HasPrefix(r.target, ip+":") {
			found = append(found, r)
		}
	}
	return found
}

// Host implements play.Network.
func (n *network) Host(string) tcp.Network { return tcp.System{} }

// Silence implements play.Network.
func (n *network) Silence(ip string) int {
	count := 0
	for _, r := range n.of(ip) {
		count += r.silence()
	}
	return count
}

// Down implements play.Network.
func (n *network) SetDown(ip string, down bool) {
	for _, r := range n.of(ip) {
		if down {
			r.down()
		} else if err := r.up(); err != nil {
			panic(fmt.Sprintf("relay before %s: %v", ip, err))
		}
	}
}

// Cut implements play.Network; relays don't tell who dials, so that the soak's schedule has no cuts between pairs.
func (n *network) Cut(string, string) {}

// Heal implements play.Network.
func (n *network) Heal(string, string) {}

func (n *network) close() {
	for _, r := range n.of("") {
		r.close()
	}
}
