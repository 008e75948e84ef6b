package dev_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/dev"
	"github.com/monsoonrail/monsoonrail/internal/fake/enginefake"
	"github.com/monsoonrail/monsoonrail/internal/fake/script"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// TestStreamsThatHaveBegunAreNotCut requests answers that take longer than the policy's deadline of 4 s. Streamed answers must
// complete unless the caller set a shorter deadline; non-streamed answers are rejected at the deadline.
func TestStreamsThatHaveBegunAreNotCut(t *testing.T) {
	const policy = 4 * time.Second
	for _, test := range []struct {
		name   string
		stream bool
		// deadline is the value of the deadline header; empty for none.
		deadline string
		tokens   api.Tokens
		complete bool
	}{
		{"stream without a deadline", true, "", 60, true},
		{"stream with a longer deadline", true, "10s", 60, true},
		{"stream with a shorter deadline", true, "3s", 60, false},
		{"stream over three times the policy's", true, "1m", 300, false},
		{"whole answer", false, "10s", 60, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, func(o *dev.Options) {
					o.Config.Defaults.Deadline = policy
					o.Config.Exceptions = nil
				})
				defer b.close()
				for _, engine := range b.system.Engines() {
					engine.Reconfigure(func(o *enginefake.Options) { o.TokensPerSecond = 10 })
				}
				header := map[string]string{}
				if test.deadline != "" {
					header[api.HeaderDeadline] = test.deadline
				}
				began := time.Now()
				body := chatBody(test.stream, script.Prompt{AnswerTokens: test.tokens})
				resp, raw := b.do(http.MethodPost, b.system.NodeURL(0)+chatPath, header, body)
				complete := resp.StatusCode == http.StatusOK && (!test.stream || strings.Contains(string(raw), "[DONE]"))
				qt.Check(t, complete, qt.Equals, test.complete, qt.Commentf("%d %.300s", resp.StatusCode, raw))
				qt.Check(t, time.Since(began) <= 3*policy+time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(began)))
				if !test.complete {
					qt.Check(t, strings.Contains(string(raw), string(api.ReasonDeadline)), qt.IsTrue)
				}
			})
		})
	}
}
