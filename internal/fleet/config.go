// Package fleet holds the fleet's configuration: defaults, exceptions with reasons, services, models, versions and
// teams. It resolves the policy in force for a request and, but for Load, does no I/O.
package fleet

import (
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Config is one accepted revision of the configuration; it is immutable once published.
type Config struct {
	// Revision grows by one with each accepted change.
	Revision api.Revision `yaml:"-"`
	// Fleet is the deployment's name.
	Fleet string `yaml:"Fleet"`
	// FailureDomains lists the failure domains without repeats; servers and nodes refer to them by name.
	FailureDomains []FailureDomain `yaml:"FailureDomains"`
	// Defaults is the policy of all requests that match no exception; every field is set.
	Defaults Policy `yaml:"Defaults"`
	// Services is ordered by name, without repeats.
	Services []Service `yaml:"Services"`
	// Teams is ordered by name, without repeats.
	Teams []Team `yaml:"Teams"`
	// Exceptions is ordered by id, without repeats.
	Exceptions []Exception `yaml:"Exceptions,omitempty"`
}

// FailureDomain is a failure domain and the region it belongs to.
type FailureDomain struct {
	Name   api.FailureDomain `yaml:"Name"`
	Region api.Region        `yaml:"Region"`
}

// ServiceKind is the protocol of a service's servers.
type ServiceKind string

const (
	// KindEngine is a model engine behind /v1/chat/completions.
	KindEngine ServiceKind = "Engine"
	// KindPlain is a plain HTTP service behind /v1/services.
	KindPlain ServiceKind = "Plain"
)

// Service is a set of interchangeable servers.
type Service struct {
	Name api.Service `yaml:"Name"`
	Kind ServiceKind `yaml:"Kind"`
	// Models is ordered by name and empty for a plain service.
	Models []Model `yaml:"Models,omitempty"`
	// Classes lists the classes that a request may name; the first is the default.
	Classes []api.Class `yaml:"Classes,omitempty"`
	// NonRepeatable lists the calls of a plain service that must run at most once; all others may be retried.
	NonRepeatable []Call `yaml:"NonRepeatable,omitempty"`
	// ChecksFencing reports whether every server of the service rejects orders with an outdated fencing number.
	ChecksFencing bool `yaml:"ChecksFencing,omitempty"`
}

// Call is a pattern that selects calls of a plain service.
type Call struct {
	// Method is an HTTP method in upper case, or "*".
	Method string `yaml:"Method"`
	// Path is an exact path below the service, or a prefix that ends with "/*".
	Path string `yaml:"Path"`
}

// Model is a model and its versions.
type Model struct {
	Name string `yaml:"Name"`
	// Versions is ordered by name.
	Versions []Version `yaml:"Versions"`
}

// VersionState is a version's state in its life cycle, from candidate to withdrawn.
type VersionState string

const (
	// StateCandidate is a version that receives only the share of requests that its roll-out grants.
	StateCandidate VersionState = "Candidate"
	// StateServing is a version that receives all requests for which it is chosen.
	StateServing VersionState = "Serving"
	// StateDraining is a version that receives no new sessions; existing sessions stay.
	StateDraining VersionState = "Draining"
	// StateWithdrawn is a version that receives no new requests at all.
	StateWithdrawn VersionState = "Withdrawn"
)

// Version is one version of a model.
type Version struct {
	Name  string       `yaml:"Name"`
	State VersionState `yaml:"State"`
	// Share is the largest fraction of a class's new requests that a candidate version receives, from 0 to 1.
	Share float64 `yaml:"Share,omitempty"`
	// PromptCost is the price per thousand prompt tokens.
	PromptCost api.MicroUSD `yaml:"PromptCost"`
	// AnswerCost is the price per thousand generated tokens.
	AnswerCost api.MicroUSD `yaml:"AnswerCost"`
	// PriorQuality is the prior mean quality, before any rating; the prior weighs as much as a few ratings.
	PriorQuality api.Quality `yaml:"PriorQuality,omitempty"`
}

// Team is a group of callers.
type Team struct {
	Name api.Team `yaml:"Name"`
	// KeyHashes are the hexadecimal SHA-256 sums of the team's bearer keys.
	KeyHashes []string `yaml:"KeyHashes"`
	// Weight is the team's relative share of the capacity under contention, above 0.
	Weight float64 `yaml:"Weight"`
	// Service is the engine service of chat calls that name none.
	Service api.Service `yaml:"Service,omitempty"`
}

// Policy holds the settings of a request that defaults and exceptions determine.
type Policy struct {
	// Allowed lists the permitted models ("m"), versions ("m@v") or "*"; requests for others are rejected.
	Allowed []string `yaml:"Allowed"`
	// Services lists the services that a team may call, or "*".
	Services []string `yaml:"Services"`
	// QualityTarget is the mean quality that each class must reach.
	QualityTarget api.Quality `yaml:"QualityTarget"`
	// Deadline is the time limit for a complete answer if the caller names none.
	Deadline time.Duration `yaml:"Deadline"`
	// RequestsPerSecond bounds a team's rate over the whole fleet; 0 means no limit.
	RequestsPerSecond float64 `yaml:"RequestsPerSecond"`
	// Cascade allows a cheap version's answer to be rated and escalated to a better version.
	Cascade bool `yaml:"Cascade"`
	// Hedge allows a chat completion to be sent to a second server if the first is slow to begin its answer.
	Hedge bool `yaml:"Hedge"`
	// Repin moves a session from a withdrawn version to another instead of rejecting its requests.
	Repin bool `yaml:"Repin"`
	// Exploration is the largest fraction of requests used to explore versions, from 0 to 0.1.
	Exploration float64 `yaml:"Exploration"`
	// KeepAnswers is how long a finished answer is kept for re-attachment; 0 leaves it to the node's setting.
	KeepAnswers time.Duration `yaml:"KeepAnswers"`
}

// PolicyPatch holds the settings that an exception overrides; nil leaves a setting unchanged.
type PolicyPatch struct {
	Allowed           *[]string      `yaml:"Allowed,omitempty" json:",omitempty"`
	Services          *[]string      `yaml:"Services,omitempty" json:",omitempty"`
	QualityTarget     *api.Quality   `yaml:"QualityTarget,omitempty" json:",omitempty"`
	Deadline          *time.Duration `yaml:"Deadline,omitempty" json:",omitempty"`
	RequestsPerSecond *float64       `yaml:"RequestsPerSecond,omitempty" json:",omitempty"`
	Cascade           *bool          `yaml:"Cascade,omitempty" json:",omitempty"`
	Hedge             *bool          `yaml:"Hedge,omitempty" json:",omitempty"`
	Repin             *bool          `yaml:"Repin,omitempty" json:",omitempty"`
	Exploration       *float64       `yaml:"Exploration,omitempty" json:",omitempty"`
	KeepAnswers       *time.Duration `yaml:"KeepAnswers,omitempty" json:",omitempty"`
}

// Scope selects requests; an empty field matches all.
type Scope struct {
	Team          api.Team          `yaml:"Team,omitempty" json:",omitempty"`
	Service       api.Service       `yaml:"Service,omitempty" json:",omitempty"`
	Class         api.Class         `yaml:"Class,omitempty" json:",omitempty"`
	Version       api.VersionID     `yaml:"Version,omitempty" json:",omitzero"`
	FailureDomain api.FailureDomain `yaml:"FailureDomain,omitempty" json:",omitempty"`
}

// Exception overrides settings of the defaults for the requests of a scope.
type Exception struct {
	// ID is unique within the configuration.
	ID    string `yaml:"ID"`
	Scope Scope  `yaml:"Scope"`
	// Set holds at least one setting, unless Withdraw is true.
	Set PolicyPatch `yaml:"Set,omitempty" json:",omitzero"`
	// Withdraw withdraws the scope's version, which must be named, from new requests.
	Withdraw bool `yaml:"Withdraw,omitempty" json:",omitempty"`
	// Reason and Author are never empty.
	Reason string `yaml:"Reason"`
	Author string `yaml:"Author"`
	// Expires is the time at which the exception ends; zero keeps it until an operator removes it.
	Expires time.Time `yaml:"Expires,omitempty" json:",omitzero"`
}
