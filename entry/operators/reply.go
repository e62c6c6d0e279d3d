package operators

import (
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/config/fault"
)

// SaveReply is the body of every answered PUT /v1/config. When the save was
// not accepted it is a problem detail that tells more.
type SaveReply struct {
	callerapi.Problem
	// State is accepted, conflict, refused, unknown or invalid.
	State State `json:"state"`
	// Generation is the save's own when accepted, and the one it lost against in
	// a conflict; 0 when it is not known.
	Generation uint64 `json:"generation,omitempty"`
	// Hash is that of the submitted document.
	Hash   string  `json:"hash,omitempty"`
	Diff   string  `json:"diff,omitempty"`
	Faults []Fault `json:"faults,omitempty"`
}

// Fault is one thing wrong with a document.
type Fault struct {
	Path   string `json:"path,omitempty"`
	Line   int    `json:"line,omitempty"`
	Column int    `json:"column,omitempty"`
	Reason string `json:"reason"`
}

// writeResult answers a save.
func writeResult(c echo.Context, r SaveResult) error {
	reply := replyOf(r)
	if r.State == Accepted {
		return c.JSON(http.StatusOK, reply)
	}
	return writeReply(c, reply.Status, reply.RetryAfterMS, reply)
}

// replyOf states a result for the wire.
func replyOf(r SaveResult) SaveReply {
	reply := SaveReply{State: r.State, Generation: r.Generation, Hash: r.Hash, Diff: r.Diff, Faults: faultsForWire(r.Faults)}
	reply.Status, reply.Title = StatusOf(r.State)
	reply.Type = problemType + "save-" + string(r.State)
	reply.Detail = Explain(r)
	reply.RetryAfterMS = r.RetryAfter.Milliseconds()
	if r.State == Conflict && r.Current != nil {
		reply.Generation = r.Current.Stored()
	}
	if len(r.Faults) > 0 {
		reply.Field = r.Faults[0].Path
	}
	return reply
}

// StatusOf is the HTTP status and title of a state.
func StatusOf(s State) (int, string) {
	switch s {
	case Accepted:
		return http.StatusOK, "The document was saved"
	case Conflict:
		return http.StatusConflict, "Another version was saved meanwhile"
	case Invalid:
		return http.StatusUnprocessableEntity, "The document is not valid"
	case Refused:
		return http.StatusServiceUnavailable, "The document was not saved"
	case Unknown:
	}
	return http.StatusGatewayTimeout, "It is not known whether the document was saved"
}

// Explain says in words what became of a save and what to do next.
func Explain(r SaveResult) string {
	switch r.State {
	case Accepted:
		return fmt.Sprintf("generation %d comes into force at every instance; the status shows where it is", r.Generation)
	case Conflict:
		return explainConflict(r)
	case Invalid:
		return "nothing was changed; correct the faults and save again"
	case Refused:
		return "nothing was changed: " + reason(r, "the store did not take it")
	case Unknown:
	}
	return "it may have been saved, or may be yet: " + reason(r, "the store's reply was lost") +
		"; look at the configuration in force before saving again: if its hash is " + r.Hash +
		" it was saved, and saving again from the version named is harmless, since only one of the two can take effect"
}

// explainConflict says against what a save lost.
func explainConflict(r SaveResult) string {
	switch {
	case r.Current == nil:
		return "nothing was changed: a newer version is stored, which can't be read yet; read it and save again"
	case r.Current.Document == nil || r.Current.Fault != "":
		return fmt.Sprintf("nothing was changed: generation %d was stored meanwhile and is not a valid document (%s); save over that generation to replace it", r.Current.Stored(), r.Current.Fault)
	case r.Diff == "":
		return fmt.Sprintf("generation %d, stored meanwhile, says the same as this document: nothing is left to save", r.Current.Generation)
	}
	return fmt.Sprintf("nothing was changed: generation %d was stored meanwhile; bring your change into it and save again", r.Current.Generation)
}

// reason is the outcome's reason, or a general one.
func reason(r SaveResult, general string) string {
	if r.Reason != "" {
		return r.Reason
	}
	return general
}

// faultsForWire converts faults.
func faultsForWire(in []fault.Fault) []Fault {
	out := make([]Fault, 0, len(in))
	for _, f := range in {
		out = append(out, Fault{Path: f.Path, Line: f.Line, Column: f.Column, Reason: f.Reason})
	}
	return out
}
