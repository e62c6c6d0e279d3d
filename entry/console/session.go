package console

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/entry/server"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// sessionTime is how long a login lasts.
const sessionTime = 8 * time.Hour

// sessionPurpose parts the key of sessions from other uses of the shared key.
const sessionPurpose = "fuchsiaroad console session 1"

// operatorContext is the key of the operator's name in a request's context.
const operatorContext = "operator"

// sessions signs and checks session values. A value names no caller: it holds
// the time of its end and a keyed hash of the caller's token hash, so that it
// ends as well when the caller is removed, is no operator any more or gets
// another token.
type sessions struct{ key []byte }

// newSessions derives the key.
func newSessions(fleetKey []byte) (*sessions, error) {
	if len(fleetKey) == 0 {
		return nil, errors.New("console: the shared key of the entries is empty")
	}
	key, err := hkdf.Key(sha256.New, fleetKey, nil, sessionPurpose, sha256.Size)
	if err != nil {
		return nil, fmt.Errorf("console: derive the key of sessions: %w", err)
	}
	return &sessions{key}, nil
}

// mac is a keyed hash for one use.
func (s *sessions) mac(use, text string) string {
	h := hmac.New(sha256.New, s.key)
	h.Write([]byte(use + "\x00" + text))
	return hex.EncodeToString(h.Sum(nil))
}

// open makes a session value for a caller.
func (s *sessions) open(caller *document.Caller, now time.Time) string {
	payload := strconv.FormatInt(now.Add(sessionTime).Unix(), 10) + "." + s.mac("caller", caller.TokenSHA256)
	return payload + "." + s.mac("session", payload)
}

// check finds the operator of a session value; nil when it is not good now.
func (s *sessions) check(value string, v *view.View, now time.Time) *document.Caller {
	end := strings.LastIndexByte(value, '.')
	if end < 0 || !hmac.Equal([]byte(value[end+1:]), []byte(s.mac("session", value[:end]))) {
		return nil
	}
	until, id, _ := strings.Cut(value[:end], ".")
	seconds, err := strconv.ParseInt(until, 10, 64)
	if err != nil || now.Unix() >= seconds {
		return nil
	}
	for i := range v.Document.Callers {
		caller := &v.Document.Callers[i]
		if caller.Operator && hmac.Equal([]byte(id), []byte(s.mac("caller", caller.TokenSHA256))) {
			return caller
		}
	}
	return nil
}

// noDocument is the answer while nobody can be known as an operator.
func noDocument() *Error {
	return &Error{Status: http.StatusServiceUnavailable, Title: "No configuration yet", Detail: "This instance has no configuration yet, which would name its operators. The first document of a site is saved with fuchsiactl config apply."}
}

// signedIn lets only operators with a session through. It comes before the
// body is read.
func (c *Console) signedIn(next echo.HandlerFunc) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		v := c.config.Views.View()
		if v == nil {
			return noDocument()
		}
		cookie, err := ctx.Cookie(c.cookieName("session"))
		if err == nil {
			if caller := c.sessions.check(cookie.Value, v, c.config.Now()); caller != nil {
				ctx.Set(operatorContext, caller.Name)
				return next(ctx)
			}
		}
		if ctx.Request().Method == http.MethodGet {
			return ctx.Redirect(http.StatusSeeOther, pathLogin+"?next="+url.QueryEscape(ctx.Request().URL.Path))
		}
		return &Error{Status: http.StatusUnauthorized, Title: "Not logged in", Detail: "Your session has ended. Nothing was changed. To keep what you entered, log in in another tab, then load this page again and let the browser send the form once more."}
	}
}

// loginPage is the content of the login page.
type loginPage struct {
	Next  string
	Error string
}

// nextPath is where to go after the login: a page of the console.
func nextPath(s string) string {
	if !strings.HasPrefix(s, Root) {
		return Root
	}
	return s
}

// getLogin shows the login form.
func (c *Console) getLogin(ctx echo.Context) error {
	return c.render(ctx, http.StatusOK, "login", "Log in", loginPage{Next: nextPath(ctx.QueryParam("next"))})
}

// postLogin opens a session for an operator's token. A wrong token and one of
// a caller who is no operator look alike.
func (c *Console) postLogin(ctx echo.Context) error {
	v := c.config.Views.View()
	if v == nil {
		return noDocument()
	}
	next := nextPath(ctx.FormValue("next"))
	caller, err := server.Authenticate(v, "Bearer "+strings.TrimSpace(ctx.FormValue("token")))
	if err != nil || !caller.Operator {
		c.config.Log.Info("login refused")
		return c.render(ctx, http.StatusUnauthorized, "login", "Log in", loginPage{Next: next, Error: "No operator has this token."})
	}
	now := c.config.Now()
	ctx.SetCookie(c.sessionCookie(c.sessions.open(caller, now), now.Add(sessionTime)))
	c.config.Log.Info("operator logged in", "operator", caller.Name)
	return ctx.Redirect(http.StatusSeeOther, next)
}

// postLogout ends the session in this browser.
func (c *Console) postLogout(ctx echo.Context) error {
	ctx.SetCookie(c.sessionCookie("", time.Unix(1, 0)))
	return ctx.Redirect(http.StatusSeeOther, pathLogin)
}

// sessionCookie holds a session value.
func (c *Console) sessionCookie(value string, end time.Time) *http.Cookie {
	return &http.Cookie{
		Name: c.cookieName("session"), Value: value, Path: "/", Expires: end,
		HttpOnly: true, Secure: c.config.Secure, SameSite: http.SameSiteStrictMode,
	}
}
