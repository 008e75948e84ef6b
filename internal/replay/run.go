package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonrail/monsoonrail/internal/balance"
	"github.com/monsoonrail/monsoonrail/internal/cascade"
	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// request is one chat completion of the trace on its way.
type request struct {
	entry   *trace.Entry
	index   int
	lap     int
	arrived time.Duration
	node    *node
	// prefix is a hash of the prefix and the version that it was cached for; 0 if there is none.
	prefix   uint64
	decision cascade.Decision
	// version is the index of the version that runs.
	version   int
	escalated bool
	// boosted is that of limit.Request.
	boosted bool
	// admitted is when the request was let in.
	admitted time.Duration
	// charged is what the request was counted at then.
	charged time.Duration
	cost    float64
	// done is the capacity that the request took, in seconds of a slot of speed 1.
	done float64
}

// node is one decider.
type node struct {
	id       api.Incarnation
	table    *balance.Table
	counters *cascade.Counters
	estimate *cascade.Estimates
	// turn is the place of round robin.
	turn int
	rng  *rand.Rand
	// admission is nil unless Options.Admission is set.
	admission *admission
}

// simulation is one replay.
type simulation struct {
	clock
	opts    Options
	truth   Truth
	entries []*trace.Entry
	faults  []trace.Fault
	nodes   []*node
	servers []*server
	ids     []api.ServerID
	// sessions holds the version of each session, as the session's token would.
	sessions map[string]api.VersionID
	answers  map[api.Class]*meanTokens
	oracle   map[api.Class]*trueClass
	open     int
	result   *Result
	// lastArrival is when the last request comes.
	lastArrival time.Duration
}

type meanTokens struct{ sum, count api.Tokens }

// exchangePeriod is how often nodes merge what they know.
const exchangePeriod = 2 * time.Second

// Run replays a trace.
func Run(t *trace.Trace, opts Options) (*Result, error) {
	truth, err := TruthOf(t.Header.Fleet)
	if opts.Truth != nil {
		truth, err = *opts.Truth, nil
	}
	if err != nil {
		return nil, err
	}
	s := &simulation{
		opts: opts, truth: truth, faults: t.Header.Faults,
		sessions: map[string]api.VersionID{},
		answers:  map[api.Class]*meanTokens{},
	}
	s.addEntries(t)
	s.oracle = findTruth(s.entries, &s.truth, opts.Seed)
	s.result = newResult(t.Header.Fleet, opts)
	s.addServers()
	s.addNodes()
	s.addArrivals()
	s.addSlowdown()
	s.open = len(s.entries)
	if opts.Admission {
		s.at(usagePeriod, s.exchangeUsage)
	}
	if opts.Versions == PolicyOurs {
		s.at(exchangePeriod, s.exchange)
	}
	for i := range s.servers {
		s.at(reportPeriod*time.Duration(i)/time.Duration(len(s.servers)), func() { s.report(i) })
	}
	s.run()
	s.result.finish(s)
	return s.result, nil
}

func (s *simulation) arrive(r *request) {
	r.decision = s.chooseVersion(r)
	if r.entry.Session != "" {
		s.sessions[r.sessionKey()] = r.decision.Arm.First
	}
	s.result.chose(s, r)
	version := s.findVersion(r.decision.Arm.First)
	if s.opts.Admission {
		s.admit(r, version)
		return
	}
	s.dispatch(r, version)
}

// priority is that with which the request is handed to servers.
func (r *request) priority() api.Priority {
	if r.boosted {
		return api.PriorityHigh
	}
	return r.entry.Priority
}

// sessionKey keeps the sessions of laps and teams apart.
func (r *request) sessionKey() string {
	return fmt.Sprintf("%d/%s/%s", r.lap, r.entry.Team, r.entry.Session)
}

func (s *simulation) findVersion(id api.VersionID) int {
	for i := range s.truth.Versions {
		if s.truth.Versions[i].ID == id {
			return i
		}
	}
	panic("replay: a version that isn't in the truth was chosen")
}

func (s *simulation) dispatch(r *request, version int) {
	r.version = version
	if s.harm(version) > 0 {
		s.result.Exposed++
	}
	r.cost += s.truth.Versions[version].price(r.entry)
	r.prefix = 0
	if r.entry.Prefix != "" {
		r.prefix = xxhash.Sum64String(r.entry.Prefix + "@" + s.truth.Versions[version].ID.String())
	}
	i := s.chooseServer(r)
	run := r.node.table.RecordDispatch(s.ids[i], balance.Dispatch{
		Prefix: r.prefix, PromptTokens: s.uncached(r, i), Version: s.truth.Versions[version].ID, At: s.wall(),
	})
	s.servers[i].enqueue(&job{request: r, version: version, server: i, queuedAt: s.now, run: run})
	s.result.queued(s.servers[i])
	s.startJobs(i)
}

func (s *simulation) startJobs(i int) {
	for {
		j, evicted := s.servers[i].start(s.now, s.truth.Versions)
		if j == nil {
			return
		}
		for _, prefix := range evicted {
			s.tellEviction(i, prefix)
		}
		s.result.started(j)
		s.at(j.began+j.firstToken, func() { s.progress(j, 1) })
		s.at(j.ends, func() { s.end(j) })
	}
}

// eventLoss is the part of cache events that are lost.
const eventLoss = 0.1

func (s *simulation) tellEviction(i int, prefix uint64) {
	for _, n := range s.nodes {
		if n.rng.Float64() < eventLoss {
			continue
		}
		s.at(s.now+s.opts.Lag, func() { n.table.RecordCacheEvent(s.ids[i], prefix, false) })
	}
}

func (s *simulation) end(j *job) {
	s.servers[j.server].finish(j)
	r := j.request
	r.done += (j.ends - j.began).Seconds() * s.servers[j.server].speed()
	prompt := r.entry.PromptTokens
	if j.hit {
		prompt -= r.entry.PrefixTokens
	}
	r.node.table.RecordFinish(s.ids[j.server], j.run, &balance.Completion{
		PromptTokens: prompt, AnswerTokens: r.entry.AnswerTokens, Version: s.truth.Versions[j.version].ID,
		FirstToken: j.began - j.queuedAt + j.firstToken, Total: j.ends - j.queuedAt,
	}, s.wall())
	s.learnLength(r.entry)
	s.startJobs(j.server)
	s.answered(r)
}

// progress tells the node of the first token and of each doubling of the tokens from then on.
func (s *simulation) progress(j *job, tokens api.Tokens) {
	r := j.request
	r.node.table.RecordProgress(s.ids[j.server], j.run, tokens, s.wall())
	if next := 2 * tokens; next < r.entry.AnswerTokens {
		s.at(j.began+j.firstToken+j.decoding()*time.Duration(next)/time.Duration(r.entry.AnswerTokens), func() { s.progress(j, next) })
	}
}

// uncached is the part of the prompt that the node doesn't expect in the server's cache.
func (s *simulation) uncached(r *request, i int) api.Tokens {
	if r.node.table.CacheHolders(r.prefix).Has(balance.ServerIndex(i)) {
		return r.entry.PromptTokens - r.entry.PrefixTokens
	}
	return r.entry.PromptTokens
}

func (s *simulation) learnLength(entry *trace.Entry) {
	mean, ok := s.answers[entry.Class]
	if !ok {
		mean = &meanTokens{}
		s.answers[entry.Class] = mean
	}
	mean.sum += entry.AnswerTokens
	mean.count++
}

// expectedAnswer is the mean length of the class's answers so far.
func (s *simulation) expectedAnswer(class api.Class) api.Tokens {
	const unknown = 150
	if mean, ok := s.answers[class]; ok {
		return mean.sum / mean.count
	}
	return unknown
}

const reportPeriod = time.Second

// report sends a server's load to every node, Lag late.
func (s *simulation) report(i int) {
	server := s.servers[i]
	load := balance.LoadReport{
		Running: len(server.running), Queued: len(server.queue), Slots: server.truth.Slots,
		AnswerRate: answerRate * server.speed(), MeasuredAt: s.wall(),
	}
	s.at(s.now+s.opts.Lag, func() {
		for _, n := range s.nodes {
			n.table.RecordLoad(s.ids[i], load)
		}
	})
	if s.open > 0 {
		s.at(s.now+reportPeriod, func() { s.report(i) })
	}
}

// exchange merges each node's counters with those of two others and refreshes its estimates.
func (s *simulation) exchange() {
	const peers = 2
	for _, n := range s.nodes {
		for range peers {
			peer := s.nodes[n.rng.IntN(len(s.nodes))]
			if peer != n {
				n.counters.MergeFrom(peer.counters)
			}
		}
	}
	for _, n := range s.nodes {
		n.estimate = n.counters.Estimates("", s.wall())
	}
	if s.open > 0 {
		s.at(s.now+exchangePeriod, s.exchange)
	}
}
