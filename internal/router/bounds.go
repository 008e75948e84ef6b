package router

import "time"

const (
	// idBase is the base of the number in a request id.
	idBase = 36
	// drainPollInterval is the interval at which Drain checks whether requests are still running.
	drainPollInterval = 50 * time.Millisecond
	// sweepInterval is the interval at which Sweep looks for abandoned requests and expired answers.
	sweepInterval = time.Second
	// abandonTimeout is how long a request without an idempotency key keeps running after its last caller has disconnected.
	abandonTimeout = 15 * time.Second
	// maxAttempts bounds the attempts of one request that may have reached a server.
	maxAttempts = 4
	// maxResumes bounds the consecutive new connections that resume a generation without receiving a chunk.
	maxResumes = 4
	// maxResumesBeforeFirstChunk is the same bound before the first chunk, when new connections are tried after shorter
	// timeouts.
	maxResumesBeforeFirstChunk = 16
	// maxProbes is the number of failed probes by new connections after which a server counts as unreachable.
	maxProbes = 2
	// reservedRetries are retries that need not be earned by first attempts, enough for the crash of a few servers; one is
	// refilled every reservedRetryRefill.
	reservedRetries     = 64
	reservedRetryRefill = 10 * time.Second
	// headerTimeout bounds the wait for the response header of an engine.
	headerTimeout = 10 * time.Second
	// baseFirstTokenTimeout bounds the wait for the first token of an empty prompt before a new connection is tried; each token
	// of the prompt adds promptTokenTimeout. A connection tried too early does no harm.
	baseFirstTokenTimeout = 2 * time.Second
	promptTokenTimeout    = time.Millisecond
	// readyChunkWindow is the time within which a chunk arrives on a new connection if the server had already generated it.
	readyChunkWindow = 50 * time.Millisecond
	// cancelTimeout bounds the call that cancels a generation at an engine.
	cancelTimeout = 2 * time.Second
	// plainHeaderTimeout bounds the wait for the response header of a plain service.
	plainHeaderTimeout = 30 * time.Second
	// plainBlockTimeout bounds the wait between two blocks of a plain service's response body.
	plainBlockTimeout = 3 * time.Second
	// sessionLifetime is how long a session token is valid after its last use.
	sessionLifetime = 24 * time.Hour
	// resolveTimeout bounds the resolution of an idempotency key.
	resolveTimeout = 5 * time.Second
	// retryDelay is the delay before the next attempt.
	retryDelay = 20 * time.Millisecond
	// maxRetryDoublings bounds how often retryDelay is doubled while servers can't be reached.
	maxRetryDoublings = 5
	// maxRetryDelay bounds the doubled delay; it is also the delay before each further attempt of a restricted request.
	maxRetryDelay = 500 * time.Millisecond
	// noServerTimeout is how long a request waits for a server to become available.
	noServerTimeout = 2 * time.Second
	// designatedServerTimeout is how long a request that may have run on a crashed server waits for a designated server if that
	// one failed as well. The peers must report whether the request ran there: a node that crashed together with the servers
	// remains a peer for 15 s (internal/peer), and the reports of the others must be of 3 s after the failure
	// (internal/poison).
	designatedServerTimeout = 20 * time.Second
)
