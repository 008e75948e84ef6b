package trace

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"
	"os"
	"strings"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Bounds of what Read accepts.
const (
	// MaxEntries is the largest number of entries.
	MaxEntries = 1_000_000
	// MaxLineBytes is the longest line.
	MaxLineBytes = 64 << 10
	// MaxSpan is the latest arrival.
	MaxSpan = 7 * 24 * time.Hour
	// MaxTokens is the largest number of tokens of a prompt or an answer.
	MaxTokens api.Tokens = 1_000_000
)

// Trace is a header and its entries.
type Trace struct {
	Header Header
	// Entries is ordered by arrival and as long as the header says.
	Entries []Entry
}

// ReadFile reads a trace file, compressed by gzip or not.
func ReadFile(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer f.Close()
	return Read(f)
}

// Read reads a trace of JSON lines, compressed by gzip or not. It fails with ErrMalformed where
// the trace has unknown fields, breaks a bound or isn't ordered.
func Read(r io.Reader) (*Trace, error) {
	plain, err := decompress(bufio.NewReader(r))
	if err != nil {
		return nil, err
	}
	scanner := bufio.NewScanner(plain)
	scanner.Buffer(make([]byte, 0, 4096), MaxLineBytes)
	t := &Trace{}
	if !scanner.Scan() {
		return nil, malformed(1, "no header", scanner.Err())
	}
	if err := decodeLine(scanner.Bytes(), &t.Header); err != nil {
		return nil, malformed(1, "header", err)
	}
	if t.Header.Entries < 0 || t.Header.Entries > MaxEntries {
		return nil, malformed(1, "number of entries out of bounds", nil)
	}
	if err := t.readEntries(scanner); err != nil {
		return nil, err
	}
	return t, t.Header.check()
}

func (t *Trace) readEntries(scanner *bufio.Scanner) error {
	line := 1
	var last time.Duration
	for scanner.Scan() {
		line++
		if len(t.Entries) == t.Header.Entries {
			return malformed(line, "more entries than the header says", nil)
		}
		var entry Entry
		if err := decodeLine(scanner.Bytes(), &entry); err != nil {
			return malformed(line, "entry", err)
		}
		if problem := entry.problem(); problem != "" {
			return malformed(line, problem, nil)
		}
		if entry.At < last {
			return malformed(line, "arrival before that of the entry above", nil)
		}
		last = entry.At
		t.Entries = append(t.Entries, entry)
	}
	if err := scanner.Err(); err != nil {
		return malformed(line+1, "cannot read", err)
	}
	if len(t.Entries) != t.Header.Entries {
		return malformed(line, "fewer entries than the header says", nil)
	}
	return nil
}

func decompress(r *bufio.Reader) (io.Reader, error) {
	magic, err := r.Peek(2)
	if err != nil || !bytes.Equal(magic, []byte{0x1f, 0x8b}) {
		return r, nil
	}
	unzipped, err := gzip.NewReader(r)
	if err != nil {
		return nil, malformed(1, "gzip", err)
	}
	return unzipped, nil
}

func decodeLine(line []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &ErrMalformed{Line: 1, Detail: "more than one value on the line"}
	}
	return nil
}

func malformed(line int, detail string, cause error) error {
	return Error.Wrap(&ErrMalformed{Line: line, Detail: detail, Cause: cause})
}

// check returns ErrMalformed if a fault or the outcome is out of bounds.
func (h *Header) check() error {
	var last time.Duration
	for _, fault := range h.Faults {
		if fault.At < last || fault.At > MaxSpan || fault.For < 0 {
			return malformed(1, "fault out of order or bounds", nil)
		}
		last = fault.At
	}
	if h.Outcome.RefusedShare < 0 || h.Outcome.RefusedShare > 1 {
		return malformed(1, "RefusedShare is outside 0 to 1", nil)
	}
	return nil
}

// problem names the first field that breaks a bound; it is empty if none does.
func (e *Entry) problem() string {
	switch {
	case e.At < 0 || e.At > MaxSpan:
		return "At out of bounds"
	case e.Team == "" || e.Service == "":
		return "Team and Service are needed"
	case e.Deadline < 0:
		return "Deadline is negative"
	case e.Priority < api.PriorityLow || e.Priority > api.PriorityHigh:
		return "unknown Priority"
	case e.Difficulty < 0 || e.Difficulty > 1:
		return "Difficulty is outside 0 to 1"
	case !inTokenBounds(e.PromptTokens) || !inTokenBounds(e.AnswerTokens):
		return "tokens out of bounds"
	case e.PrefixTokens < 0 || e.PrefixTokens > e.PromptTokens:
		return "PrefixTokens out of bounds"
	}
	return e.kindProblem()
}

func (e *Entry) kindProblem() string {
	switch e.Kind {
	case KindChat:
		if e.Class == "" || e.AnswerTokens == 0 {
			return "a chat needs Class and AnswerTokens"
		}
	case KindPlain:
		if e.Method == "" || !strings.HasPrefix(e.Path, "/") {
			return "a plain call needs Method and Path"
		}
	default:
		return "unknown Kind"
	}
	return ""
}

func inTokenBounds(n api.Tokens) bool { return n >= 0 && n <= MaxTokens }

// WriteFile writes a trace file, compressed by gzip if its name ends with ".gz".
func (t *Trace) WriteFile(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := t.write(f, strings.HasSuffix(path, ".gz")); err != nil {
		f.Close()
		return err
	}
	return Error.Wrap(f.Close())
}

// Write writes a trace as JSON lines.
func (t *Trace) Write(w io.Writer) error { return t.write(w, false) }

func (t *Trace) write(w io.Writer, compressed bool) error {
	if !compressed {
		return t.encode(w)
	}
	zipped := gzip.NewWriter(w)
	if err := t.encode(zipped); err != nil {
		return err
	}
	return Error.Wrap(zipped.Close())
}

func (t *Trace) encode(w io.Writer) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(t.Header); err != nil {
		return Error.Wrap(err)
	}
	for i := range t.Entries {
		if err := encoder.Encode(&t.Entries[i]); err != nil {
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(buffered.Flush())
}
