package eventlog

import (
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// OrDiscard returns logger, or a logger that discards every line if logger is nil.
func OrDiscard(logger log.Interface) log.Interface {
	if logger == nil {
		return &log.Logger{Handler: discard.New()}
	}
	return logger
}
