package cmd

// edgeCrowdCases are those of the node's listeners for others than callers, and of settings other than the usual ones.
func edgeCrowdCases() []crowdCase {
	return []crowdCase{
		{name: "requests without end, readiness", files: ampleFiles, port: readinessPort, send: repeat("", "GET /monsoonrail/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")},
		{name: "bodies of the largest size", files: ampleFiles, send: repeat(requestLine+"Content-Length: 4194304\r\n\r\n", "a")},
	}
}
