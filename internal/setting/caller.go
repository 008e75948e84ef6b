package setting

import (
	"strconv"
	"time"
)

// Caller holds the limits on the resources that callers may use on a node.
type Caller struct {
	MaxAnswers     int           `long:"max-answers" env:"MONSOONRAIL_MAX_ANSWERS" default:"20000" description:"running and kept answers together, from 10 to 1000000"`
	MaxAnswerBytes int           `long:"max-answer-bytes" env:"MONSOONRAIL_MAX_ANSWER_BYTES" default:"4194304" description:"bytes of one answer, from 1024 to 67108864"`
	MaxKeptBytes   int           `long:"max-kept-bytes" env:"MONSOONRAIL_MAX_KEPT_BYTES" default:"268435456" description:"bytes of all answers together, at least those of one"`
	KeepAnswers    time.Duration `long:"keep-answers" env:"MONSOONRAIL_KEEP_ANSWERS" default:"10m" description:"how long a whole answer is kept for callers that come back where the policy names no KeepAnswers, from 1s to 24h"`
	MaxHeaderBytes int           `long:"max-header-bytes" env:"MONSOONRAIL_MAX_HEADER_BYTES" default:"16384" description:"bytes of a request's header, from 4096 to 1048576"`
}

const (
	minAnswers     = 10
	maxAnswers     = 1_000_000
	minAnswerBytes = 1 << 10
	maxAnswerBytes = 64 << 20
	minKeep        = time.Second
	maxKeepAnswers = 24 * time.Hour
	minHeaderBytes = 4 << 10
	maxHeaderBytes = 1 << 20
)

func (c *Caller) check() []error {
	var faults []error
	if c.MaxAnswers < minAnswers || c.MaxAnswers > maxAnswers {
		faults = append(faults, badSetting("max-answers", strconv.Itoa(c.MaxAnswers), "a whole number from 10 to 1000000"))
	}
	if c.MaxAnswerBytes < minAnswerBytes || c.MaxAnswerBytes > maxAnswerBytes {
		faults = append(faults, badSetting("max-answer-bytes", strconv.Itoa(c.MaxAnswerBytes), "a whole number from 1024 to 67108864"))
	}
	if c.MaxKeptBytes < c.MaxAnswerBytes {
		faults = append(faults, badSetting("max-kept-bytes", strconv.Itoa(c.MaxKeptBytes), "at least --max-answer-bytes"))
	}
	if c.MaxHeaderBytes < minHeaderBytes || c.MaxHeaderBytes > maxHeaderBytes {
		faults = append(faults, badSetting("max-header-bytes", strconv.Itoa(c.MaxHeaderBytes), "a whole number from 4096 to 1048576"))
	}
	return append(faults, checkRange("keep-answers", c.KeepAnswers, minKeep, maxKeepAnswers)...)
}
