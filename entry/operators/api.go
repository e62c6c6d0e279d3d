package operators

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/peerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/entry/ingress"
	"github.com/fuchsiaroad/fuchsiaroad/entry/server"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/quarantine"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/view"
)

// Query parameters of the API.
const (
	ParamIfVersion   = "if_version" // PUT PathConfig
	ParamFingerprint = "fp"         // DELETE PathQuarantine; absent means all
)

// noDocumentRetry is when to come back to an instance without a document.
const noDocumentRetry = 500 * time.Millisecond

// Config is what the API needs.
type Config struct {
	Control    Control
	Quarantine Quarantine
	Views      Views
	// FirstToken allows to save the first document, while there is none that
	// could name an operator. It is the platform's token: who has it can write
	// to the store anyway. Empty allows nobody.
	FirstToken string
}

// API is the operators' HTTP API.
type API struct{ config Config }

// New makes the API.
func New(c Config) *API { return &API{c} }

// Register adds the API's routes.
func (a *API) Register(e *echo.Echo) {
	e.GET(callerapi.PathConfig, a.operator(a.getConfig), answerProblems)
	e.PUT(callerapi.PathConfig, a.putConfig, answerProblems)
	e.GET(callerapi.PathConfigStatus, a.operator(a.getStatus), answerProblems)
	e.GET(callerapi.PathInstances, a.operator(a.getInstances), answerProblems)
	e.GET(callerapi.PathQuarantine, a.operator(a.getQuarantine), answerProblems)
	e.DELETE(callerapi.PathQuarantine, a.operator(a.deleteQuarantine), answerProblems)
}

// operator lets only operators through.
func (a *API) operator(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if err := Authorize(a.config.Views.View(), c.Request().Header.Get(echo.HeaderAuthorization)); err != nil {
			return err
		}
		return next(c)
	}
}

// Authorize checks that an Authorization header is that of an operator.
func Authorize(v *view.View, authorization string) error {
	if v == nil {
		return &Error{Status: http.StatusServiceUnavailable, Code: "no-document", Title: "No configuration yet", Detail: "this instance has no configuration yet, which would name its operators", RetryAfter: noDocumentRetry}
	}
	caller, err := server.Authenticate(v, authorization)
	if err != nil {
		return asError(err)
	}
	if !caller.Operator {
		return &Error{Status: http.StatusForbidden, Code: "not-operator", Title: "Operators only", Field: echo.HeaderAuthorization, Detail: "this caller is not an operator"}
	}
	return nil
}

// mayCreate checks the token that may save the first document.
func (a *API) mayCreate(authorization string) bool {
	token, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || a.config.FirstToken == "" {
		return false
	}
	given, want := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(a.config.FirstToken))
	return subtle.ConstantTimeCompare(given[:], want[:]) == 1
}

// getConfig answers GET /v1/config.
func (a *API) getConfig(c echo.Context) error {
	v, ok := a.config.Control.Current()
	if !ok {
		return Authorize(nil, "")
	}
	return c.JSON(http.StatusOK, callerapi.ConfigState{Generation: v.Generation, Hash: v.Hash, Document: string(v.TOML)})
}

// putConfig answers PUT /v1/config?if_version=N.
func (a *API) putConfig(c echo.Context) error {
	ifVersion, err := parseVersion(c.QueryParams()[ParamIfVersion])
	if err != nil {
		return err
	}
	v, authorization := a.config.Views.View(), c.Request().Header.Get(echo.HeaderAuthorization)
	first := v == nil && ifVersion == 0 && a.mayCreate(authorization)
	if !first {
		if err := Authorize(v, authorization); err != nil {
			return err
		}
	}
	body, err := readDocument(c)
	if err != nil {
		return err
	}
	return writeResult(c, Save(c.Request().Context(), a.config.Control, body, ifVersion))
}

// parseVersion reads the version that a save replaces. It has no default: a
// save that names none could undo another operator's.
func parseVersion(values []string) (uint64, error) {
	if len(values) != 1 {
		return 0, badRequest(ParamIfVersion, "given %d times, want once: the generation that the document was made from, or 0 for the first", len(values))
	}
	n, err := strconv.ParseUint(values[0], 10, 64)
	if err != nil {
		return 0, badRequest(ParamIfVersion, "%q is not a generation", values[0])
	}
	return n, nil
}

// readDocument takes the body, up to the largest document.
func readDocument(c echo.Context) ([]byte, error) {
	body, err := ingress.ReadBody(c.Request(), codec.MaxBytes)
	if err != nil {
		return nil, asError(server.BodyError(err))
	}
	return body, nil
}

// getStatus answers GET /v1/config/status.
func (a *API) getStatus(c echo.Context) error {
	status := a.config.Control.ConfigStatus()
	if status.Instances == nil {
		status.Instances = []callerapi.InstanceConfig{}
	}
	return c.JSON(http.StatusOK, status)
}

// getInstances answers GET /v1/instances.
func (a *API) getInstances(c echo.Context) error {
	list := a.config.Control.Instances()
	if list == nil {
		list = []platformapi.Instance{}
	}
	return c.JSON(http.StatusOK, platformapi.Instances{Instances: list})
}

// QuarantineList is the answer of GET /v1/quarantine: the suspects, with one
// crash, and what is in quarantine, with two.
type QuarantineList struct {
	Quarantine []peerapi.QuarantineRecord `json:"quarantine"`
}

// getQuarantine answers GET /v1/quarantine.
func (a *API) getQuarantine(c echo.Context) error {
	return c.JSON(http.StatusOK, QuarantineList{Quarantined(a.config.Quarantine)})
}

// Quarantined lists what is under suspicion or in quarantine. The records of
// the executor, which peers merge, also tell of fingerprints that were cleared,
// and count phases where operators count crashes.
func Quarantined(from Quarantine) []peerapi.QuarantineRecord {
	out := []peerapi.QuarantineRecord{}
	for _, q := range from.Quarantine() {
		phase := quarantine.Record{Level: q.Level}.Phase()
		if phase == quarantine.PhaseClear {
			continue
		}
		q.Level = int(phase)
		out = append(out, q)
	}
	return out
}

// deleteQuarantine answers DELETE /v1/quarantine, for one fingerprint or all.
func (a *API) deleteQuarantine(c echo.Context) error {
	if fingerprints, ok := c.QueryParams()[ParamFingerprint]; ok {
		if len(fingerprints) != 1 || fingerprints[0] == "" {
			return badRequest(ParamFingerprint, "want one fingerprint, or leave it out for all")
		}
		a.config.Quarantine.LiftQuarantine(fingerprints[0])
		return c.NoContent(http.StatusNoContent)
	}
	for _, q := range Quarantined(a.config.Quarantine) {
		a.config.Quarantine.LiftQuarantine(q.Fingerprint)
	}
	return c.NoContent(http.StatusNoContent)
}
