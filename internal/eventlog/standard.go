package eventlog

import (
	"bytes"
	stdlog "log"

	"github.com/apex/log"
)

// StandardLogger returns a logger for packages that take the standard library's: each line becomes a warning with a message and the
// line as its detail.
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
