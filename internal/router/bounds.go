package router

import "time"

const (
	// idBase is the base of the number in a request id.
	idBase = 36
	// drainPoll is how often Drain looks whether requests run.
	drainPoll = 50 * time.Millisecond
	// sweepInterval is how often abandoned requests and old answers are looked for.
	sweepInterval = time.Second
	// abandonAfter is how long a request without a key goes on when its caller is gone.
	abandonAfter = 15 * time.Second
	// maxAttempts bounds the servers that one request is sent to.
	maxAttempts = 4
	// maxResumes bounds the new connections on which one generation is resumed without a chunk coming.
	maxResumes = 4
	// maxFirstResumes bounds those before the first chunk, which are tried after shorter waits.
	maxFirstResumes = 16
	// maxProbes bounds the new connections to a server that doesn't answer before it counts as dead.
	maxProbes = 2
	// reservedRetries are those that need no first tries before them, enough for the death of a few servers; one comes
	// back every reserveRefill.
	reservedRetries = 64
	reserveRefill   = 10 * time.Second
	// headerTimeout bounds the time to the header of an engine's answer.
	headerTimeout = 10 * time.Second
	// firstTokenPatience bounds the time to the first token after which a new connection is tried, for an empty prompt;
	// each token of the prompt adds promptTokenPatience. A connection tried too early does no harm.
	firstTokenPatience  = 2 * time.Second
	promptTokenPatience = time.Millisecond
	// readyWithin is how soon a chunk comes on a new connection if the server had it ready.
	readyWithin = 50 * time.Millisecond
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
	// retryWait is the wait before another server is tried.
	retryWait = 20 * time.Millisecond
	// maxWaitDoublings bounds how often retryWait is doubled where servers can't be reached.
	maxWaitDoublings = 5
	// guardedWait bounds that wait, and is the one before a guarded request that could not be sent is tried again.
	guardedWait = 500 * time.Millisecond
	// noServerWait is how long a request waits for a server to come.
	noServerWait = 2 * time.Second
	// noPlaceWait is how long a request that ran on a server which died waits for the peers to tell whether it ran on its
	// one place too, which died as well. A node that died with them counts as a peer for 15 s (internal/peer), and the news
	// of the others must be of 3 s after the death (internal/poison).
	noPlaceWait = 20 * time.Second
)
