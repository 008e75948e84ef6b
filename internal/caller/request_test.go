package caller

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"path"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/answer"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(`{"model":"auto","messages":[{"role":"user","content":"x"}],"max_tokens":5,"seed":1}`))
	f.Add([]byte(`{"model":"a@b","messages":[{}]} {}`))
	f.Add([]byte(`{"model":"auto","messages":[{"role":"user"}],"max_tokens":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, problem := decodeChat(body)
		if problem != nil {
			qt.Assert(t, problem.Outcome, qt.Equals, api.OutcomeNotRun)
			return
		}
		raw, err := json.Marshal(chat)
		qt.Assert(t, err, qt.IsNil)
		again, problem := decodeChat(raw)
		qt.Assert(t, problem == nil, qt.IsTrue)
		qt.Assert(t, again, qt.DeepEquals, chat)
	})
}

func FuzzReadHeaders(f *testing.F) {
	f.Add("30s", "high", "key")
	f.Add("9223372036854775807", "", "")
	f.Add("-1", "urgent", strings.Repeat("k", maxKeyBytes+1))
	f.Fuzz(func(t *testing.T, deadline, priority, key string) {
		header := http.Header{}
		header.Set(api.HeaderDeadline, deadline)
		header.Set(api.HeaderPriority, priority)
		header.Set(api.HeaderIdempotencyKey, key)
		headers, problem := readHeaders(header)
		if problem != nil {
			qt.Assert(t, problem.Reason, qt.Equals, api.ReasonBadRequest)
			return
		}
		qt.Assert(t, headers.deadline > 0 == (deadline != ""), qt.IsTrue, qt.Commentf("%s", headers.deadline))
		qt.Assert(t, len(headers.key) <= maxKeyBytes, qt.IsTrue)
	})
}

// TestLargeDeadlineIsClamped includes a number of seconds that once overflowed to a deadline of a third of a second.
func TestLargeDeadlineIsClamped(t *testing.T) {
	for _, test := range []struct {
		text string
		want time.Duration
	}{{"90", 90 * time.Second}, {"1m", time.Minute}, {"18446744074", time.Duration(maxDeadlineSeconds) * time.Second}} {
		deadline, problem := readDeadline(test.text)
		qt.Check(t, problem == nil, qt.IsTrue)
		qt.Check(t, deadline, qt.Equals, test.want)
	}
}

// FuzzServicePath checks that an accepted path is unambiguous: the server gets the same path that the rules are applied to.
func FuzzServicePath(f *testing.F) {
	for _, seed := range []string{"/push", "/%70ush", "/a/../push", "//push", "/push/", "/push;x", "/./push", "/pu%2fsh", "/push//"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, rest string) {
		u, err := url.ParseRequestURI("/v1/services/forge-app" + rest)
		if err != nil {
			return
		}
		escaped, matched, problem := servicePath(u, "forge-app")
		if problem != nil {
			return
		}
		qt.Assert(t, strings.TrimSuffix(escaped, "/"), qt.Equals, matched)
		if matched != "" {
			qt.Assert(t, path.Clean(matched), qt.Equals, matched)
		}
	})
}

// TestFingerprintIsStable checks that fingerprints equal those of nodes of other releases.
func TestFingerprintIsStable(t *testing.T) {
	for _, target := range []string{"/v1/chat/completions", "/v1/services/a/%C3%A4?b=c", "/" + strings.Repeat("long", 100)} {
		request := httptest.NewRequest(http.MethodPost, target, nil)
		want := sha256.Sum256(fmt.Appendf(nil, "POST %s?%s\nbody", request.URL.EscapedPath(), request.URL.RawQuery))
		qt.Check(t, fingerprint(request, []byte("body")), qt.Equals, answer.Fingerprint(want))
	}
}
