package setting

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/logfmt"
)

// Log says what is logged and how.
type Log struct {
	Level  string `long:"log-level" env:"MONSOONRAIL_LOG_LEVEL" default:"info" description:"least severe level that is logged: debug, info, warn or error"`
	Format string `long:"log-format" env:"MONSOONRAIL_LOG_FORMAT" default:"text" description:"one event a line, as logfmt text or JSON"`
}

const (
	formatText = "text"
	formatJSON = "json"
)

func (l *Log) check() []error {
	if _, err := log.ParseLevel(l.Level); err != nil {
		return []error{bad("log-level", l.Level, "debug, info, warn or error")}
	}
	if l.Format != "" && l.Format != formatText && l.Format != formatJSON {
		return []error{bad("log-format", l.Format, "text or json")}
	}
	return nil
}

// Logger returns a logger that writes to w; the settings must have been checked.
func (l *Log) Logger(w io.Writer) *log.Logger {
	level, err := log.ParseLevel(l.Level)
	if err != nil {
		level = log.InfoLevel
	}
	logger := &log.Logger{Level: level, Handler: logfmt.New(w)}
	if l.Format == formatJSON {
		logger.Handler = json.New(w)
	}
	return logger
}
