// Package vmlistfake is a fake of the platform's VM list for tests, with lag, omissions and outages.
package vmlistfake

import (
	"compress/gzip"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/fake/switches"
	"github.com/monsoonrail/monsoonrail/internal/vmlist"
)

// listVersion is the content of the list from a time on; it is never modified.
type listVersion struct {
	since time.Time
	vms   map[string]vmlist.VM
}

// Service is a fake VM list service.
type Service struct {
	switches.Switches
	handler http.Handler

	mu sync.Mutex
	// versions is ordered by time and never empty.
	versions []listVersion
	lag      time.Duration
	// frozen, if not nil, is the version that is returned regardless of later changes.
	frozen *listVersion
	omit   func(id string) bool
	// omitChanges counts the calls of SetOmit, for the ETag.
	omitChanges int
}

// New returns a service with the given VMs.
func New(vms ...vmlist.VM) *Service {
	s := &Service{versions: []listVersion{{vms: make(map[string]vmlist.VM)}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", s.serveList)
	s.handler = s.Handler(mux)
	for _, vm := range vms {
		s.versions[0].vms[vm.ID] = vm
	}
	return s
}

// ServeHTTP serves GET /v1/vms.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Put adds or changes a VM.
func (s *Service) Put(vm vmlist.VM) {
	s.change(func(vms map[string]vmlist.VM) { vms[vm.ID] = vm })
}

// SetState changes the state of a VM of the list.
func (s *Service) SetState(id string, state vmlist.State) {
	s.change(func(vms map[string]vmlist.VM) {
		vm := vms[id]
		vm.State = state
		vms[id] = vm
	})
}

// Remove removes a VM from the list.
func (s *Service) Remove(id string) {
	s.change(func(vms map[string]vmlist.VM) { delete(vms, id) })
}

// SetLag sets the delay after which changes appear in responses.
func (s *Service) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// Freeze makes the service return the current list permanently, as a service does whose data source has failed.
func (s *Service) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = &s.versions[len(s.versions)-1]
}

// SetOmit sets the function that reports which VMs responses omit; nil means none.
func (s *Service) SetOmit(omit func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.omit = omit
	s.omitChanges++
}

func (s *Service) change(apply func(vms map[string]vmlist.VM)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := maps.Clone(s.versions[len(s.versions)-1].vms)
	apply(vms)
	s.versions = append(s.versions, listVersion{since: time.Now(), vms: vms})
}

func (s *Service) serveList(w http.ResponseWriter, r *http.Request) {
	shown, tag := s.shown(time.Now())
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	list := s.list(shown)
	if r.Header.Get("Accept-Encoding") != "gzip" {
		switches.WriteJSON(w, list)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(w)
	_ = json.NewEncoder(compressed).Encode(list)
	_ = compressed.Close()
}

// shown returns the version of the list to return at a time, with since set to its AsOf, and the ETag of the response.
func (s *Service) shown(now time.Time) (listVersion, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := now.Add(-s.lag)
	last := 0
	for i, v := range s.versions {
		if !v.since.After(asOf) {
			last = i
		}
	}
	shown := s.versions[last]
	if s.frozen != nil {
		shown = *s.frozen
	}
	shown.since = asOf
	return shown, strconv.Quote(strconv.Itoa(last) + "-" + strconv.Itoa(s.omitChanges))
}

// list returns a version as the response body, without omitted VMs.
func (s *Service) list(shown listVersion) vmlist.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := vmlist.List{AsOf: shown.since}
	for _, id := range slices.Sorted(maps.Keys(shown.vms)) {
		if s.omit == nil || !s.omit(id) {
			list.VMs = append(list.VMs, shown.vms[id])
		}
	}
	return list
}
