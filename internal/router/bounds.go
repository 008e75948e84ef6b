package router

import "time"

const (
	// idBase is the base of the number in a request id.
	idBase = 36
	// drainPollInterval is how often Drain looks whether requests run.
	drainPollInterval = 50 * time.Millisecond
	// sweepInterval is how often abandoned requests and old answers are looked for.
	sweepInterval = time.Second
	// abandonTimeout is how long a request without a key goes on when its caller is gone.
	abandonTimeout = 15 * time.Second
	// maxAttempts bounds the servers that one request is sent to.
	maxAttempts = 4
	// maxResumes bounds the new connections on which one generation is resumed without a chunk coming.
	maxResumes = 4
	// maxResumesBeforeFirstChunk bounds those before the first chunk, which are tried after shorter waits.
	maxResumesBeforeFirstChunk = 16
	// maxProbes bounds the new connections to a server that doesn't answer before it counts as dead.
	maxProbes = 2
	// reservedRetries are those that need no first tries before them, enough for the death of a few servers; one comes
	// back every reserveRefill.
	reservedRetries     = 64
	reservedRetryRefill = 10 * time.Second
	// headerTimeout bounds the time to the header of an engine's answer.
	headerTimeout = 10 * time.Second
	// baseFirstTokenTimeout bounds the time to the first token after which a new connection is tried, for an empty prompt;
	// each token of the prompt adds promptTokenPatience. A connection tried too early does no harm.
	baseFirstTokenTimeout = 2 * time.Second
	promptTokenTimeout    = time.Millisecond
	// readyChunkWindow is how soon a chunk comes on a new connection if the server had it ready.
	readyChunkWindow = 50 * time.Millisecond
	// cancelTimeout bounds the order to an engine to end a generation.
	cancelTimeout = 2 * time.Second
	// plainHeaderTimeout bounds the time to the header of a plain service's answer.
	plainHeaderTimeout = 30 * time.Second
	// plainBlockTimeout bounds the time between two blocks of a plain service's answer.
	plainBlockTimeout = 3 * time.Second
	// sessionLifetime is how long a session token is valid after its last use.
	sessionLifetime = 24 * time.Hour
	// resolveTimeout bounds the decision about an idempotency key.
	resolveTimeout = 5 * time.Second
	// retryDelay is the wait before another server is tried.
	retryDelay = 20 * time.Millisecond
	// maxRetryDoublings bounds how often retryWait is doubled where servers can't be reached.
	maxRetryDoublings = 5
	// maxRetryDelay bounds that wait, and is the one before a guarded request that could not be sent is tried again.
	maxRetryDelay = 500 * time.Millisecond
	// noServerTimeout is how long a request waits for a server to come.
	noServerTimeout = 2 * time.Second
	// designatedServerTimeout is how long a request that ran on a server which died waits for the peers to tell whether it ran on its
	// one place too, which died as well. A node that died with them counts as a peer for 15 s (internal/peer), and the news
	// of the others must be of 3 s after the death (internal/poison).
	designatedServerTimeout = 20 * time.Second
)
