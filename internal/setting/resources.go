package setting

import (
	"strconv"

	"github.com/zeebo/errs"
)

// Resources holds what the process may use of its machine.
type Resources struct {
	MemoryBytes int64 `long:"memory-bytes" env:"MONSOONRAIL_MEMORY_BYTES" default:"0" description:"bytes of memory that the process may use, from 33554432; if 0 there is no limit, and connections and the bodies of requests take 4096000000 or more"`
	MaxFiles    int   `long:"max-files" env:"MONSOONRAIL_MAX_FILES" default:"0" description:"descriptors that the process may use, from 256; if 0 there is no limit, and others may open 50000 connections or more"`
}

const (
	minMemoryBytes = 32 << 20
	minFiles       = 256
)

// Check validates the section alone; it returns all errors combined into one, or nil.
func (r *Resources) Check() error { return Error.Wrap(errs.Combine(r.check()...)) }

func (r *Resources) check() []error {
	var faults []error
	if r.MemoryBytes != 0 && r.MemoryBytes < minMemoryBytes {
		faults = append(faults, badSetting("memory-bytes", strconv.FormatInt(r.MemoryBytes, 10), "0 or a whole number from 33554432"))
	}
	if r.MaxFiles != 0 && r.MaxFiles < minFiles {
		faults = append(faults, badSetting("max-files", strconv.Itoa(r.MaxFiles), "0 or a whole number from 256"))
	}
	return faults
}
