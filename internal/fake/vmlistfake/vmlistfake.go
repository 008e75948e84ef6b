// Package vmlistfake stands in for the platform's VM list in tests, with lag, omissions and outages.
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

// version is the list from one moment on; its VMs are never changed.
type version struct {
	since time.Time
	vms   map[string]vmlist.VM
}

// Service is one VM list.
type Service struct {
	switches.Switches
	handler http.Handler

	mu sync.Mutex
	// versions is ordered by time and never empty.
	versions []version
	lag      time.Duration
	// frozen is the version that is shown whatever changes; nil while the list follows.
	frozen *version
	omit   func(id string) bool
	// omitted counts the calls of SetOmit.
	omitted int
}

// New returns a list of the given VMs.
func New(vms ...vmlist.VM) *Service {
	s := &Service{versions: []version{{vms: make(map[string]vmlist.VM)}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", s.serveList)
	s.handler = s.Handler(mux)
	for _, vm := range vms {
		s.versions[0].vms[vm.ID] = vm
	}
	return s
}

// ServeHTTP answers GET /v1/vms.
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

// Remove takes a VM off the list.
func (s *Service) Remove(id string) {
	s.change(func(vms map[string]vmlist.VM) { delete(vms, id) })
}

// SetLag sets how late changes show.
func (s *Service) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// Freeze makes the service answer the present list for good, as one does whose source has failed.
func (s *Service) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = &s.versions[len(s.versions)-1]
}

// SetOmit leaves out the VMs that omit reports; nil leaves out none.
func (s *Service) SetOmit(omit func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.omit = omit
	s.omitted++
}

func (s *Service) change(apply func(vms map[string]vmlist.VM)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := maps.Clone(s.versions[len(s.versions)-1].vms)
	apply(vms)
	s.versions = append(s.versions, version{since: time.Now(), vms: vms})
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

// shown returns the version of the list that shows at a time and a tag that names what is answered.
func (s *Service) shown(now time.Time) (version, string) {
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
	return shown, strconv.Quote(strconv.Itoa(last) + "-" + strconv.Itoa(s.omitted))
}

// list returns a version as it is answered.
func (s *Service) list(shown version) vmlist.List {
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
