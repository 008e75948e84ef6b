package gateway

import (
	"github.com/monsoonrail/monsoonrail/internal/route"
)

// ModelPolicy chooses among the models of a route.
type ModelPolicy interface {
	// First returns the model of a request's first run; models are ordered from small to large.
	First(models []route.Model, tokensIn, tokensOut int) route.Model
}

// LargestModel always takes the largest model.
type LargestModel struct{}

// First implements ModelPolicy.
func (LargestModel) First(models []route.Model, _, _ int) route.Model { return models[len(models)-1] }
