package load

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/monsoonrail/monsoonrail/internal/fake/enginefake"
	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/internal/trace"
	"github.com/monsoonrail/monsoonrail/pkg/api"
	"github.com/monsoonrail/monsoonrail/pkg/client"
)

func TestReshapeKeepsOrderAndSpan(t *testing.T) {
	shapes := []Shape{ShapeSteady, ShapeLessonStarts, ShapeNightlyBatch, ShapeMonthEnd}
	rapid.Check(t, func(t *rapid.T) {
		entries := make([]trace.Entry, rapid.IntRange(1, 300).Draw(t, "entries"))
		shape := rapid.SampledFrom(shapes).Draw(t, "shape")
		span := time.Duration(rapid.Int64Range(1, int64(time.Hour)).Draw(t, "span"))
		reshaped, err := Reshape(entries, shape, span, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		inOrder := slices.IsSortedFunc(reshaped, func(a, b trace.Entry) int { return int(a.At - b.At) })
		if !inOrder || reshaped[0].At < 0 || reshaped[len(reshaped)-1].At > span {
			t.Fatalf("arrivals out of order or outside the span %s", span)
		}
	})
}

func TestShapes(t *testing.T) {
	const n = 20_000
	// countBetween counts the arrivals between two fractions of the run.
	countBetween := func(shape Shape, from, to float64) int {
		reshaped, err := Reshape(make([]trace.Entry, n), shape, time.Hour, 1)
		qt.Assert(t, err, qt.IsNil)
		return len(slices.DeleteFunc(reshaped, func(e trace.Entry) bool {
			part := float64(e.At) / float64(time.Hour)
			return part < from || part >= to
		}))
	}
	qt.Assert(t, countBetween(ShapeSteady, 0, 0.5) > n*9/20, qt.IsTrue)
	// The first tenth of each lesson has six times the rate of the rest, which is 40% of the lesson's arrivals.
	qt.Assert(t, countBetween(ShapeLessonStarts, 0.25, 0.275) > n*9/100, qt.IsTrue)
	qt.Assert(t, countBetween(ShapeNightlyBatch, 0.4, 0.6) > n/2, qt.IsTrue)
	qt.Assert(t, countBetween(ShapeMonthEnd, 0.5, 1) > 2*countBetween(ShapeMonthEnd, 0, 0.5), qt.IsTrue)
	_, err := Reshape(nil, "Square", time.Hour, 1)
	qt.Assert(t, err, qt.ErrorMatches, ".*unknown shape Square.*")
}

func TestClassifyText(t *testing.T) {
	version := api.VersionID{Model: "m", Version: "1"}
	entry := trace.Entry{Kind: trace.KindChat, PromptTokens: 100, AnswerTokens: 20, Prefix: "p", PrefixTokens: 50}
	request := chatRequest(entry, "c1")
	whole := script.QualityMarker(0.5) + enginefake.ExpectedText(request, version)
	other := script.QualityMarker(0.5) + enginefake.ExpectedText(chatRequest(entry, "c2"), version)
	qt.Assert(t, strings.Fields(whole), qt.HasLen, 20)
	for _, test := range []struct {
		text string
		want Text
	}{
		{whole, TextWhole},
		{whole[:len(whole)-10], TextCut},
		{"", TextCut},
		{whole + whole, TextRepeated},
		{whole + " line", TextRepeated},
		{other, TextWrong},
	} {
		qt.Check(t, classifyText(request, version, test.text), qt.Equals, test.want)
	}
}

// slowTransport answers the address lookup immediately and each other call after one second.
type slowTransport struct{}

// RoundTrip implements http.RoundTripper.
func (slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body := `{"Addresses": [{"Node": "n", "URL": "http://n", "Weight": 1}], "KeepSeconds": 3600}`
	if r.URL.Path != "/v1/addresses" {
		time.Sleep(time.Second)
		body = "{}"
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: &stringBody{strings.NewReader(body)}}, nil
}

type stringBody struct{ *strings.Reader }

func (stringBody) Close() error { return nil }

// TestLatencyIsMeasuredFromDueTime guards against coordinated omission, where calls that the generator starts late seem fast.
// Ten calls are due at the same time and one may be in flight, so each call's latency includes those of the calls before it.
func TestLatencyIsMeasuredFromDueTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, err := client.New(client.Options{Nodes: []string{"http://n"}, HTTP: &http.Client{Transport: slowTransport{}}})
		qt.Assert(t, err, qt.IsNil)
		entries := slices.Repeat([]trace.Entry{{Kind: trace.KindPlain, Method: "GET", Path: "/x", At: 2 * time.Second}}, 10)
		results := Run(t.Context(), Options{
			Entries: entries, Speed: 2, MaxInFlight: 1, ClientFor: func(api.Team) *client.Client { return caller },
		})
		for i, result := range results {
			qt.Assert(t, result.Answered, qt.IsTrue)
			qt.Assert(t, result.Due, qt.Equals, time.Second)
			qt.Assert(t, result.Latency, qt.Equals, time.Duration(i+1)*time.Second)
		}
	})
}
