package router

import (
	"github.com/monsoonrail/monsoonrail/internal/metric"
	"github.com/monsoonrail/monsoonrail/internal/prefix"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// bytesPerToken is the estimated number of bytes of a prompt per token.
const bytesPerToken = 4

// promptTokens estimates the number of tokens of a prompt.
func promptTokens(req api.ChatRequest) api.Tokens {
	bytes := 0
	for _, message := range req.Messages {
		bytes += len(message.Content)
	}
	return api.Tokens(bytes/bytesPerToken + 1)
}

// prefixOf returns the hash of the prompt's first block, by which requests with a common prefix are routed to the same servers,
// and the least number of tokens that such requests have in common; both are 0 for a shorter prompt.
func prefixOf(call ChatCall) (hash uint64, tokens api.Tokens) {
	blocks := prefix.Hashes(call.Request.Messages, 1)
	if len(blocks) == 0 {
		return 0, 0
	}
	return uint64(blocks[0]), prefix.BlockBytes / bytesPerToken
}

func reasonLabel(problem *api.Problem) metric.Label {
	return metric.Label{Name: "reason", Value: string(problem.Reason)}
}

// observeChat updates the histograms with a finished request.
func (r *Router) observeChat(c *chatRun, to target, bill Bill) {
	took := bill.At.Sub(c.arrivedAt)
	for _, label := range []metric.Label{
		{Name: "team", Value: string(c.plan.call.Team)},
		{Name: "class", Value: string(c.plan.class)},
		{Name: "version", Value: to.version.String()},
	} {
		r.opts.Metrics.ObserveDuration("latency", took, label)
		r.opts.Metrics.Histogram("cost_microusd", label).Update(int64(bill.Cost))
		if c.firstToken > 0 {
			r.opts.Metrics.ObserveDuration("first_token", c.firstToken, label)
		}
		if c.tokenInterval > 0 {
			r.opts.Metrics.ObserveDuration("token_interval", c.tokenInterval, label)
		}
	}
}
