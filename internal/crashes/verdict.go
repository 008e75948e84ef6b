package crashes

import (
	"slices"
	"time"
)

// Verdict says whether a request may be sent to a server.
type Verdict int

const (
	// Allowed means that the request may be sent.
	Allowed Verdict = iota
	// Probe means that the request shows which of several suspects is the cause: it may crash one server at most.
	Probe
	// Blocked means that the request must not be sent.
	Blocked
)

// Check returns whether a request with the suspects may be sent to a server, and the suspect that decides. A Probe is counted as sent.
func (t *Tracker) Check(suspects []Suspect, now time.Time) (Verdict, Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict, decisive := Allowed, Suspect("")
	for _, suspect := range suspects {
		if !t.isCondemned(suspect, now) {
			continue
		}
		switch found := t.findAlternative(suspect, suspects, now); {
		case found == noAlternative:
			return Blocked, suspect
		case found == strongerAlternative:
			continue
		case verdict == Allowed:
			verdict, decisive = Probe, suspect
		}
	}
	if verdict == Probe && !t.mayProbe(decisive, now) {
		verdict = Blocked
	}
	return verdict, decisive
}

// isCondemned reports whether the reports of a suspect suffice to block it; t.mu is held.
func (t *Tracker) isCondemned(suspect Suspect, now time.Time) bool {
	requests, crashes := t.countReports(suspect, now)
	if suspect.isWholeRequest() {
		return crashes >= minRequestCrashes
	}
	return crashes >= minPartCrashes && requests >= minPartRequests
}

// counts reports whether a report is in force.
func (h held) counts(now time.Time) bool { return !h.IsCleared && now.Before(h.expires) }

// alternative says whether another part explains all crashes of a suspect as well.
type alternative int

const (
	noAlternative alternative = iota
	// equalAlternative is a part of exactly the same requests.
	equalAlternative
	// strongerAlternative is a part of further requests that crashed servers too.
	strongerAlternative
)

// findAlternative returns the strongest alternative to a part among those that the request doesn't have; t.mu is held.
func (t *Tracker) findAlternative(suspect Suspect, present []Suspect, now time.Time) alternative {
	if suspect.isWholeRequest() {
		return noAlternative
	}
	found := noAlternative
	requests, _ := t.countReports(suspect, now)
	for other := range t.reports {
		if other.isWholeRequest() || slices.Contains(present, other) || !t.explains(other, suspect, now) {
			continue
		}
		if theirs, _ := t.countReports(other, now); theirs > requests {
			return strongerAlternative
		}
		found = equalAlternative
	}
	return found
}

// countReports returns the requests that crashed servers with a suspect, and the number of crashes; t.mu is held.
func (t *Tracker) countReports(suspect Suspect, now time.Time) (requests, crashes int) {
	for _, report := range t.reports[suspect] {
		if report.counts(now) {
			requests++
			crashes += report.Crashes
		}
	}
	return requests, crashes
}

// explains reports whether each request that crashed servers with the suspect had the other part too; t.mu is held.
func (t *Tracker) explains(other, suspect Suspect, now time.Time) bool {
	for request, report := range t.reports[suspect] {
		if report.counts(now) && !t.reports[other][request].counts(now) {
			return false
		}
	}
	return true
}

// mayProbe reports whether this node may send a probe now, and counts it; t.mu is held.
func (t *Tracker) mayProbe(suspect Suspect, now time.Time) bool {
	next, ok := t.nextProbe[suspect]
	if !ok {
		next = now.Add(t.opts.ProbeDelay(suspect))
		t.nextProbe[suspect] = next
	}
	if now.Before(next) {
		return false
	}
	t.nextProbe[suspect] = now.Add(probeInterval)
	return true
}
