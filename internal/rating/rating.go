// Package rating reads the ratings of the platform's rating service, which come late and not for all answers.
package rating

import (
	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package; httpjson.ErrStatus tells a refusal apart.
var Error = errs.Class("rating")

// Submission is an answer to be rated.
type Submission struct {
	RequestID api.RequestID
	// Source is the incarnation that handed the answer in, which alone waits for its rating.
	Source  api.Incarnation
	Service api.Service
	Class   api.Class
	Version api.VersionID
	Prompt  string
	Answer  string
}

// Rating is the rating of one answer.
type Rating struct {
	// Seq orders the ratings of the service.
	Seq       int64
	RequestID api.RequestID
	Quality   api.Quality
}

// Page is a part of the ratings.
type Page struct {
	Ratings []Rating
	// Next is the sequence number to ask after for the next page.
	Next int64
}
