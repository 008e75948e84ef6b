// Package rating speaks with the platform's rating service, which rates answers late and not all of them.
package rating

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/monsoonrail/monsoonrail/internal/httpjson"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// Error is the class of every error of the package; httpjson.ErrStatus tells a refusal apart.
var Error = errs.Class("rating")

const (
	// callTimeout bounds a call, beyond the time that it was asked to wait for.
	callTimeout = 2 * time.Second
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 4 << 20
)

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

// Client speaks with the rating service.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the service below a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// Submit hands in an answer; its rating may come later, or never.
func (c *Client) Submit(ctx context.Context, s Submission) error {
	_, _, err := c.submit(ctx, s, 0)
	return err
}

// SubmitAndWait hands in an answer and waits for its rating; ok is false if it did not come in time.
func (c *Client) SubmitAndWait(ctx context.Context, s Submission, wait time.Duration) (r Rating, ok bool, err error) {
	return c.submit(ctx, s, wait)
}

func (c *Client) submit(ctx context.Context, s Submission, wait time.Duration) (Rating, bool, error) {
	call := httpjson.Request{
		Method:  http.MethodPost,
		URL:     c.base + "/v1/ratings",
		Body:    s,
		Timeout: callTimeout + wait,
		Limit:   maxAnswerBytes,
	}
	if wait > 0 {
		call.URL += "?wait=" + url.QueryEscape(wait.String())
	}
	var rating Rating
	answer, err := httpjson.Do(ctx, c.http, call, &rating)
	if err != nil {
		return Rating{}, false, Error.Wrap(err)
	}
	isRated := answer.Status == http.StatusOK && rating.RequestID == s.RequestID
	return rating, isRated, nil
}

// Fetch returns the ratings after a sequence number of the answers that a source handed in. A service that does not know sources
// returns those of all.
func (c *Client) Fetch(ctx context.Context, source api.Incarnation, after int64) (Page, error) {
	var page Page
	query := url.Values{"after": {strconv.FormatInt(after, 10)}, "source": {string(source)}}
	_, err := httpjson.Do(ctx, c.http, httpjson.Request{
		Method:  http.MethodGet,
		URL:     c.base + "/v1/ratings?" + query.Encode(),
		Timeout: callTimeout,
		Limit:   maxAnswerBytes,
	}, &page)
	if err != nil {
		return Page{}, Error.Wrap(err)
	}
	return page, nil
}
