package cmd

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fake/platformfake"
)

const (
	// crowdNodes is a number of nodes that tell each other of their work, on listed addresses at which none is.
	crowdNodes = 20
	// engineConfiguration has a service whose nodes tell each other of their work.
	engineConfiguration = `{"version":1,"routes":[{"name":"call","host":"app.example","prefix":"/c/","routeType":"unsafe","service":"calls",` +
		`"maxAttempts":1,"public":true}],"services":[{"name":"calls","healthPath":"/health"},{"name":"models","healthPath":"/health",` +
		`"engine":{"slots":8,"kvCapacityTokens":1000,"pinMs":1000,"models":[{"name":"m","cost":1}]}}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
)

// listNodes writes the entries of crowdNodes to the store.
func listNodes(store *platformfake.Store) {
	for i := range crowdNodes {
		store.Put(fmt.Sprintf("monsoonrail/nodes/listed-%d", i), fmt.Appendf(nil,
			`{"Node":"listed-%[1]d","FailureDomain":"a","Callers":"127.1.1.%[1]d:8001","Peers":"127.1.1.%[1]d:8004","SharesWork":true}`, i))
	}
}

// listServers writes the entries of further servers to the store, which take less than 256 KiB.
func listServers(store *platformfake.Store) {
	const servers = 1700
	for i := range servers {
		store.Put(fmt.Sprintf("servers/x%d", i), fmt.Appendf(nil,
			`{"service":"calls","address":"127.1.2.1:%d","zone":"a","version":"v1","slots":8,"state":"starting","warmupLeftMs":0,"sequence":1,"born":1}`, 10_000+i))
	}
}

// ignore sends a request a number of times, in one piece, and reads no answers.
func ignore(request string, times int) func(net.Conn) {
	return func(conn net.Conn) {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(4 << 10)
		}
		if _, err := io.WriteString(conn, strings.Repeat(request, times)); err != nil {
			return
		}
		for conn.SetDeadline(time.Time{}) == nil {
			time.Sleep(crowdPause)
		}
	}
}

// tellWork opens a connection for frames of work as a node with a name of its own, and goes on there.
func tellWork(then func(net.Conn)) func(net.Conn) {
	return func(conn net.Conn) {
		_, err := fmt.Fprintf(conn, "GET /v1/work HTTP/1.1\r\nHost: peers\r\nConnection: Upgrade\r\nUpgrade: monsoonrail-work-1\r\nMonsoonrail-Node: crowd-%d\r\n"+
			"Monsoonrail-Failure-Domain: a\r\nMonsoonrail-Start: 1\r\nMonsoonrail-Session: 1\r\n\r\n", rand.Uint64())
		if err != nil {
			return
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil && resp.StatusCode == http.StatusSwitchingProtocols {
			then(conn)
		}
	}
}

// claimed returns the begin of a frame of work with the largest length.
func claimed() string { return string(append(binary.AppendUvarint(nil, 1<<20), 1)) }

// manyServers returns a frame of work at more servers than there are.
func manyServers() string {
	const servers = 300_000
	const isFull, oneRequest = 1, 1 << 2
	frame := binary.AppendUvarint([]byte{1, isFull, 0}, servers)
	for range servers {
		frame = append(frame, 1, oneRequest, 1)
	}
	return string(append(binary.AppendUvarint(nil, uint64(len(frame))), frame...))
}

// edgeCrowdCases are those of the node's listeners for others than callers, and of settings other than the usual ones.
func edgeCrowdCases() []crowdCase {
	return []crowdCase{
		{name: "requests without end, readiness", files: ampleFiles, port: readinessPort, send: repeat("", "GET /monsoonrail/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")},
		{name: "bodies of the largest size", files: ampleFiles, send: repeat(requestLine+"Content-Length: 4194304\r\n\r\n", "a")},
		{
			name: "text without end, peers", files: ampleFiles, port: peersPort,
			send: repeat("POST /v1/store/list HTTP/1.1\r\nHost: peers\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"Name\":\"\r\n", "1000\r\n"+strings.Repeat("a", 4<<10)+"\r\n"),
		},
		{
			name: "sessions without end, peers", files: ampleFiles, port: peersPort,
			send: repeat("POST /v1/rollouts/report HTTP/1.1\r\nHost: peers\r\nContent-Length: 100000000\r\n\r\n{\"Report\":{\"Sessions\":[1", ",1"),
		},
		{
			name: "claimed lengths of frames, peers", files: ampleFiles, port: peersPort, configuration: engineConfiguration, prepare: listNodes,
			send: tellWork(hold(claimed())),
		},
		{
			name: "work at many servers, peers", files: ampleFiles, port: peersPort, configuration: engineConfiguration, prepare: listNodes,
			send: tellWork(repeat("", manyServers())),
		},
		{
			name: "unread answers, peers", files: ampleFiles, memoryMB: 48, port: peersPort, prepare: listServers,
			send: ignore("POST /v1/store/list HTTP/1.1\r\nHost: peers\r\nContent-Length: 2\r\n\r\n{}", 40),
		},
		{name: "bodies that do not come, stopped", files: ampleFiles, isStopped: true, send: hold(requestLine + "Content-Length: 10\r\n\r\nx")},
		{name: "requests without end, stopped", files: ampleFiles, isStopped: true, send: repeat("", requestLine+"Content-Length: 0\r\n\r\n")},
	}
}
