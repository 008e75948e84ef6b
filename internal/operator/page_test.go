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

// browse sends a request with the cookie of the signed-in operator, and signs in with operateKey first if there is none.
func (n *testNode) browse(method, path string, values url.Values) *httptest.ResponseRecorder {
	if n.cookie == "" {
		n.signIn(operateKey)
	}
	req := httptest.NewRequest(method, path, strings.NewReader(values.Encode()))
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	req.Header.Set("Cookie", n.cookie)
	recorder := httptest.NewRecorder()
	n.handler.ServeHTTP(recorder, req)
	return recorder
}

func (n *testNode) signIn(key string) {
	req := httptest.NewRequest(http.MethodPost, "/operator/sign-in", strings.NewReader(url.Values{"Key": {key}}.Encode()))
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	recorder := httptest.NewRecorder()
	n.handler.ServeHTTP(recorder, req)
	n.Assert(recorder.Code, qt.Equals, http.StatusSeeOther, qt.Commentf("%s", recorder.Body))
	n.cookie = strings.Split(recorder.Header().Get("Set-Cookie"), ";")[0]
	n.Assert(recorder.Header().Get("Set-Cookie"), qt.Contains, "HttpOnly; SameSite=Strict")
}

var hiddenInput = regexp.MustCompile(`<input type="hidden" name="(\w+)" value="([^"]*)">`)

// fieldsOf returns the hidden fields of the last form on a page.
func fieldsOf(html string) url.Values {
	values := url.Values{}
	for _, match := range hiddenInput.FindAllStringSubmatch(html[strings.LastIndex(html, "<form"):], -1) {
		values.Set(match[1], match[2])
	}
	return values
}

func TestWithdrawFromThePage(t *testing.T) {
	n := newTestNode(t)
	service, version := n.version()
	form := n.browse(http.MethodGet, "/operator/form?Kind=withdraw&Service="+string(service)+"&Version="+version.String(), nil)
	fields := fieldsOf(form.Body.String())
	fields.Set("Lasts", "8h")
	n.Assert(n.browse(http.MethodPost, "/operator/confirm", fields).Body.String(), qt.Contains, "Reason is")

	fields.Set("Reason", "wrong marks <b>")
	confirm := n.browse(http.MethodPost, "/operator/confirm", fields)
	n.Assert(confirm.Code, qt.Equals, http.StatusOK)
	n.Assert(confirm.Body.String(), qt.Contains, "Whom it touches")
	n.Assert(confirm.Body.String(), qt.Contains, "wrong marks &lt;b&gt;")
	n.Assert(n.changes.State().Revision(), qt.Equals, api.Revision(1), qt.Commentf("the confirmation changed something"))

	confirmed := fieldsOf(confirm.Body.String())
	confirmed.Set("Reason", "wrong marks <b>")
	for range 2 {
		done := n.browse(http.MethodPost, "/operator/apply", confirmed)
		n.Assert(done.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", done.Body))
		n.Assert(done.Body.String(), qt.Contains, "Accepted as revision 2")
	}
	config := n.changes.State().Config
	n.Assert(config.Revision, qt.Equals, api.Revision(2))
	scope := fleet.Scope{Service: service, Version: version}
	n.Assert(config.StateOf(scope, time.Now()), qt.Equals, fleet.StateWithdrawn)
	n.Assert(config.StateOf(scope, time.Now().Add(9*time.Hour)), qt.Equals, fleet.StateServing)
}

// TestStopWhileStoreIsUnavailable checks that the page offers to stop a version on the nodes if its withdrawal can't be accepted because
// the key-value service is unavailable.
func TestStopWhileStoreIsUnavailable(t *testing.T) {
	n := newTestNode(t)
	service, version := n.version()
	fields := url.Values{"Token": {formToken(operateKey)}, "Kind": {"withdraw"}, "Service": {string(service)},
		"Version": {version.String()}, "Reason": {"wrong marks"}}
	confirmed := fieldsOf(n.browse(http.MethodPost, "/operator/confirm", fields).Body.String())
	n.changes.isUnavailable = true
	offered := n.browse(http.MethodPost, "/operator/apply", confirmed)
	n.Assert(offered.Code, qt.Equals, http.StatusServiceUnavailable)
	n.Assert(offered.Body.String(), qt.Contains, "The nodes can stop")
	n.Assert(n.trials.operatorStops, qt.HasLen, 0)

	stopped := n.browse(http.MethodPost, "/operator/apply", fieldsOf(offered.Body.String()))
	n.Assert(stopped.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", stopped.Body))
	want := []suspect.OperatorStop{{Service: service, Version: version, Reason: "wrong marks", Operator: "ana"}}
	n.Assert(n.trials.operatorStops, qt.DeepEquals, want)
	status, _ := n.call(viewKey, "StopVersion", fmt.Sprintf(`{"Service": %q, "Version": %q, "Reason": "x"}`, service, version))
	n.Assert(status, qt.Equals, http.StatusForbidden)
	status, _ = n.call(operateKey, "StopVersion", fmt.Sprintf(`{"Service": %q, "Version": "none@1", "Reason": "x"}`, service))
	n.Assert(status, qt.Equals, http.StatusBadRequest)
	n.Assert(n.trials.operatorStops, qt.HasLen, 1)
}

func TestForgedFormsAreRejected(t *testing.T) {
	n := newTestNode(t)
	service, version := n.version()
	fields := url.Values{"Kind": {"withdraw"}, "Service": {string(service)}, "Version": {version.String()}, "Reason": {"x"}}
	n.Assert(n.browse(http.MethodPost, "/operator/apply", fields).Code, qt.Equals, http.StatusForbidden)
	fields.Set("Token", formToken("another key"))
	n.Assert(n.browse(http.MethodPost, "/operator/apply", fields).Code, qt.Equals, http.StatusForbidden)
	fields.Set("Token", formToken(operateKey))

	req := httptest.NewRequest(http.MethodPost, "/operator/apply", strings.NewReader(fields.Encode()))
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	req.Header.Set("Cookie", n.cookie)
	req.Header.Set("Sec-Fetch-Site", "cross-site")
	recorder := httptest.NewRecorder()
	n.handler.ServeHTTP(recorder, req)
	n.Assert(recorder.Code, qt.Equals, http.StatusForbidden)

	n.signIn(viewKey)
	fields.Set("Token", formToken(viewKey))
	n.Assert(n.browse(http.MethodPost, "/operator/apply", fields).Code, qt.Equals, http.StatusForbidden)
	n.Assert(n.changes.State().Revision(), qt.Equals, api.Revision(1))

	n.cookie = cookieName + "=d3Jvbmc"
	n.Assert(n.browse(http.MethodGet, "/operator/", nil).Code, qt.Equals, http.StatusUnauthorized)
}

// TestPagesMatchGoldenFiles compares the pages with golden files. It runs in a synctest bubble, whose fixed clock keeps the times on the
// pages constant.
func TestPagesMatchGoldenFiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNode(t)
		service, version := n.version()
		status, _ := n.call(operateKey, "AddException", `{"Exception": {"ID": "exams", "Set": {"QualityTarget": 0.9}, "Reason": "exam week"}}`)
		n.Assert(status, qt.Equals, http.StatusOK)
		n.golden("signin.html", n.signInPage())
		n.golden("home.html", n.browse(http.MethodGet, "/operator/", nil).Body.String())
		fields := url.Values{"Token": {formToken(operateKey)}, "Kind": {"withdraw"}, "Service": {string(service)},
			"Version": {version.String()}, "Reason": {"wrong marks"}, "Lasts": {"8h"}}
		n.golden("confirm.html", n.browse(http.MethodPost, "/operator/confirm", fields).Body.String())
		n.golden("form.html", n.browse(http.MethodGet, "/operator/form?Kind=add", nil).Body.String())
	})
}

func (n *testNode) signInPage() string {
	recorder := httptest.NewRecorder()
	n.handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/operator/", nil))
	return recorder.Body.String()
}

var (
	randomID  = regexp.MustCompile(`(op-)?[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}|op-[0-9a-f]{8}`)
	styleText = regexp.MustCompile(`(?s)<style>.*</style>`)
)

func (n *testNode) golden(name, html string) {
	html = styleText.ReplaceAllString(randomID.ReplaceAllString(html, "RANDOM"), "")
	path := filepath.Join("testdata", name)
	if *update {
		n.Assert(os.MkdirAll("testdata", 0o755), qt.IsNil)
		n.Assert(os.WriteFile(path, []byte(html), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	n.Assert(err, qt.IsNil)
	n.Check(html, qt.Equals, string(want))
	n.Check(len(html) < 32<<10, qt.IsTrue, qt.Commentf("%s has %d bytes", name, len(html)))
}
