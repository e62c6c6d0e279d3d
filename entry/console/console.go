// Package console serves the operators' console: one form for each resource of
// the configuration (site, upstream, service, caller). Every save produces the
// whole validated document and takes the same path as the operators' API. The
// pages need no script.
package console

import (
	"embed"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/fuchsiaroad/fuchsiaroad/entry/ingress"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators"
)

// Paths of the console.
const (
	Root           = "/console/"
	pathLogin      = Root + "login"
	pathLogout     = Root + "logout"
	pathStatus     = Root + "status"
	pathDocument   = Root + "document"
	pathQuarantine = Root + "quarantine"
	pathStyle      = Root + "style.css"
)

// Limits on what is read of a request.
const (
	loginLimit = "16K"
	formLimit  = "2M" // a whole document, encoded as a form
)

// Names of form fields that every form has.
const (
	fieldCSRF      = "csrf"
	fieldIfVersion = "if_version"
)

// csrfContext is the key under which the middleware leaves the token.
const csrfContext = "csrf"

// contentPolicy allows the console's own style sheet and forms, and nothing else.
const contentPolicy = "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none'; frame-ancestors 'none'"

// yearSeconds is how long a browser remembers to use HTTPS only.
const yearSeconds = 365 * 24 * 3600

// Log takes the console's lines.
type Log interface {
	Info(msg string, pairs ...any)
}

// Config is what the console needs.
type Config struct {
	Control operators.Control
	Views   operators.Views
	// Quarantine is the executor's.
	Quarantine operators.Quarantine
	Log        Log
	// FleetKey is the secret that all entries share. The key of the sessions is
	// derived from it, so that every entry knows them.
	FleetKey []byte
	// Secure says that the console is reached by HTTPS: cookies then never
	// travel without it.
	Secure bool
	// Now tells the time; nil means time.Now.
	Now func() time.Time
}

// Console serves the pages.
type Console struct {
	config   Config
	sessions *sessions
	pages    *pages
}

//go:embed templates
var files embed.FS

// New makes a console.
func New(c Config) (*Console, error) {
	if c.Now == nil {
		c.Now = time.Now
	}
	s, err := newSessions(c.FleetKey)
	if err != nil {
		return nil, err
	}
	p, err := newPages(files)
	if err != nil {
		return nil, err
	}
	return &Console{config: c, sessions: s, pages: p}, nil
}

// Register adds the console's routes.
func (c *Console) Register(e *echo.Echo) {
	headers := middleware.SecureWithConfig(middleware.SecureConfig{
		ContentTypeNosniff: "nosniff", XFrameOptions: "DENY", ContentSecurityPolicy: contentPolicy,
		ReferrerPolicy: "same-origin", HSTSMaxAge: yearSeconds, HSTSExcludeSubdomains: true,
	})
	csrf := middleware.CSRFWithConfig(middleware.CSRFConfig{
		TokenLookup: "form:" + fieldCSRF, ContextKey: csrfContext, CookieName: c.cookieName("csrf"), CookiePath: "/",
		CookieHTTPOnly: true, CookieSecure: c.config.Secure, CookieSameSite: http.SameSiteStrictMode,
	})
	public := []echo.MiddlewareFunc{c.answerErrors, headers, noStore, middleware.BodyLimit(loginLimit), accountBody, csrf}
	private := []echo.MiddlewareFunc{c.answerErrors, headers, noStore, c.signedIn, middleware.BodyLimit(formLimit), accountBody, csrf}

	e.GET("/console", func(ctx echo.Context) error { return ctx.Redirect(http.StatusSeeOther, Root) })
	e.GET(pathStyle, c.getStyle, headers)
	e.GET(pathLogin, c.getLogin, public...)
	e.POST(pathLogin, c.postLogin, public...)
	e.POST(pathLogout, c.postLogout, private...)
	e.GET(Root, c.getOverview, private...)
	e.GET(pathStatus, c.getStatus, private...)
	e.GET(pathDocument, c.getDocument, private...)
	e.GET(pathQuarantine, c.getQuarantine, private...)
	e.POST(pathQuarantine, c.postQuarantine, private...)
	for _, r := range resources {
		c.registerResource(e, r, private)
	}
}

// registerResource adds the forms of one resource.
func (c *Console) registerResource(e *echo.Echo, r resource, private []echo.MiddlewareFunc) {
	if r.kind() == kindSite {
		e.GET(sitePath, c.getForm(r), private...)
		e.POST(sitePath, c.postForm(r), private...)
		return
	}
	base := Root + r.kind()
	e.GET(base+"/new", c.getForm(r), private...)
	e.POST(base+"/new", c.postForm(r), private...)
	e.GET(base+"/edit/:name", c.getForm(r), private...)
	e.POST(base+"/edit/:name", c.postForm(r), private...)
	e.GET(base+"/remove/:name", c.getRemoval(r), private...)
	e.POST(base+"/remove/:name", c.postRemoval(r), private...)
}

// cookieName is a cookie's name. The prefix makes browsers refuse a cookie of
// that name which another host or an unencrypted page set.
func (c *Console) cookieName(name string) string {
	if c.config.Secure {
		return "__Host-fuchsiaroad-" + name
	}
	return "fuchsiaroad-" + name
}

// noStore keeps pages out of caches.
func noStore(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		ctx.Response().Header().Set(echo.HeaderCacheControl, "no-store")
		return next(ctx)
	}
}

// Error is a page that could not be shown, or a request that was refused.
// Nothing was changed.
type Error struct {
	Status int
	Title  string
	Detail string
}

// Error implements error.
func (e *Error) Error() string { return e.Title + ": " + e.Detail }

// asError turns any error into this layer's own.
func asError(err error) *Error {
	var own *Error
	if errors.As(err, &own) {
		return own
	}
	var httpErr *echo.HTTPError
	if !errors.As(err, &httpErr) {
		return &Error{Status: http.StatusInternalServerError, Title: "Internal error", Detail: "The page could not be shown."}
	}
	switch httpErr.Code {
	case http.StatusRequestEntityTooLarge:
		return &Error{Status: httpErr.Code, Title: "Too large", Detail: "The form holds more than a document may have. Nothing was changed."}
	case http.StatusBadRequest, http.StatusForbidden:
		return &Error{Status: http.StatusForbidden, Title: "Not from this console", Detail: "The form did not come from a page of this console, or is too old. Nothing was changed. Open the page again."}
	}
	return &Error{Status: httpErr.Code, Title: http.StatusText(httpErr.Code), Detail: "Nothing was changed."}
}

// answerErrors answers a handler's error with a page.
func (c *Console) answerErrors(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		err := next(ctx)
		if err == nil || ctx.Response().Committed {
			return err
		}
		own := asError(err)
		return c.render(ctx, own.Status, "error", own.Title, own)
	}
}

// accountBody has the memory of forms accounted for.
func accountBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		ingress.AccountBody(c.Request())
		return next(c)
	}
}
