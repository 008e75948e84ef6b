package operator

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"embed"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"html/template"
	"net/http"
	"time"

	"github.com/monsoonrail/monsoonrail/internal/rollout"
)

//go:embed pages
var pageFiles embed.FS

const (
	// cookieName is the name of the cookie that holds the operator's key.
	cookieName = "monsoonrail_operator"
	// cookieMaxAge is the lifetime of the cookie.
	cookieMaxAge = 12 * time.Hour
	// csrfContext separates the HMAC of form tokens from other uses of the key.
	csrfContext = "monsoonrail operator form\x00"
	// pageTimeout limits how long the start page waits for the key-value service.
	pageTimeout = 1500 * time.Millisecond
	// applyTimeout limits how long an operation that was confirmed may take.
	applyTimeout = 8 * time.Second
	// pageHistoryLimit is the number of changes that the start page shows.
	pageHistoryLimit = 8
)

// page serves the operators' web interface. It uses no scripts, and each response contains all that the page needs.
type page struct {
	ops       *Operations
	templates *template.Template
	css       template.CSS
	csp       string
}

func newPage(ops *Operations) http.Handler {
	css, err := pageFiles.ReadFile("pages/style.css")
	if err != nil {
		panic(err)
	}
	sum := sha256.Sum256(css)
	p := &page{
		ops:       ops,
		templates: template.Must(template.New("").Funcs(templateFuncs()).ParseFS(pageFiles, "pages/*.html")),
		css:       template.CSS(css),
		csp: "default-src 'none'; style-src 'sha256-" + base64.StdEncoding.EncodeToString(sum[:]) +
			"'; form-action 'self'; base-uri 'none'; frame-ancestors 'none'",
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pagePath+"{$}", p.requireSignIn(p.home))
	mux.HandleFunc("GET "+pagePath+"form", p.requireSignIn(p.form))
	mux.HandleFunc("POST "+pagePath+"confirm", p.requireSignIn(p.confirm))
	mux.HandleFunc("POST "+pagePath+"apply", p.requireSignIn(p.apply))
	mux.HandleFunc("POST "+pagePath+"sign-in", p.signIn)
	mux.HandleFunc("POST "+pagePath+"sign-out", p.requireSignIn(p.signOut))
	return p.secure(mux)
}

// secure rejects forms submitted from other origins, limits the size of request bodies and sets the security headers of every response.
func (p *page) secure(next http.Handler) http.Handler {
	protection := http.NewCrossOriginProtection()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		header := w.Header()
		header.Set("Content-Security-Policy", p.csp)
		header.Set("Cache-Control", "no-store")
		header.Set("Referrer-Policy", "no-referrer")
		header.Set("X-Content-Type-Options", "nosniff")
		if err := protection.Check(r); err != nil {
			p.renderError(w, http.StatusForbidden, "The form came from another site; nothing was changed.")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		next.ServeHTTP(w, r)
	})
}

// visitor is the signed-in operator of a request.
type visitor struct {
	Operator
	// Token is the CSRF token of the operator's forms.
	Token string
}

// requireSignIn authenticates the operator by the cookie and checks the CSRF token of POST requests before it calls next.
func (p *page) requireSignIn(next func(w http.ResponseWriter, r *http.Request, by visitor)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		cookie, err := r.Cookie(cookieName)
		if err != nil {
			p.render(w, http.StatusUnauthorized, "signin.html", nil)
			return
		}
		key, _ := base64.RawURLEncoding.DecodeString(cookie.Value)
		operator, err := p.ops.opts.Keys.Authenticate(string(key))
		if err != nil {
			p.render(w, http.StatusUnauthorized, "signin.html", rootMessage(err))
			return
		}
		by := visitor{Operator: operator, Token: formToken(string(key))}
		if r.Method == http.MethodPost && !hmac.Equal([]byte(by.Token), []byte(r.PostFormValue("Token"))) {
			p.renderError(w, http.StatusForbidden, "The form was not made for you; nothing was changed. Go back and load the page again.")
			return
		}
		next(w, r, by)
	}
}

// formToken returns the CSRF token for a key. It is the same on every node, so that a form rendered by one node can be submitted to another.
func formToken(key string) string {
	h := hmac.New(sha256.New, []byte(key))
	h.Write([]byte(csrfContext))
	return hex.EncodeToString(h.Sum(nil))
}

func (p *page) signIn(w http.ResponseWriter, r *http.Request) {
	key := r.PostFormValue("Key")
	if _, err := p.ops.opts.Keys.Authenticate(key); err != nil {
		p.render(w, http.StatusUnauthorized, "signin.html", rootMessage(err))
		return
	}
	http.SetCookie(w, &http.Cookie{
		Name: cookieName, Value: base64.RawURLEncoding.EncodeToString([]byte(key)), Path: pagePath,
		MaxAge: int(cookieMaxAge / time.Second), HttpOnly: true, Secure: r.TLS != nil, SameSite: http.SameSiteStrictMode,
	})
	http.Redirect(w, r, pagePath, http.StatusSeeOther)
}

func (p *page) signOut(w http.ResponseWriter, r *http.Request, _ visitor) {
	http.SetCookie(w, &http.Cookie{Name: cookieName, Path: pagePath, MaxAge: -1, HttpOnly: true, SameSite: http.SameSiteStrictMode})
	http.Redirect(w, r, pagePath, http.StatusSeeOther)
}

func (p *page) form(w http.ResponseWriter, r *http.Request, by visitor) {
	if err := r.ParseForm(); err != nil {
		p.renderError(w, http.StatusBadRequest, "The form can't be read.")
		return
	}
	p.renderForm(w, http.StatusOK, by, formOf(r.Form), "")
}

// formView is the data of the form's template.
type formView struct {
	Visitor visitor
	Form    form
	Problem string
	Choices choices
}

func (p *page) renderForm(w http.ResponseWriter, status int, by visitor, f form, problem string) {
	p.render(w, status, "form.html", formView{Visitor: by, Form: f, Problem: problem, Choices: choicesOf(p.ops.opts.Configs.State().Config)})
}

// confirmView is the data of the confirmation's template.
type confirmView struct {
	Visitor  visitor
	Form     form
	Revision int64
	Groups   []impactGroup
	More     int
	Refused  int
}

// confirm renders the impacts of a change. It changes nothing.
func (p *page) confirm(w http.ResponseWriter, r *http.Request, by visitor) {
	f := formOf(r.PostForm)
	now := time.Now()
	view := confirmView{Visitor: by, Form: f, Revision: int64(p.ops.opts.Configs.State().Revision())}
	if !f.IsRollOut() {
		draft, err := f.draft(now)
		if err == nil {
			err = p.preview(&view, draft, now)
		}
		if err != nil {
			p.renderForm(w, http.StatusBadRequest, by, f, rootMessage(err))
			return
		}
		view.Form.prepare(draft, view.Revision)
	}
	if f.IsRollOut() && f.Reason == "" {
		p.renderForm(w, http.StatusBadRequest, by, f, badField("Reason", "", "1 to 500 bytes").Error())
		return
	}
	p.render(w, http.StatusOK, "confirm.html", view)
}

// preview sets the impacts of a draft in view.
func (p *page) preview(view *confirmView, draft Draft, now time.Time) error {
	impacts, more, err := p.ops.Preview(draft, view.Visitor.Operator, now)
	view.Groups = groupImpacts(impacts)
	view.More = more
	for _, impact := range impacts {
		if impact.Refused {
			view.Refused++
		}
	}
	return err
}

// doneView is the data of the result's template.
type doneView struct {
	Form     form
	Revision int64
	Phase    rollout.Phase
}

// apply executes a confirmed form. A form that is submitted twice has the same change id and takes effect once.
func (p *page) apply(w http.ResponseWriter, r *http.Request, by visitor) {
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	f := formOf(r.PostForm)
	view, err := p.execute(ctx, f, by.Operator)
	if isStoreUnavailable(err) && f.Kind == kindWithdraw && f.Service != "" {
		p.render(w, http.StatusServiceUnavailable, "stop.html", stopView{Visitor: by, Form: f, Problem: rootMessage(err)})
		return
	}
	if err != nil {
		p.renderError(w, statusOf(err), rootMessage(err))
		return
	}
	p.render(w, http.StatusOK, "done.html", view)
}

// stopView is the data of the template that offers to stop a version without an accepted change.
type stopView struct {
	Visitor visitor
	Form    form
	Problem string
}

// execute performs the operation of a form.
func (p *page) execute(ctx context.Context, f form, by Operator) (doneView, error) {
	view := doneView{Form: f}
	switch {
	case f.IsStop():
		return view, p.ops.StopVersion(f.stop(), by)
	case f.IsRollOut():
		updated, err := p.ops.CommandRollOut(ctx, f.command(), by)
		view.Phase = updated.Phase
		return view, err
	}
	draft, err := f.draft(time.Now())
	if err != nil {
		return view, err
	}
	_, revision, err := p.ops.Apply(ctx, draft, by)
	view.Revision = int64(revision)
	return view, err
}

// isStoreUnavailable reports whether err means that the key-value service was unavailable, so that the change was not accepted or its
// outcome is unknown.
func isStoreUnavailable(err error) bool {
	return err != nil && statusOf(err) == http.StatusServiceUnavailable
}

func (p *page) renderError(w http.ResponseWriter, status int, text string) {
	p.render(w, status, "error.html", text)
}

// render writes a page. The template is executed directly into the response, so a template error truncates the page; it is logged.
func (p *page) render(w http.ResponseWriter, status int, name string, data any) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	err := p.templates.ExecuteTemplate(w, name, struct {
		CSS  template.CSS
		Node string
		Data any
	}{CSS: p.css, Node: string(p.ops.opts.Node), Data: data})
	if err != nil {
		p.ops.opts.Log.WithError(err).WithField("page", name).Warn("failed to render page")
	}
}

// rootMessage returns the message of the innermost error, without the error classes that wrap it.
func rootMessage(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}
