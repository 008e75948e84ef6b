// Package rating reads ratings from the platform's rating service. They arrive late, and not for all answers.
package rating

import (
	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package. A rejected request has a *httpjson.ErrStatus in its chain.
var Error = errs.Class("rating")

// Submission is an answer to be rated.
type Submission struct {
	RequestID api.RequestID
	// Source is the incarnation that submitted the answer. Only it waits for the rating.
	Source  api.Incarnation
	Service api.Service
	Class   api.Class
	Version api.VersionID
	Prompt  string
	Answer  string
}

// Rating is the rating of one answer.
type Rating struct {
	// Seq is the position of the rating among all ratings of the service.
	Seq       int64
	RequestID api.RequestID
	Quality   api.Quality
}

// Page is one page of ratings.
type Page struct {
	Ratings []Rating
	// Next is the sequence number to pass for the next page.
	Next int64
}
