package cmd

import "strings"

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
	}
}
