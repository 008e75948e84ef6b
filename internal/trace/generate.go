package trace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// GenerateOptions tells what trace to make.
type GenerateOptions struct {
	Deployment Deployment
	Seed       uint64
	// Entries is the number of requests, from 1 to MaxEntries.
	Entries int
	// Faults and Outcome are copied to the header.
	Faults  []Fault
	Outcome Outcome
}

// sessionStream keeps the generator of a trace apart from other users of the same seed.
const sessionStream = 0x7472616365

// Generate makes a trace; equal options give equal traces.
func Generate(opts GenerateOptions) (*Trace, error) {
	if opts.Entries < 1 || opts.Entries > MaxEntries {
		return nil, malformed(1, "number of entries out of bounds", nil)
	}
	g := &generator{
		shape: opts.Deployment,
		rng:   rand.New(rand.NewPCG(opts.Seed, sessionStream)),
		open:  map[sessionKey]*session{},
	}
	t := &Trace{Header: Header{
		Fleet: opts.Deployment.Fleet, Seed: opts.Seed, Entries: opts.Entries, Faults: opts.Faults, Outcome: opts.Outcome,
	}}
	for _, at := range g.arrivals(opts.Entries) {
		t.Entries = append(t.Entries, g.entry(at))
	}
	return t, nil
}

type sessionKey struct {
	team  api.Team
	class api.Class
}

// session is an open session of a team.
type session struct {
	name   string
	prefix string
	// tokens is the length of the prefix.
	tokens api.Tokens
	left   int
}

// generator draws the entries of a trace. It converts products explicitly before it adds to them, since processors with a fused multiply-add
// would round differently and draw another trace from the same seed.
type generator struct {
	shape Deployment
	rng   *rand.Rand
	open  map[sessionKey]*session
	// sessions counts the sessions so far.
	sessions int
	span     time.Duration
}

// arrivals draws n arrival times from the deployment's phases, in order.
func (g *generator) arrivals(n int) []time.Duration {
	g.span = time.Duration(float64(n) / g.shape.Rate * float64(time.Second))
	weights := make([]float64, len(g.shape.Phases))
	from := 0.0
	for i, p := range g.shape.Phases {
		weights[i] = (p.Until - from) * p.Load
		from = p.Until
	}
	times := make([]time.Duration, n)
	for i := range times {
		k := g.pick(weights)
		from = 0
		if k > 0 {
			from = g.shape.Phases[k-1].Until
		}
		at := from + float64(g.rng.Float64()*(g.shape.Phases[k].Until-from))
		times[i] = time.Duration(at * float64(g.span)).Round(time.Millisecond)
	}
	slices.Sort(times)
	return times
}

func (g *generator) entry(at time.Duration) Entry {
	team := g.shape.Teams[g.pickBy(len(g.shape.Teams), func(i int) float64 { return g.shape.Teams[i].Weight })]
	if g.rng.Float64() < g.shape.PlainShare {
		return g.plain(at, team)
	}
	return g.chat(at, team)
}

func (g *generator) plain(at time.Duration, team TeamShape) Entry {
	call := g.shape.Calls[g.pickBy(len(g.shape.Calls), func(i int) float64 { return g.shape.Calls[i].Weight })]
	path := call.Path
	if call.Numbered {
		path = fmt.Sprintf("%s/%d", call.Path, g.rng.IntN(500))
	}
	return Entry{
		At: at, Kind: KindPlain, Team: team.Name, Service: g.shape.Plain, Method: call.Method, Path: path,
		OnceOnly: call.OnceOnly, Priority: api.PriorityNormal, Deadline: 30 * time.Second,
	}
}

func (g *generator) chat(at time.Duration, team TeamShape) Entry {
	isBatch := g.rng.Float64() < g.phaseAt(at).Batch
	class := g.class(isBatch)
	entry := Entry{
		At: at, Kind: KindChat, Team: team.Name, Service: g.shape.Engine, Class: class.Name,
		AnswerTokens: g.tokens(class.Answer), Stream: class.Stream && !isBatch,
		Difficulty: class.Easiest + float64(g.rng.Float64()*(class.Hardest-class.Easiest)),
		Priority:   class.Priority, Deadline: class.Deadline,
	}
	if isBatch {
		entry.Priority = api.PriorityLow
		entry.Deadline = max(class.Deadline, 5*time.Minute)
	}
	s := g.session(team, class)
	entry.Prefix, entry.PrefixTokens = s.prefix, s.tokens
	if class.Turns > 1 {
		entry.Session = s.name
	}
	entry.PromptTokens = s.tokens + g.tokens(TokenRange{class.Prompt.Least - class.Prefix.Least, class.Prompt.Most - class.Prefix.Most})
	return entry
}

// class draws a class; batches lean towards the last class with a long deadline.
func (g *generator) class(isBatch bool) ClassShape {
	return g.shape.Classes[g.pickBy(len(g.shape.Classes), func(i int) float64 {
		class := g.shape.Classes[i]
		if isBatch && class.Priority == api.PriorityLow {
			return 2 * class.Weight
		}
		return class.Weight
	})]
}

// session returns the team's open session of a class, or opens one on one of the team's prefixes.
func (g *generator) session(team TeamShape, class ClassShape) *session {
	key := sessionKey{team.Name, class.Name}
	s := g.open[key]
	if s == nil || s.left == 0 {
		g.sessions++
		k := g.rng.IntN(team.Prefixes)
		s = &session{
			name:   fmt.Sprintf("s%d", g.sessions),
			prefix: fmt.Sprintf("%s/%s/%d", team.Name, class.Name, k),
			tokens: class.Prefix.Least + api.Tokens(k*37)%(class.Prefix.Most-class.Prefix.Least),
			left:   1 + int(float64(g.rng.ExpFloat64()*(class.Turns-1))+0.5),
		}
		g.open[key] = s
	}
	s.left--
	return s
}

func (g *generator) phaseAt(at time.Duration) Phase {
	part := float64(at) / float64(g.span)
	for _, p := range g.shape.Phases {
		if part <= p.Until {
			return p
		}
	}
	return g.shape.Phases[len(g.shape.Phases)-1]
}

func (g *generator) tokens(r TokenRange) api.Tokens {
	return r.Least + api.Tokens(g.rng.Int64N(int64(r.Most-r.Least)+1))
}

func (g *generator) pick(weights []float64) int {
	return g.pickBy(len(weights), func(i int) float64 { return weights[i] })
}

// pickBy draws an index below n in proportion to its weight.
func (g *generator) pickBy(n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	left := g.rng.Float64() * total
	for i := range n {
		left -= weight(i)
		if left < 0 {
			return i
		}
	}
	return n - 1
}
