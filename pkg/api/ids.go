// Package api defines the types that callers and the router share: identifiers, headers, messages of the caller API and problem
// documents.
package api

import (
	"strings"
)

// Team names a group of callers that share keys, limits and policy.
type Team string

// Service names an engine-backed or plain service that the router routes to.
type Service string

// Class names a kind of request within a service, such as "review" or "classification".
type Class string

// FailureDomain names a set of VMs that may fail together.
type FailureDomain string

// Region names a set of failure domains that are close to each other.
type Region string

// NodeID names an entry VM's process across restarts.
type NodeID string

// Incarnation names one run of a node's process; it is fresh and random at each start.
type Incarnation string

// ServerID names a backend server.
type ServerID string

// RequestID identifies a request across all its retries.
type RequestID string

// IdempotencyKey identifies a request that its caller may send more than once.
type IdempotencyKey string

// SessionToken is the signed token that pins a session to a version.
type SessionToken string

// Revision is the number of an accepted configuration, counted from 1 without gaps; 0 means none.
type Revision int64

// Tokens counts model tokens.
type Tokens int64

// MicroUSD is an amount of money in millionths of a United States dollar.
type MicroUSD int64

// Quality is a rating of an answer between 0 and 1.
type Quality float64

// VersionID names one version of one model.
type VersionID struct {
	// Model is the model's name, without "@".
	Model string
	// Version is the version's name, without "@"; empty where only the model is meant.
	Version string
}

// ParseVersionID reads "model@version" or "model".
func ParseVersionID(text string) VersionID {
	model, version, _ := strings.Cut(text, "@")
	return VersionID{Model: model, Version: version}
}

// String returns "model@version", or "model" if no version is named.
func (v VersionID) String() string {
	if v.Version == "" {
		return v.Model
	}
	return v.Model + "@" + v.Version
}

// IsZero reports whether Model is empty.
func (v VersionID) IsZero() bool { return v.Model == "" }

// MarshalText writes the id as String does.
func (v VersionID) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText reads the id as ParseVersionID does.
func (v *VersionID) UnmarshalText(text []byte) error {
	*v = ParseVersionID(string(text))
	return nil
}
