package operator

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/monsoonrail/monsoonrail/internal/fleet"
	"github.com/monsoonrail/monsoonrail/internal/suspect"
	"github.com/monsoonrail/monsoonrail/pkg/api"
)

// browse makes a browser's request with the cookie of the operator who signed in.
func (b *bed) browse(method, path string, values url.Values) *httptest.ResponseRecorder {
	if b.cookie == "" {
		b.signIn(operateKey)
	}
	req := httptest.NewRequest(method, path, strings.NewReader(values.Encode()))
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	req.Header.Set("Cookie", b.cookie)
	recorder := httptest.NewRecorder()
	b.handler.ServeHTTP(recorder, req)
	return recorder
}

func (b *bed) signIn(key string) {
	req := httptest.NewRequest(http.MethodPost, "/operator/sign-in", strings.NewReader(url.Values{"Key": {key}}.Encode()))
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	recorder := httptest.NewRecorder()
	b.handler.ServeHTTP(recorder, req)
	b.Assert(recorder.Code, qt.Equals, http.StatusSeeOther, qt.Commentf("%s", recorder.Body))
	b.cookie = strings.Split(recorder.Header().Get("Set-Cookie"), ";")[0]
	b.Assert(recorder.Header().Get("Set-Cookie"), qt.Contains, "HttpOnly; SameSite=Strict")
}

var hiddenInput = regexp.MustCompile(`<input type="hidden" name="(\w+)" value="([^"]*)">`)

// fieldsOf returns the hidden fields of the last form of a page.
func fieldsOf(html string) url.Values {
	values := url.Values{}
	for _, match := range hiddenInput.FindAllStringSubmatch(html[strings.LastIndex(html, "<form"):], -1) {
		values.Set(match[1], match[2])
	}
	return values
}

func TestWithdrawFromThePage(t *testing.T) {
	b := newBed(t)
	service, version := b.version()
	form := b.browse(http.MethodGet, "/operator/form?Kind=withdraw&Service="+string(service)+"&Version="+version.String(), nil)
	fields := fieldsOf(form.Body.String())
	fields.Set("Lasts", "8h")
	b.Assert(b.browse(http.MethodPost, "/operator/confirm", fields).Body.String(), qt.Contains, "Reason is")

	fields.Set("Reason", "wrong marks <b>")
	confirm := b.browse(http.MethodPost, "/operator/confirm", fields)
	b.Assert(confirm.Code, qt.Equals, http.StatusOK)
	b.Assert(confirm.Body.String(), qt.Contains, "Whom it touches")
	b.Assert(confirm.Body.String(), qt.Contains, "wrong marks &lt;b&gt;")
	b.Assert(b.changes.State().Revision(), qt.Equals, api.Revision(1), qt.Commentf("the confirmation changed something"))

	sure := fieldsOf(confirm.Body.String())
	sure.Set("Reason", "wrong marks <b>")
	for range 2 {
		done := b.browse(http.MethodPost, "/operator/apply", sure)
		b.Assert(done.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", done.Body))
		b.Assert(done.Body.String(), qt.Contains, "Accepted as revision 2")
	}
	config := b.changes.State().Config
	b.Assert(config.Revision, qt.Equals, api.Revision(2))
	scope := fleet.Scope{Service: service, Version: version}
	b.Assert(config.StateOf(scope, time.Now()), qt.Equals, fleet.StateWithdrawn)
	b.Assert(config.StateOf(scope, time.Now().Add(9*time.Hour)), qt.Equals, fleet.StateServing)
}

// TestStopWhileTheStoreIsOut withdraws a version from the page while no change can be accepted.
func TestStopWhileTheStoreIsOut(t *testing.T) {
	b := newBed(t)
	service, version := b.version()
	fields := url.Values{"Token": {formToken(operateKey)}, "Kind": {"withdraw"}, "Service": {string(service)},
		"Version": {version.String()}, "Reason": {"wrong marks"}}
	sure := fieldsOf(b.browse(http.MethodPost, "/operator/confirm", fields).Body.String())
	b.changes.isOut = true
	offered := b.browse(http.MethodPost, "/operator/apply", sure)
	b.Assert(offered.Code, qt.Equals, http.StatusServiceUnavailable)
	b.Assert(offered.Body.String(), qt.Contains, "The nodes can stop")
	b.Assert(b.trials.ordered, qt.HasLen, 0)

	stopped := b.browse(http.MethodPost, "/operator/apply", fieldsOf(offered.Body.String()))
	b.Assert(stopped.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", stopped.Body))
	want := []suspect.OperatorStop{{Service: service, Version: version, Reason: "wrong marks", Operator: "ana"}}
	b.Assert(b.trials.ordered, qt.DeepEquals, want)
	status, _ := b.call(viewKey, "StopVersion", fmt.Sprintf(`{"Service": %q, "Version": %q, "Reason": "x"}`, service, version))
	b.Assert(status, qt.Equals, http.StatusForbidden)
	status, _ = b.call(operateKey, "StopVersion", fmt.Sprintf(`{"Service": %q, "Version": "none@1", "Reason": "x"}`, service))
	b.Assert(status, qt.Equals, http.StatusBadRequest)
	b.Assert(b.trials.ordered, qt.HasLen, 1)
}

func TestFormsOfOthersChangeNothing(t *testing.T) {
	b := newBed(t)
	service, version := b.version()
	fields := url.Values{"Kind": {"withdraw"}, "Service": {string(service)}, "Version": {version.String()}, "Reason": {"x"}}
	b.Assert(b.browse(http.MethodPost, "/operator/apply", fields).Code, qt.Equals, http.StatusForbidden)
	fields.Set("Token", formToken("another key"))
	b.Assert(b.browse(http.MethodPost, "/operator/apply", fields).Code, qt.Equals, http.StatusForbidden)
	fields.Set("Token", formToken(operateKey))

	req := httptest.NewRequest(http.MethodPost, "/operator/apply", strings.NewReader(fields.Encode()))
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	req.Header.Set("Cookie", b.cookie)
	req.Header.Set("Sec-Fetch-Site", "cross-site")
	recorder := httptest.NewRecorder()
	b.handler.ServeHTTP(recorder, req)
	b.Assert(recorder.Code, qt.Equals, http.StatusForbidden)

	b.signIn(viewKey)
	fields.Set("Token", formToken(viewKey))
	b.Assert(b.browse(http.MethodPost, "/operator/apply", fields).Code, qt.Equals, http.StatusForbidden)
	b.Assert(b.changes.State().Revision(), qt.Equals, api.Revision(1))

	b.cookie = cookieName + "=d3Jvbmc"
	b.Assert(b.browse(http.MethodGet, "/operator/", nil).Code, qt.Equals, http.StatusUnauthorized)
}

// TestPagesLookTheSame compares the pages with golden files; the clock is that of a bubble, so that it stands still.
func TestPagesLookTheSame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		service, version := b.version()
		status, _ := b.call(operateKey, "AddException", `{"Exception": {"ID": "exams", "Set": {"QualityTarget": 0.9}, "Reason": "exam week"}}`)
		b.Assert(status, qt.Equals, http.StatusOK)
		b.golden("signin.html", b.anonymous())
		b.golden("home.html", b.browse(http.MethodGet, "/operator/", nil).Body.String())
		fields := url.Values{"Token": {formToken(operateKey)}, "Kind": {"withdraw"}, "Service": {string(service)},
			"Version": {version.String()}, "Reason": {"wrong marks"}, "Lasts": {"8h"}}
		b.golden("confirm.html", b.browse(http.MethodPost, "/operator/confirm", fields).Body.String())
		b.golden("form.html", b.browse(http.MethodGet, "/operator/form?Kind=add", nil).Body.String())
	})
}

func (b *bed) anonymous() string {
	recorder := httptest.NewRecorder()
	b.handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/operator/", nil))
	return recorder.Body.String()
}

var (
	randomID  = regexp.MustCompile(`(op-)?[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}|op-[0-9a-f]{8}`)
	styleText = regexp.MustCompile(`(?s)<style>.*</style>`)
)

func (b *bed) golden(name, html string) {
	html = styleText.ReplaceAllString(randomID.ReplaceAllString(html, "RANDOM"), "")
	path := filepath.Join("testdata", name)
	if *update {
		b.Assert(os.MkdirAll("testdata", 0o755), qt.IsNil)
		b.Assert(os.WriteFile(path, []byte(html), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	b.Assert(err, qt.IsNil)
	b.Check(html, qt.Equals, string(want))
	b.Check(len(html) < 32<<10, qt.IsTrue, qt.Commentf("%s has %d bytes", name, len(html)))
}
