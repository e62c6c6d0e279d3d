package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/cmd/internal/entryclient"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators"
)

// saveConfig sends a document. A reply of any state is no error; the errors are
// those of package entryclient.
func (o *options) saveConfig(ctx context.Context, text []byte, ifVersion uint64) (*operators.SaveReply, error) {
	path := fmt.Sprintf("%s?%s=%d", callerapi.PathConfig, operators.ParamIfVersion, ifVersion)
	reply := &operators.SaveReply{}
	if err := o.exchange(ctx, http.MethodPut, path, text, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// exchange asks the entry as an operator and reads its JSON answer.
func (o *options) exchange(ctx context.Context, method, path string, body []byte, into any) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	reply, err := client.Exchange(ctx, method, path, o.token, nil, body)
	if err != nil {
		return err
	}
	return readAnswer(client.Base(), reply.Status, reply.Body, into)
}

// errNoState marks an answer to a save that does not tell its state.
var errNoState = errors.New("the answer tells no state")

// readAnswer decodes an answer. A save's reply comes with any status.
func readAnswer(base string, status int, answer []byte, into any) error {
	err := json.Unmarshal(answer, into)
	reply, isSave := into.(*operators.SaveReply)
	switch {
	case err == nil && isSave && reply.State != "":
		return nil
	case status >= http.StatusBadRequest:
		return problemError(base, status, answer, isSave)
	case err != nil:
		return &entryclient.BrokenError{Entry: base, Err: err}
	case isSave:
		return &entryclient.BrokenError{Entry: base, Err: errNoState}
	}
	return nil
}

// Types of problem details.
const (
	ownProblems     = "urn:fuchsiaroad:problem:"
	internalProblem = ownProblems + "internal"
)

// problemError is the error of a refusal. A save that something between here
// and the entry gave up on, or in which the entry failed, may have run.
func problemError(base string, status int, answer []byte, isSave bool) error {
	problem := callerapi.Problem{Title: http.StatusText(status)}
	_ = json.Unmarshal(answer, &problem) // without one, the status says it all
	problem.Status = status
	refused := &entryclient.ProblemError{Entry: base, Problem: problem}
	proved := strings.HasPrefix(problem.Type, ownProblems) && problem.Type != internalProblem
	if isSave && status >= http.StatusInternalServerError && !proved {
		// The refusal's own type would say that nothing ran.
		return &entryclient.BrokenError{Entry: base, Err: errors.New(refused.Error())}
	}
	return refused
}
