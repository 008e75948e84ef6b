package standalone

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/httpjson"
	"github.com/monsoonrail/monsoonrail/internal/rating"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

const (
	// ratingCallTimeout bounds a call, in addition to the wait for a rating that it requests.
	ratingCallTimeout = 2 * time.Second
	// maxRatingBytes bounds an answer.
	maxRatingBytes = 4 << 20
)

// Ratings is a client of the rating service.
type Ratings struct {
	base string
	http *http.Client
}

// NewRatings returns a client of the rating service at a base URL.
func NewRatings(base string, client *http.Client) *Ratings {
	return &Ratings{base: base, http: client}
}

// Submit submits an answer to be rated; the rating may be available later, or never.
func (r *Ratings) Submit(ctx context.Context, s rating.Submission) error {
	_, _, err := r.submit(ctx, s, 0)
	return err
}

// SubmitAndWait submits an answer and waits for its rating; ok is false if there was none within wait.
func (r *Ratings) SubmitAndWait(ctx context.Context, s rating.Submission, wait time.Duration) (rated rating.Rating, ok bool, err error) {
	return r.submit(ctx, s, wait)
}

func (r *Ratings) submit(ctx context.Context, s rating.Submission, wait time.Duration) (rating.Rating, bool, error) {
	call := httpjson.Request{
		Method:           http.MethodPost,
		URL:              r.base + "/v1/ratings",
		Body:             s,
		Timeout:          ratingCallTimeout + wait,
		MaxResponseBytes: maxRatingBytes,
	}
	if wait > 0 {
		call.URL += "?wait=" + url.QueryEscape(wait.String())
	}
	var rated rating.Rating
	answer, err := httpjson.Do(ctx, r.http, call, &rated)
	if err != nil {
		return rating.Rating{}, false, rating.Error.Wrap(err)
	}
	isRated := answer.Status == http.StatusOK && rated.RequestID == s.RequestID
	return rated, isRated, nil
}

// Fetch returns the ratings after a sequence number of the answers that the node with the incarnation source submitted. A service
// that does not support the source parameter returns the ratings of all answers.
func (r *Ratings) Fetch(ctx context.Context, source api.Incarnation, after int64) (rating.Page, error) {
	var page rating.Page
	query := url.Values{"after": {strconv.FormatInt(after, 10)}, "source": {string(source)}}
	_, err := httpjson.Do(ctx, r.http, httpjson.Request{
		Method:           http.MethodGet,
		URL:              r.base + "/v1/ratings?" + query.Encode(),
		Timeout:          ratingCallTimeout,
		MaxResponseBytes: maxRatingBytes,
	}, &page)
	if err != nil {
		return rating.Page{}, rating.Error.Wrap(err)
	}
	return page, nil
}
