package router

import (
	"context"

	"github.com/apex/log"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// errEscalated means that a first answer was rated too low and that the request is escalated to a second version.
var errEscalated error = &escalation{}

type escalation struct{}

func (*escalation) Error() string { return "first answer was rated too low" }

// draft is a complete answer that has not been delivered to the caller.
type draft struct {
	to     target
	tail   answer.Tail
	chunks []string
}

// rateDraft has a first answer rated and keeps it unless it is rated too low. An answer without a rating in time is kept.
func (c *chatRun) rateDraft(ctx context.Context, gen *generation, tail answer.Tail) error {
	c.draft = &draft{to: gen.to, tail: tail}
	for i := range gen.next {
		chunk, _ := gen.out.Chunk(i)
		c.draft.chunks = append(c.draft.chunks, string(chunk))
	}
	quality, ok := c.router.opts.Ratings.Rate(ctx, c.rated(gen.to, gen.out))
	if !ok || quality >= gen.to.choice.EscalateBelow {
		return c.keepDraft(ctx)
	}
	c.router.opts.Metrics.Counter("escalations").Inc(1)
	c.router.logOf(c.answer.ID).WithFields(log.Fields{
		"version": gen.to.version.String(), "quality": float64(quality), "wanted": float64(gen.to.choice.EscalateBelow),
		"then": gen.to.choice.EscalateTo.String(),
	}).Info(msgEscalated)
	c.escalationChoice = gen.to.choice
	c.escalatedTo = c.escalationChoice.EscalateTo
	c.replacedCost = c.cost(gen.to.version, tail.Usage)
	return errEscalated
}

// keepDraft makes the draft the request's answer.
func (c *chatRun) keepDraft(ctx context.Context) error {
	kept := c.draft
	c.replacedCost = 0
	c.escalatedTo = api.VersionID{}
	c.answer.Restart()
	c.answer.SetHead(c.head(kept.to))
	for _, chunk := range kept.chunks {
		if err := c.answer.Append([]byte(chunk)); err != nil {
			return err
		}
	}
	return c.finish(ctx, kept.to, kept.tail)
}

// failOrKeepDraft ends a request that can't continue. A draft, even one rated too low, is preferred to a failure.
func (c *chatRun) failOrKeepDraft(ctx context.Context, problem *api.Problem) {
	if c.draft != nil && c.keepDraft(context.WithoutCancel(ctx)) == nil {
		return
	}
	c.fail(problem)
}

// rated describes an answer to the rating service. The rating of an escalated answer counts for the whole cascade.
func (c *chatRun) rated(to target, ans *answer.Answer) RatedAnswer {
	choice := to.choice
	if !c.escalatedTo.IsZero() {
		choice = c.escalationChoice
	}
	return RatedAnswer{
		RequestID: c.answer.ID,
		Service:   c.plan.service,
		Class:     c.plan.class,
		Choice:    choice,
		Version:   to.version,
		Prompt:    c.plan.call.Request.Messages,
		Answer:    ans.Text(),
	}
}
