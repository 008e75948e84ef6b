package trace

import (
	"time"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Deployment is the shape of a deployment's work.
type Deployment struct {
	Fleet string
	// Engine and Plain are the services of chat completions and of plain calls.
	Engine, Plain api.Service
	// Rate is the mean number of requests a second, above 0.
	Rate    float64
	Teams   []TeamShape
	Classes []ClassShape
	Calls   []CallShape
	// PlainShare is the part of the requests that are plain calls, from 0 to 1.
	PlainShare float64
	// Phases cover the trace from its start to its end, in order.
	Phases []Phase
}

// TeamShape is a team's part of the work.
type TeamShape struct {
	Name api.Team
	// Weight is the team's part of the requests, relative to the other teams.
	Weight float64
	// Prefixes is the number of shared prompt prefixes of each class, at least 1.
	Prefixes int
}

// ClassShape is what requests of a class look like.
type ClassShape struct {
	Name api.Class
	// Weight is the class's part of the chat completions, relative to the other classes.
	Weight float64
	Prompt TokenRange
	// Prefix is the part of a prompt that requests share; both of its bounds are below those of Prompt.
	Prefix TokenRange
	Answer TokenRange
	// Easiest and Hardest bound the difficulty, from 0 to 1.
	Easiest, Hardest float64
	Deadline         time.Duration
	Priority         api.Priority
	Stream           bool
	// Turns is the mean number of requests of a session; 1 means no session.
	Turns float64
}

// TokenRange holds bounds of a number of tokens, both included.
type TokenRange struct{ Least, Most api.Tokens }

// CallShape is one kind of plain call.
type CallShape struct {
	Method string
	Path   string
	// Numbered appends one of many numbers to the path.
	Numbered bool
	// OnceOnly marks a call that must run at most once.
	OnceOnly bool
	// Weight is the part of the plain calls, relative to the other kinds.
	Weight float64
}

// Phase is a part of a trace with a rate of its own.
type Phase struct {
	// Until is the end of the phase as a part of the whole trace.
	Until float64
	// Load multiplies the mean rate.
	Load float64
	// Batch is the part of the requests that marking tools or nightly jobs send, at low priority.
	Batch float64
}

// FindDeployment returns a deployment whose work is known, "commons" or "carrasco", or ErrUnknownDeployment.
func FindDeployment(name string) (Deployment, error) {
	switch name {
	case "commons":
		return commons(), nil
	case "carrasco":
		return carrasco(), nil
	}
	return Deployment{}, Error.Wrap(&ErrUnknownDeployment{Name: name})
}

// commons is a school day: lesson starts, quiet between them, and the nightly batch of summaries.
func commons() Deployment {
	return Deployment{
		Fleet:  "west-mids",
		Engine: "tutor-llm",
		Plain:  "forge-app",
		Rate:   4,
		Teams: []TeamShape{
			{"aston-academy", 24, 8}, {"coventry-north", 20, 7}, {"wolves-college", 16, 6},
			{"dudley-high", 8, 3}, {"solihull-grammar", 7, 3}, {"walsall-wood", 6, 2},
			{"sandwell-sixth", 6, 2}, {"marking-tools", 6, 2}, {"kings-heath", 4, 1}, {"moderators", 3, 1},
		},
		Classes: []ClassShape{
			{
				Name: "review", Weight: 40, Prompt: TokenRange{1200, 4000}, Prefix: TokenRange{800, 1100}, Answer: TokenRange{120, 420},
				Easiest: 0.25, Hardest: 0.95, Deadline: 60 * time.Second, Priority: api.PriorityNormal, Stream: true, Turns: 3,
			},
			{
				Name: "explain", Weight: 40, Prompt: TokenRange{300, 1200}, Prefix: TokenRange{150, 280}, Answer: TokenRange{60, 200},
				Easiest: 0.05, Hardest: 0.60, Deadline: 20 * time.Second, Priority: api.PriorityHigh, Stream: true, Turns: 4,
			},
			{
				Name: "summary", Weight: 20, Prompt: TokenRange{800, 3000}, Prefix: TokenRange{200, 400}, Answer: TokenRange{50, 140},
				Easiest: 0.05, Hardest: 0.45, Deadline: 5 * time.Minute, Priority: api.PriorityLow, Turns: 1,
			},
		},
		Calls: []CallShape{
			{"POST", "/push", false, true, 20}, {"POST", "/grade-publish", false, true, 8},
			{"GET", "/status", false, false, 40}, {"GET", "/repos", true, false, 32},
		},
		PlainShare: 0.25,
		Phases: []Phase{
			{0.05, 0.3, 0.1}, {0.12, 2.8, 0}, {0.30, 0.8, 0.1}, {0.37, 2.8, 0}, {0.55, 0.8, 0.1},
			{0.62, 2.8, 0}, {0.80, 0.5, 0.2}, {1, 0.7, 0.9},
		},
	}
}

// carrasco is a month's end: queries through the day and the mail merge that swells towards the end.
func carrasco() Deployment {
	return Deployment{
		Fleet:  "sur",
		Engine: "redaccion",
		Plain:  "despacho",
		Rate:   5,
		Teams: []TeamShape{
			{"intendencia-montevideo", 26, 6}, {"cooperativa-sur", 20, 5}, {"notarias-unidas", 16, 6},
			{"intendencia-canelones", 8, 3}, {"intendencia-maldonado", 7, 3}, {"escribania-pereyra", 6, 3},
			{"cooperativa-colonia", 6, 2}, {"caja-pensiones", 5, 2}, {"liga-fomento", 3, 1}, {"mesa-despacho", 3, 1},
		},
		Classes: []ClassShape{
			{
				Name: "dossier", Weight: 25, Prompt: TokenRange{3000, 9000}, Prefix: TokenRange{1500, 2500}, Answer: TokenRange{300, 800},
				Easiest: 0.30, Hardest: 0.95, Deadline: 10 * time.Minute, Priority: api.PriorityNormal, Stream: true, Turns: 3,
			},
			{
				Name: "template", Weight: 35, Prompt: TokenRange{200, 700}, Prefix: TokenRange{120, 180}, Answer: TokenRange{60, 160},
				Easiest: 0.05, Hardest: 0.60, Deadline: 5 * time.Minute, Priority: api.PriorityLow, Turns: 1,
			},
			{
				Name: "classification", Weight: 40, Prompt: TokenRange{80, 300}, Prefix: TokenRange{40, 70}, Answer: TokenRange{4, 16},
				Easiest: 0, Hardest: 0.45, Deadline: 2 * time.Minute, Priority: api.PriorityNormal, Turns: 1,
			},
		},
		Calls: []CallShape{
			{"POST", "/postage-charge", false, true, 22}, {"POST", "/print-order", false, true, 22},
			{"GET", "/orders", true, false, 56},
		},
		PlainShare: 0.3,
		Phases: []Phase{
			{0.2, 0.5, 0.2}, {0.4, 0.8, 0.3}, {0.5, 0.5, 0.2}, {0.7, 1.2, 0.6}, {0.9, 1.9, 0.8}, {1, 0.8, 0.5},
		},
	}
}
