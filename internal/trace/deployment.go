package trace

import (
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// deployment is the shape of a deployment's work.
type deployment struct {
	fleet  string
	engine api.Service
	plain  api.Service
	// rate is the mean number of requests a second.
	rate    float64
	teams   []teamShape
	classes []classShape
	calls   []callShape
	// plainShare is the part of the requests that are plain calls.
	plainShare float64
	// phases cover the trace from its start to its end, in order.
	phases []phase
}

// teamShape is a team's part of the work.
type teamShape struct {
	name   api.Team
	weight float64
	// prefixes is the number of shared prompt prefixes of each class.
	prefixes int
}

// classShape is what requests of a class look like.
type classShape struct {
	name   api.Class
	weight float64
	prompt tokenRange
	prefix tokenRange
	answer tokenRange
	// easiest and hardest bound the difficulty.
	easiest, hardest float64
	deadline         time.Duration
	priority         api.Priority
	stream           bool
	// turns is the mean number of requests of a session; 1 means no session.
	turns float64
}

type tokenRange struct{ least, most api.Tokens }

// callShape is one kind of plain call.
type callShape struct {
	method   string
	path     string
	numbered bool
	onceOnly bool
	weight   float64
}

// phase is a part of a trace with a rate of its own.
type phase struct {
	// until is the end of the phase as a part of the whole trace.
	until float64
	// load multiplies the mean rate.
	load float64
	// batch is the part of the requests that marking tools or nightly jobs send, at low priority.
	batch float64
}

func findDeployment(name string) (deployment, error) {
	switch name {
	case "commons":
		return commons(), nil
	case "carrasco":
		return carrasco(), nil
	}
	return deployment{}, Error.Wrap(&ErrUnknownDeployment{Name: name})
}

// commons is a school day: lesson starts, quiet between them, and the nightly batch of summaries.
func commons() deployment {
	return deployment{
		fleet:  "west-mids",
		engine: "tutor-llm",
		plain:  "forge-app",
		rate:   4,
		teams: []teamShape{
			{"aston-academy", 24, 8}, {"coventry-north", 20, 7}, {"wolves-college", 16, 6},
			{"dudley-high", 8, 3}, {"solihull-grammar", 7, 3}, {"walsall-wood", 6, 2},
			{"sandwell-sixth", 6, 2}, {"marking-tools", 6, 2}, {"kings-heath", 4, 1}, {"moderators", 3, 1},
		},
		classes: []classShape{
			{
				name: "review", weight: 40, prompt: tokenRange{1200, 4000}, prefix: tokenRange{800, 1100}, answer: tokenRange{120, 420},
				easiest: 0.25, hardest: 0.95, deadline: 60 * time.Second, priority: api.PriorityNormal, stream: true, turns: 3,
			},
			{
				name: "explain", weight: 40, prompt: tokenRange{300, 1200}, prefix: tokenRange{150, 280}, answer: tokenRange{60, 200},
				easiest: 0.05, hardest: 0.60, deadline: 20 * time.Second, priority: api.PriorityHigh, stream: true, turns: 4,
			},
			{
				name: "summary", weight: 20, prompt: tokenRange{800, 3000}, prefix: tokenRange{200, 400}, answer: tokenRange{50, 140},
				easiest: 0.05, hardest: 0.45, deadline: 5 * time.Minute, priority: api.PriorityLow, turns: 1,
			},
		},
		calls: []callShape{
			{"POST", "/push", false, true, 20}, {"POST", "/grade-publish", false, true, 8},
			{"GET", "/status", false, false, 40}, {"GET", "/repos", true, false, 32},
		},
		plainShare: 0.25,
		phases: []phase{
			{0.05, 0.3, 0.1}, {0.12, 2.8, 0}, {0.30, 0.8, 0.1}, {0.37, 2.8, 0}, {0.55, 0.8, 0.1},
			{0.62, 2.8, 0}, {0.80, 0.5, 0.2}, {1, 0.7, 0.9},
		},
	}
}

// carrasco is a month's end: queries through the day and the mail merge that swells towards the end.
func carrasco() deployment {
	return deployment{
		fleet:  "sur",
		engine: "redaccion",
		plain:  "despacho",
		rate:   5,
		teams: []teamShape{
			{"intendencia-montevideo", 26, 6}, {"cooperativa-sur", 20, 5}, {"notarias-unidas", 16, 6},
			{"intendencia-canelones", 8, 3}, {"intendencia-maldonado", 7, 3}, {"escribania-pereyra", 6, 3},
			{"cooperativa-colonia", 6, 2}, {"caja-pensiones", 5, 2}, {"liga-fomento", 3, 1}, {"mesa-despacho", 3, 1},
		},
		classes: []classShape{
			{
				name: "dossier", weight: 25, prompt: tokenRange{3000, 9000}, prefix: tokenRange{1500, 2500}, answer: tokenRange{300, 800},
				easiest: 0.30, hardest: 0.95, deadline: 10 * time.Minute, priority: api.PriorityNormal, stream: true, turns: 3,
			},
			{
				name: "template", weight: 35, prompt: tokenRange{200, 700}, prefix: tokenRange{120, 180}, answer: tokenRange{60, 160},
				easiest: 0.05, hardest: 0.60, deadline: 5 * time.Minute, priority: api.PriorityLow, turns: 1,
			},
			{
				name: "classification", weight: 40, prompt: tokenRange{80, 300}, prefix: tokenRange{40, 70}, answer: tokenRange{4, 16},
				easiest: 0, hardest: 0.45, deadline: 2 * time.Minute, priority: api.PriorityNormal, turns: 1,
			},
		},
		calls: []callShape{
			{"POST", "/postage-charge", false, true, 22}, {"POST", "/print-order", false, true, 22},
			{"GET", "/orders", true, false, 56},
		},
		plainShare: 0.3,
		phases: []phase{
			{0.2, 0.5, 0.2}, {0.4, 0.8, 0.3}, {0.5, 0.5, 0.2}, {0.7, 1.2, 0.6}, {0.9, 1.9, 0.8}, {1, 0.8, 0.5},
		},
	}
}
