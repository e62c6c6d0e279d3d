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

// Authenticate finds the caller of a bearer token. The token is hashed before
// it is looked up, and the hash compared in constant time, so that the time
// taken says nothing of any token.
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

func unauthorized() *Error {
	return &Error{Status: http.StatusUnauthorized, Code: "unauthorized", Title: "No such caller", Field: echo.HeaderAuthorization, Detail: "want a known bearer token"}
}

// authorize finds the service, if the caller may use it. A service of someone
// else looks like one that does not exist.
func authorize(v *view.View, caller *document.Caller, name string) (*view.Service, error) {
	svc, ok := v.Services[name]
	if !ok || !slices.Contains(caller.Services, name) {
		return nil, &Error{Status: http.StatusNotFound, Code: "no-service", Title: "No such service", Field: "service", Detail: "no service of this name for this caller"}
	}
	return svc, nil
}
