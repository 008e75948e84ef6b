package eventlog

import (
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// OrDiscard returns a logger, or one that writes nothing in the place of nil.
func OrDiscard(logger log.Interface) log.Interface {
	if logger == nil {
		return &log.Logger{Handler: discard.New()}
	}
	return logger
}
