package server

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Authenticate returns the caller that a bearer token belongs to, or an *Error with status
// 401. The token is hashed before the lookup, and the hash is compared in constant time, so
// that response times reveal nothing about a token.
func Authenticate(v *view.View, authorization string) (*document.Caller, error) {
	token, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || token == "" {
		return nil, unauthorized()
	}
	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])
	caller, ok := v.Callers[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(caller.TokenSHA256), []byte(hash)) != 1 {
		return nil, unauthorized()
	}
	return caller, nil
}

// unauthorized returns the refusal of a missing or unknown token.
func unauthorized() *Error {
	return &Error{Status: http.StatusUnauthorized, Code: "unauthorized", Title: "No such caller", Field: echo.HeaderAuthorization, Detail: "want a known bearer token"}
}

// authorize returns the service if the caller may use it. A service that the caller may not
// use is reported in the same way as one that does not exist.
func authorize(v *view.View, caller *document.Caller, name string) (*view.Service, error) {
	svc, ok := v.Services[name]
	if !ok || !slices.Contains(caller.Services, name) {
		return nil, &Error{Status: http.StatusNotFound, Code: "no-service", Title: "No such service", Field: "service", Detail: "no service of this name for this caller"}
	}
	return svc, nil
}
