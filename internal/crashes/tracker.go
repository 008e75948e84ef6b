// Package crashes finds the prompt parts and the requests that crash backend servers, so that they are rejected before they crash more.
//
// A crash ends all requests that run on the server. Each of them is suspected as a whole, until it is answered to its end: a request may crash servers
// at any moment of its answer. The shared prompt parts of a request are suspected if its answer had not begun, until an answer to a request with
// the part begins. Of several parts that the same requests had, a request with some of them only shows which one is the cause. Nodes share their
// reports through the store; each decides by itself, without input or output here.
package crashes

import (
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// MaxPerRequest is the number of servers that a request may crash before its answer has begun.
	MaxPerRequest = 2
	// minPartCrashes and minPartRequests are the crashes, and the requests that they belong to, from which on a prompt part is blocked. One
	// request alone does not show which of its parts is the cause.
	minPartCrashes  = 4
	minPartRequests = 2
	// minRequestCrashes is the number of crashes from which on a request is blocked: within one answer or by requests that are the same.
	minRequestCrashes = 3
	// clearedFor is how long a suspect that was cleared isn't suspected.
	clearedFor = 5 * time.Second
	// ReportTTL is how long a report counts.
	ReportTTL = 10 * time.Minute
	// probeInterval is the time between a node's probes of a suspect: long enough for the result of one to reach all nodes.
	probeInterval = 2 * time.Second
	// maxSuspects bounds the suspects, and maxCleared the cleared ones, that are remembered. Above them, outdated ones are dropped first.
	maxSuspects = 4000
	maxCleared  = 4000
	// maxReports bounds the reports of one suspect; as many show what further ones would.
	maxReports = 64
	// minRewriteTTL is how long a report must still count to be written again after it has disappeared from the store: reports disappear when
	// they expire, too.
	minRewriteTTL = time.Minute
	// maxDue bounds the reports that Due returns at once.
	maxDue = 16
)

// Report is one node's report that a request with a suspect crashed servers.
type Report struct {
	Suspect Suspect
	Request api.RequestID
	// Crashes is the number of servers that the request crashed; at least 1.
	Crashes int
	// IsCleared means that a later answer has cleared the suspect, so that the report does not count.
	IsCleared bool
}

// key identifies a report: later reports of the same request replace it.
type key struct {
	suspect Suspect
	request api.RequestID
}

// held is a report with the time until which it counts.
type held struct {
	Report
	expires time.Time
	// isShared means that the report is in the store, or is to be written there.
	isShared bool
}

// Options configures NewTracker.
type Options struct {
	// ProbeDelay returns how long after its first request for a suspect that is to be probed this node begins to. Nodes with different
	// delays don't probe at once.
	ProbeDelay func(Suspect) time.Duration
	// RewriteDelay returns how long after a report has disappeared from the store this node writes it again. With different delays one node writes
	// it and the others find it there; nil means no delay.
	RewriteDelay func(Suspect) time.Duration
}

// Tracker collects the reports of all nodes. It is safe for concurrent use.
type Tracker struct {
	opts Options

	mu sync.Mutex
	// reports holds the reports of each suspect.
	reports map[Suspect]map[api.RequestID]held
	// clearedAt holds when an answer on this node last cleared the suspect.
	clearedAt map[Suspect]time.Time
	// nextProbe holds when this node may probe a suspect.
	nextProbe map[Suspect]time.Time
	// due holds the reports to share, by their key, so that a newer one replaces an older one.
	due map[key]Report
	// storeKeys holds the reports by their keys in the store.
	storeKeys map[string]key
	// rewriteAt holds when reports that have disappeared from the store are to be written again.
	rewriteAt map[key]time.Time
}

// NewTracker returns a tracker without reports.
func NewTracker(opts Options) *Tracker {
	return &Tracker{
		opts: opts, reports: make(map[Suspect]map[api.RequestID]held), clearedAt: make(map[Suspect]time.Time),
		nextProbe: make(map[Suspect]time.Time), due: make(map[key]Report),
		storeKeys: make(map[string]key), rewriteAt: make(map[key]time.Time),
	}
}

// Cleared records that an answer shows that the suspects crash no servers.
func (t *Tracker) Cleared(suspects []Suspect, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.clearedAt) > maxCleared {
		for suspect, at := range t.clearedAt {
			if now.Sub(at) >= clearedFor {
				delete(t.clearedAt, suspect)
			}
		}
	}
	for _, suspect := range suspects {
		t.clearedAt[suspect] = now
		t.clear(suspect)
	}
}

// clear clears all reports of a suspect, and shares that of those which were shared; t.mu is held.
func (t *Tracker) clear(suspect Suspect) {
	for request, report := range t.reports[suspect] {
		switch {
		case report.IsCleared:
		case report.isShared:
			report.IsCleared = true
			t.reports[suspect][request] = report
			t.due[key{suspect, request}] = report.Report
		default:
			t.drop(suspect, request)
		}
	}
}

// Crashed records that a request crashed servers, and shares it for those suspects that are not cleared.
func (t *Tracker) Crashed(request api.RequestID, suspects []Suspect, servers int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, suspect := range suspects {
		t.record(Report{Suspect: suspect, Request: request, Crashes: servers}, now)
		t.share(suspect)
	}
}

// CrashedSoFar records the same for a request that may still be answered. The reports of a suspect stay on this node until they count more than one
// crash: a server that crashes may have run many requests, and a request that is answered later most often was not the cause.
func (t *Tracker) CrashedSoFar(request api.RequestID, suspect Suspect, servers int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(Report{Suspect: suspect, Request: request, Crashes: servers}, now)
	if _, crashes := t.countReports(suspect, now); crashes > 1 {
		t.share(suspect)
	}
}

// record holds a report, unless its suspect is cleared; t.mu is held.
func (t *Tracker) record(report Report, now time.Time) {
	if t.isCleared(report.Suspect, now) || t.reports[report.Suspect][report.Request].Report == report {
		return
	}
	t.hold(report, false, now)
}

// share makes the reports of a suspect due that aren't shared yet; t.mu is held.
func (t *Tracker) share(suspect Suspect) {
	for request, report := range t.reports[suspect] {
		if report.isShared {
			continue
		}
		report.isShared = true
		t.reports[suspect][request] = report
		t.due[key{suspect, request}] = report.Report
	}
}

// Add takes in a report from the store.
func (t *Tracker) Add(report Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rewriteAt, key{report.Suspect, report.Request})
	if t.reports[report.Suspect][report.Request].IsCleared {
		return
	}
	t.hold(report, true, now)
	if t.isCleared(report.Suspect, now) {
		t.clear(report.Suspect)
	}
}

// Removed records that a key has disappeared from the store. A report that still counts for long was lost rather than expired, as with a store
// that was restored from an older copy, and is written again, so that nodes that start later know it.
func (t *Tracker) Removed(storeKey string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.storeKeys[storeKey]
	if !ok || t.reports[k.suspect][k.request].expires.Sub(now) < minRewriteTTL {
		return
	}
	delay := time.Duration(0)
	if t.opts.RewriteDelay != nil {
		delay = t.opts.RewriteDelay(k.suspect)
	}
	t.rewriteAt[k] = now.Add(delay)
}

// hold stores a report; t.mu is held.
func (t *Tracker) hold(report Report, isShared bool, now time.Time) {
	if len(t.reports) > maxSuspects {
		t.dropExpired(now)
	}
	if t.reports[report.Suspect] == nil {
		if len(t.reports) > maxSuspects {
			return
		}
		t.reports[report.Suspect] = make(map[api.RequestID]held)
	}
	reports := t.reports[report.Suspect]
	if _, ok := reports[report.Request]; !ok && len(reports) >= maxReports {
		return
	}
	reports[report.Request] = held{Report: report, expires: now.Add(ReportTTL), isShared: isShared}
	t.storeKeys[report.Key()] = key{report.Suspect, report.Request}
}

func (t *Tracker) dropExpired(now time.Time) {
	for suspect, reports := range t.reports {
		for request, report := range reports {
			if !now.Before(report.expires) {
				t.drop(suspect, request)
			}
		}
	}
}

// drop removes a report; t.mu is held.
func (t *Tracker) drop(suspect Suspect, request api.RequestID) {
	delete(t.storeKeys, t.reports[suspect][request].Key())
	delete(t.rewriteAt, key{suspect, request})
	delete(t.reports[suspect], request)
	if len(t.reports[suspect]) == 0 {
		delete(t.reports, suspect)
		delete(t.nextProbe, suspect)
	}
}

// isCleared reports whether an answer has cleared the suspect recently; t.mu is held.
func (t *Tracker) isCleared(suspect Suspect, now time.Time) bool {
	at, ok := t.clearedAt[suspect]
	return ok && now.Sub(at) < clearedFor
}

// HasUncleared reports whether no answer has cleared one of the suspects recently, so that the request may be the cause of a crash.
func (t *Tracker) HasUncleared(suspects []Suspect, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, suspect := range suspects {
		if !t.isCleared(suspect, now) {
			return true
		}
	}
	return false
}

// IsEmpty reports whether there is no report.
func (t *Tracker) IsEmpty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.reports) == 0
}

// QueueRewrites makes Due return the reports that are to be written again by now.
func (t *Tracker) QueueRewrites(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, at := range t.rewriteAt {
		if now.Before(at) {
			continue
		}
		delete(t.rewriteAt, k)
		if report, ok := t.reports[k.suspect][k.request]; ok {
			t.due[k] = report.Report
		}
	}
}

// Due returns reports to share. Reports that could not be shared are given back with Retry.
func (t *Tracker) Due() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []Report
	for k, report := range t.due {
		if len(due) == maxDue {
			break
		}
		due = append(due, report)
		delete(t.due, k)
	}
	return due
}

// Retry makes Due return reports again, unless there are newer ones.
func (t *Tracker) Retry(reports []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range reports {
		k := key{report.Suspect, report.Request}
		if _, ok := t.due[k]; !ok {
			t.due[k] = report
		}
	}
}
