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
	// Deployment is "commons" or "carrasco".
	Deployment string
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
	shape, err := findDeployment(opts.Deployment)
	if err != nil {
		return nil, err
	}
	if opts.Entries < 1 || opts.Entries > MaxEntries {
		return nil, malformed(1, "number of entries out of bounds", nil)
	}
	g := &generator{
		shape: shape,
		rng:   rand.New(rand.NewPCG(opts.Seed, sessionStream)),
		open:  map[sessionKey]*session{},
	}
	t := &Trace{Header: Header{
		Fleet: shape.fleet, Seed: opts.Seed, Entries: opts.Entries, Faults: opts.Faults, Outcome: opts.Outcome,
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

type generator struct {
	shape deployment
	rng   *rand.Rand
	open  map[sessionKey]*session
	// sessions counts the sessions so far.
	sessions int
	span     time.Duration
}

// arrivals draws n arrival times from the deployment's phases, in order.
func (g *generator) arrivals(n int) []time.Duration {
	g.span = time.Duration(float64(n) / g.shape.rate * float64(time.Second))
	weights := make([]float64, len(g.shape.phases))
	from := 0.0
	for i, p := range g.shape.phases {
		weights[i] = (p.until - from) * p.load
		from = p.until
	}
	times := make([]time.Duration, n)
	for i := range times {
		k := g.pick(weights)
		from = 0
		if k > 0 {
			from = g.shape.phases[k-1].until
		}
		at := from + g.rng.Float64()*(g.shape.phases[k].until-from)
		times[i] = time.Duration(at * float64(g.span)).Round(time.Millisecond)
	}
	slices.Sort(times)
	return times
}

func (g *generator) entry(at time.Duration) Entry {
	team := g.shape.teams[g.pickBy(len(g.shape.teams), func(i int) float64 { return g.shape.teams[i].weight })]
	if g.rng.Float64() < g.shape.plainShare {
		return g.plain(at, team)
	}
	return g.chat(at, team)
}

func (g *generator) plain(at time.Duration, team teamShape) Entry {
	call := g.shape.calls[g.pickBy(len(g.shape.calls), func(i int) float64 { return g.shape.calls[i].weight })]
	path := call.path
	if call.numbered {
		path = fmt.Sprintf("%s/%d", call.path, g.rng.IntN(500))
	}
	return Entry{
		At: at, Kind: KindPlain, Team: team.name, Service: g.shape.plain, Method: call.method, Path: path,
		OnceOnly: call.onceOnly, Priority: api.PriorityNormal, Deadline: 30 * time.Second,
	}
}

func (g *generator) chat(at time.Duration, team teamShape) Entry {
	isBatch := g.rng.Float64() < g.phaseAt(at).batch
	class := g.class(isBatch)
	entry := Entry{
		At: at, Kind: KindChat, Team: team.name, Service: g.shape.engine, Class: class.name,
		AnswerTokens: g.tokens(class.answer), Stream: class.stream && !isBatch,
		Difficulty: class.easiest + g.rng.Float64()*(class.hardest-class.easiest),
		Priority:   class.priority, Deadline: class.deadline,
	}
	if isBatch {
		entry.Priority = api.PriorityLow
		entry.Deadline = max(class.deadline, 5*time.Minute)
	}
	s := g.session(team, class)
	entry.Prefix, entry.PrefixTokens = s.prefix, s.tokens
	if class.turns > 1 {
		entry.Session = s.name
	}
	entry.PromptTokens = s.tokens + g.tokens(tokenRange{class.prompt.least - class.prefix.least, class.prompt.most - class.prefix.most})
	return entry
}

// class draws a class; batches lean towards the last class with a long deadline.
func (g *generator) class(isBatch bool) classShape {
	return g.shape.classes[g.pickBy(len(g.shape.classes), func(i int) float64 {
		class := g.shape.classes[i]
		if isBatch && class.priority == api.PriorityLow {
			return 2 * class.weight
		}
		return class.weight
	})]
}

// session returns the team's open session of a class, or opens one on one of the team's prefixes.
func (g *generator) session(team teamShape, class classShape) *session {
	key := sessionKey{team.name, class.name}
	s := g.open[key]
	if s == nil || s.left == 0 {
		g.sessions++
		k := g.rng.IntN(team.prefixes)
		s = &session{
			name:   fmt.Sprintf("s%d", g.sessions),
			prefix: fmt.Sprintf("%s/%s/%d", team.name, class.name, k),
			tokens: class.prefix.least + api.Tokens(k*37)%(class.prefix.most-class.prefix.least),
			left:   1 + int(g.rng.ExpFloat64()*(class.turns-1)+0.5),
		}
		g.open[key] = s
	}
	s.left--
	return s
}

func (g *generator) phaseAt(at time.Duration) phase {
	part := float64(at) / float64(g.span)
	for _, p := range g.shape.phases {
		if part <= p.until {
			return p
		}
	}
	return g.shape.phases[len(g.shape.phases)-1]
}

func (g *generator) tokens(r tokenRange) api.Tokens {
	return r.least + api.Tokens(g.rng.Int64N(int64(r.most-r.least)+1))
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
