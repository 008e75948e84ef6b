package enginefake

import (
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Version is a version that an engine can load.
type Version struct {
	ID api.VersionID
	// Strength is the quality of the version's answers to the hardest prompts, from 0 to 1.
	Strength float64
	// Speed multiplies the engine's speed; 0 means 1.
	Speed float64
	// LoadTime is how long the version takes to load.
	LoadTime time.Duration
}

// Options configures New.
type Options struct {
	ID api.ServerID
	// Seed seeds random faults, gaps and the answers of a non-deterministic engine.
	Seed uint64
	// Slots is the number of generations that run at once; 0 means 16.
	Slots int
	// MaxQueue is the maximum number of generations that wait for a slot; 0 means 256, negative means none.
	MaxQueue int
	// TokensPerSecond is the speed of a generation that runs alone; 0 means no delay at all.
	TokensPerSecond float64
	// BatchSlowdown is the fraction of its speed that a generation loses in a full batch, from 0 to 1.
	BatchSlowdown float64
	// PrefillTokensPerSecond is the speed at which prompts are processed; 0 means no delay at all.
	PrefillTokensPerSecond float64
	// Versions are the versions that the engine can load; all except those in Unloaded are loaded at the start.
	Versions []Version
	Unloaded []api.VersionID
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// CacheBlocks is the number of prompt blocks that the prefix cache holds; 0 means 4096, negative means none.
	CacheBlocks int
	// EventLag is the delay after which cache events are published.
	EventLag time.Duration
	// EventGaps is the share of the cache events that are never published, from 0 to 1.
	EventGaps float64
	// ChecksFencing makes the engine reject orders with an old fencing number.
	ChecksFencing bool
	// KeepFinished is how long a finished generation can be resumed; 0 means 30 s.
	KeepFinished time.Duration
	// NonDeterministic makes two runs of the same prompt yield different answers.
	NonDeterministic bool
	// IgnoreCrashMarker makes the engine run prompts with script.CrashMarker instead of crashing.
	IgnoreCrashMarker bool
	// OnCrash is called without locks held after the engine has crashed.
	OnCrash func()
	// OnDown is called when the engine is killed, crashes or is closed, and OnUp when it starts. They close and allow the
	// connections of its host, as the operating system does, and must not call the engine.
	OnDown, OnUp func()
	// FetchWeights, if not nil, is called while a version loads; an error fails the load.
	FetchWeights func(version api.VersionID) error
}

const (
	defaultSlots        = 16
	defaultMaxQueue     = 256
	defaultCacheBlocks  = 4096
	defaultKeepFinished = 30 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.MaxQueue == 0 {
		o.MaxQueue = defaultMaxQueue
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = defaultCacheBlocks
	}
	if o.KeepFinished == 0 {
		o.KeepFinished = defaultKeepFinished
	}
	return o
}
