package gateway

import (
	"sync"

	"github.com/monsoonrail/monsoonrail/internal/route"
)

const (
	// maxPromptPerAnswerToken is the most prompt tokens for each expected answer token of requests that fill a server. While a server reads a prompt, its
	// request generates nothing and delays those that are being generated.
	maxPromptPerAnswerToken = 8
	// maxPromptSamples is the number of requests of a route after which the sums of their sizes are halved, so that new requests count more.
	maxPromptSamples = 1000
)

// promptSizes holds the sizes of requests by route. The zero value is empty; it is safe for concurrent use.
type promptSizes struct {
	mu     sync.Mutex
	routes map[route.Name]promptSize
}

// promptSize is the sum of the sizes of a number of requests.
type promptSize struct {
	requests, promptTokens, answerTokens int
}

// record adds the size of a request on a route.
func (s *promptSizes) record(name route.Name, promptTokens, answerTokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = make(map[route.Name]promptSize)
	}
	sum := s.routes[name]
	if sum.requests == maxPromptSamples {
		sum = promptSize{requests: sum.requests / 2, promptTokens: sum.promptTokens / 2, answerTokens: sum.answerTokens / 2}
	}
	s.routes[name] = promptSize{
		requests: sum.requests + 1, promptTokens: sum.promptTokens + promptTokens, answerTokens: sum.answerTokens + answerTokens,
	}
}

// isShort reports whether the prompts of a route's requests are short for their answers. Unlike the size of a single request, nodes agree on it.
func (s *promptSizes) isShort(name route.Name) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := s.routes[name]
	return sum.requests > 0 && sum.promptTokens <= maxPromptPerAnswerToken*sum.answerTokens
}
