package eventlog

import (
	"bytes"
	stdlog "log"

	"github.com/apex/log"
)

// StandardLogger returns a standard library logger that logs each line as a warning to the given logger, with the given message and
// the line in the field detail.
func StandardLogger(to log.Interface, message string) *stdlog.Logger {
	return stdlog.New(&standardWriter{log: to, message: message}, "", 0)
}

type standardWriter struct {
	log     log.Interface
	message string
}

// Write implements io.Writer.
func (w *standardWriter) Write(line []byte) (int, error) {
	w.log.WithField("detail", string(bytes.TrimSpace(line))).Warn(w.message)
	return len(line), nil
}
