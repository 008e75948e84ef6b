package node

import (
	"github.com/monsoonrail/monsoonrail/internal/kv"
	"github.com/monsoonrail/monsoonrail/internal/rating"
	"github.com/monsoonrail/monsoonrail/internal/ratingfeed"
	"github.com/monsoonrail/monsoonrail/internal/rollout"
	"github.com/monsoonrail/monsoonrail/internal/vmlist"
)

// Platform holds the services of the platform that a node uses.
type Platform struct {
	Store kv.Store
	VMs   vmlist.Lister
	// Ratings is nil where the platform has no rating service.
	Ratings RatingService
	// Weights is nil where the platform has no weight store.
	Weights rollout.WeightSource
}

// RatingService accepts answers and returns their ratings.
type RatingService interface {
	ratingfeed.Service
	rating.Reader
}
