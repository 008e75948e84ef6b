package setting

import (
	"io"
	"strconv"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/eventlog"
)

// Log configures the node's log.
type Log struct {
	Level  string `long:"log-level" env:"MONSOONRAIL_LOG_LEVEL" default:"info" description:"least severe level that is logged: debug, info, warn or error"`
	Format string `long:"log-format" env:"MONSOONRAIL_LOG_FORMAT" default:"text" description:"one event a line, as logfmt text or JSON"`
	// LinesPerSecond 0 means the default, for settings that were not parsed from flags.
	LinesPerSecond float64 `long:"log-lines-per-second" env:"MONSOONRAIL_LOG_LINES_PER_SECOND" default:"1000" description:"bound of routine lines, and apart from them of warnings and errors; lines beyond it are counted and left out, from 1 to 100000; 0 takes the default"`
}

const (
	formatText = "text"
	formatJSON = "json"

	minLogLines = 1
	maxLogLines = 100_000
)

func (l *Log) check() []error {
	if _, err := log.ParseLevel(l.Level); err != nil {
		return []error{badSetting("log-level", l.Level, "debug, info, warn or error")}
	}
	if l.Format != "" && l.Format != formatText && l.Format != formatJSON {
		return []error{badSetting("log-format", l.Format, "text or json")}
	}
	if l.LinesPerSecond != 0 && (l.LinesPerSecond < minLogLines || l.LinesPerSecond > maxLogLines) {
		return []error{badSetting("log-lines-per-second", strconv.FormatFloat(l.LinesPerSecond, 'g', -1, 64), "from 1 to 100000")}
	}
	return nil
}

// Open returns a logger that writes to w, and its handler, which the caller must close. The settings must be valid.
func (l *Log) Open(w io.Writer) (*log.Logger, *eventlog.Handler) {
	level, err := log.ParseLevel(l.Level)
	if err != nil {
		level = log.InfoLevel
	}
	opts := eventlog.Options{Output: w, LinesPerSecond: l.LinesPerSecond}
	if l.Format == formatJSON {
		opts.Format = eventlog.FormatJSON
	}
	handler := eventlog.New(opts)
	return &log.Logger{Level: level, Handler: handler}, handler
}
