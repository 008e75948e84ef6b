package api

// Headers of the caller API.
const (
	// HeaderIdempotencyKey carries an idempotency key, either the caller's own or one issued by a node.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt is "1" on the first request with an idempotency key. A node that can't resolve a key reports NotRun only then:
	// an earlier request with the key may have run on another node.
	HeaderAttempt = "Monsoonrail-Attempt"
	// HeaderRequestID carries the request's id in each answer; it is missing if the request was rejected before it got an id.
	HeaderRequestID = "Monsoonrail-Request"
	// HeaderSession carries the session token, in requests and in answers.
	HeaderSession = "Monsoonrail-Session"
	// HeaderClass carries the request's class.
	HeaderClass = "Monsoonrail-Class"
	// HeaderService carries the engine service of a chat call if the fleet has several.
	HeaderService = "Monsoonrail-Service"
	// HeaderDeadline is how long the caller waits, as a Go duration or in whole seconds.
	HeaderDeadline = "Monsoonrail-Deadline"
	// HeaderPriority is "high", "normal" or "low".
	HeaderPriority = "Monsoonrail-Priority"
	// HeaderVersion carries the model and version that answered.
	HeaderVersion = "Monsoonrail-Version"
	// HeaderRestarts carries the number of restarts of an answer's text before the stream began.
	HeaderRestarts = "Monsoonrail-Restarts"
	// HeaderRepinned carries the withdrawn version from which a session was moved to another one.
	HeaderRepinned = "Monsoonrail-Repinned-From"
	// HeaderConfigRevision carries the configuration revision in force at dispatch.
	HeaderConfigRevision = "Monsoonrail-Config-Revision"
)

// ModelAuto is the model name that leaves the choice to the router.
const ModelAuto = "auto"

// Priority orders work where capacity is short.
type Priority int

// Priorities, from the first to be shed to the last.
const (
	PriorityLow Priority = iota
	PriorityNormal
	PriorityHigh
)
