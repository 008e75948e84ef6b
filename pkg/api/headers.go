package api

// Headers of the caller API.
const (
	// HeaderIdempotencyKey carries the caller's own or an issued idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt is "1" on the first try of an idempotency key. A node that can't ask anybody about a key says NotRun
	// only then: an earlier try may have run elsewhere.
	HeaderAttempt = "Monsoonrail-Attempt"
	// HeaderRequestID carries the request's id on each answer.
	HeaderRequestID = "Monsoonrail-Request"
	// HeaderSession carries the session token, to and from the caller.
	HeaderSession = "Monsoonrail-Session"
	// HeaderClass names the request's class.
	HeaderClass = "Monsoonrail-Class"
	// HeaderService names the engine service of a chat call where the fleet has several.
	HeaderService = "Monsoonrail-Service"
	// HeaderDeadline is how long the caller waits, as a Go duration or in whole seconds.
	HeaderDeadline = "Monsoonrail-Deadline"
	// HeaderPriority is "high", "normal" or "low".
	HeaderPriority = "Monsoonrail-Priority"
	// HeaderVersion carries the model and version that answered.
	HeaderVersion = "Monsoonrail-Version"
	// HeaderRestarts counts how often a stream's text had been begun anew when the stream began.
	HeaderRestarts = "Monsoonrail-Restarts"
	// HeaderRepinned names the withdrawn version that a session was moved away from.
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
