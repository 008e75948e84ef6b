package platformfake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ServerOptions configures NewServer.
type ServerOptions struct {
	ID string
	// Latency is the time to the response to a call or to the first event of a stream, Pause the time between events.
	Latency, Pause time.Duration
	// Events is the number of events of a stream; 0 makes the server answer calls instead.
	Events int
	// CrashingPart is a part of prompts at which the server crashes when it has sent EventsBeforeCrash events of its answer; empty means none. Crash is
	// called then.
	CrashingPart      string
	EventsBeforeCrash func() int
	Crash             func()
	// Script returns the answer to a run; nil, or a nil result, means a sound answer.
	Script func(run Run) *Script
	// Confidence is the value of the Confidence header in responses of the model "small".
	Confidence int
	// Models are the models that requests may name; empty means any.
	Models []string
	// Slots is the number of requests that run at the same time, of which the server then reports its load; 0 means no bound. Up to SetMaxWaiting
	// further ones wait, and the others are rejected.
	Slots int
}

// Run records a request that a server began to run.
type Run struct {
	// Server is the id of the server.
	Server                                                string
	ID, Tenant, Model, LastEvent, Path, DeadlineMs, Parts string
	// HasKey reports whether the caller's API key was forwarded.
	HasKey bool
}

// Server is a fake backend server. Event n of a stream is "id: n\ndata: PATH n\n\n".
type Server struct {
	opts ServerOptions

	mu   sync.Mutex
	runs []Run
	// truncateAfter is the number of events after which the next stream is broken off; 0 means never. status is the status of
	// responses to calls. rejects makes the server reject requests without running them.
	truncateAfter int
	status        int
	rejects       bool
	// reports are the headers by which the server says something about itself in all of its answers. confidence is the value of the
	// Confidence header in responses of the model "small".
	reports    http.Header
	confidence int
	// running and waiting count the requests with and without a slot, maxWaiting bounds the latter. freed is closed and replaced when a slot becomes free.
	running, waiting, maxWaiting int
	freed                        chan struct{}
	// arrivals lists the requests that reached the server, including those that it rejected.
	arrivals []Arrival
	// abandoned lists the ids of the runs whose connection was closed before their answer was complete.
	abandoned []string
}

// Arrival is a request that reached a server.
type Arrival struct {
	At time.Time
	// From is the IP address of the caller.
	From string
	ID   string
	// Reports are the headers of the answer by which the server says something about itself, Rejected that it rejects the request.
	Reports  http.Header
	Rejected bool
}

// NewServer returns a server that answers with status 200.
func NewServer(opts ServerOptions) *Server {
	return &Server{opts: opts, status: http.StatusOK, confidence: opts.Confidence, freed: make(chan struct{})}
}

// SetMaxWaiting bounds the requests that wait for a slot.
func (s *Server) SetMaxWaiting(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxWaiting = most
}

// enter takes a slot for a request, waits for one, or reports that there is no room.
func (s *Server) enter(req *http.Request) (hasRoom bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Slots == 0 {
		return true
	}
	if s.running >= s.opts.Slots && s.waiting >= s.maxWaiting {
		return false
	}
	s.waiting++
	defer func() { s.waiting-- }()
	for s.running >= s.opts.Slots {
		freed := s.freed
		s.mu.Unlock()
		select {
		case <-freed:
		case <-req.Context().Done():
		}
		s.mu.Lock()
		if req.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	s.running++
	return true
}

// leave gives the slot of a request back.
func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Slots > 0 {
		s.running--
		close(s.freed)
		s.freed = make(chan struct{})
	}
}

// loadHeader returns the value of the header by which the server reports its load.
func (s *Server) loadHeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.Slots == 0 {
		return "1,0,8"
	}
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.opts.Slots)
}

// SetReports sets the headers by which the server says something about itself in all of its answers.
func (s *Server) SetReports(reports http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = reports
}

// SetLatency sets the time to the response to a call or to the first event of a stream.
func (s *Server) SetLatency(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts.Latency = latency
}

// SetConfidence sets the value of the Confidence header in responses of the model "small".
func (s *Server) SetConfidence(confidence int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confidence = confidence
}

// TruncateNextStream breaks the next stream off after a number of events.
func (s *Server) TruncateNextStream(events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.truncateAfter = events
}

// SetResponse sets the status of responses to calls; rejects makes the server reject all requests with the header Not-Executed.
func (s *Server) SetResponse(status int, rejects bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status, s.rejects = status, rejects
}

// Runs returns the requests that the server began to run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Arrivals returns the number of requests that reached the server, including those that it rejected.
func (s *Server) Arrivals() int { return len(s.ListArrivals()) }

// ListArrivals returns the requests that reached the server, in order.
func (s *Server) ListArrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	header := req.Header
	w.Header().Set("Attempt-Id", header.Get("Attempt-Id"))
	s.mu.Lock()
	truncateAfter, status, rejects, reports, confidence := s.truncateAfter, s.status, s.rejects, s.reports, s.confidence
	latency := s.opts.Latency
	s.truncateAfter = 0
	from, _, _ := net.SplitHostPort(req.RemoteAddr)
	arrival := len(s.arrivals)
	s.arrivals = append(s.arrivals, Arrival{At: time.Now(), From: from, ID: header.Get("Attempt-Id"), Reports: reports})
	s.mu.Unlock()
	for name, values := range reports {
		w.Header()[name] = values
	}
	if expected := header.Get("Expect-Instance"); expected != s.opts.ID {
		w.Header().Set("Instance-Id", s.opts.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if model := header.Get("Model"); model != "" && len(s.opts.Models) > 0 && !slices.Contains(s.opts.Models, model) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if rejects || !s.enter(req) {
		s.mu.Lock()
		s.arrivals[arrival].Rejected = true
		s.mu.Unlock()
		if !rejects {
			w.Header().Set("Server-Load", s.loadHeader())
		}
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	run := Run{
		Server: s.opts.ID, ID: header.Get("Attempt-Id"), Tenant: header.Get("Tenant"), Model: header.Get("Model"), Path: req.URL.RequestURI(),
		LastEvent: header.Get("Last-Event-Id"), DeadlineMs: header.Get("Deadline-Ms"), HasKey: header.Get("Key") != "",
		Parts: header.Get("Prompt-Prefix"),
	}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	// The HTTP server notices a closed connection only once the body has been read.
	_, _ = io.Copy(io.Discard, req.Body)
	if !wait(req, latency) {
		s.abandon(req)
	}
	crashAfter := -1
	if s.opts.CrashingPart != "" && strings.Contains(header.Get("Prompt-Prefix"), s.opts.CrashingPart+":") {
		crashAfter = 0
		if s.opts.EventsBeforeCrash != nil {
			crashAfter = s.opts.EventsBeforeCrash()
		}
	}
	if crashAfter == 0 {
		s.crash()
	}
	w.Header().Set("Server-Signature", "signed."+s.opts.ID)
	if w.Header().Get("Server-Load") == "" {
		w.Header().Set("Server-Load", s.loadHeader())
	}
	if header.Get("Model") == "small" {
		w.Header().Set("Confidence", strconv.Itoa(confidence))
	}
	if script := s.script(run); script != nil {
		script.write(w, func(events int) string { return s.body(req, events) })
		return
	}
	if s.opts.Events == 0 {
		w.WriteHeader(status)
		fmt.Fprint(w, s.body(req, 1))
		return
	}
	s.stream(w, req, truncateAfter, crashAfter)
}

// Abandoned returns the ids of the runs whose connection was closed before their answer was complete.
func (s *Server) Abandoned() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.abandoned)
}

// abandon records a run whose connection was closed, and ends the handler that calls it.
func (s *Server) abandon(req *http.Request) {
	s.mu.Lock()
	s.abandoned = append(s.abandoned, req.Header.Get("Attempt-Id"))
	s.mu.Unlock()
	panic(http.ErrAbortHandler)
}

// crash ends the server's process, and with it the handler that calls it.
func (s *Server) crash() {
	s.opts.Crash()
	panic(http.ErrAbortHandler)
}

func (s *Server) script(run Run) *Script {
	if s.opts.Script == nil {
		return nil
	}
	return s.opts.Script(run)
}

// body returns a number of events of the stream, from the first one that is due, or the answer to a call if events is at least 1.
func (s *Server) body(req *http.Request, events int) string {
	if s.opts.Events > 0 {
		first := firstEvent(req)
		return Stream(req.URL.Path, first-1+events)[len(Stream(req.URL.Path, first-1)):]
	}
	if events == 0 {
		return ""
	}
	return "answer of " + s.opts.ID
}

// firstEvent returns the number of the first event that is due: a resumed stream goes on after the last one received.
func firstEvent(req *http.Request) int {
	last, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		return 1
	}
	return last + 1
}

// stream sends the events that are due; a negative crashAfter stands for no crash.
func (s *Server) stream(w http.ResponseWriter, req *http.Request, truncateAfter, crashAfter int) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	first := firstEvent(req)
	for n := first; n <= s.opts.Events; n++ {
		if n > first && !wait(req, s.opts.Pause) {
			s.abandon(req)
		}
		if truncateAfter > 0 && n-first == truncateAfter {
			// The connection ends within an event, as when a server crashes.
			fmt.Fprintf(w, "id: %d\nda", n)
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, Event(req.URL.Path, n))
		_ = control.Flush()
		if n-first+1 == crashAfter {
			// The caller reads what was sent before.
			time.Sleep(time.Millisecond)
			s.crash()
		}
	}
}

// Event returns event n of a path's stream.
func Event(path string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, path, n) }

// Stream returns the first n events of a path's stream.
func Stream(path string, n int) string {
	var all strings.Builder
	for i := 1; i <= n; i++ {
		all.WriteString(Event(path, i))
	}
	return all.String()
}

func wait(req *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-req.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}
