package console

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/config/codec"
	"github.com/fuchsiaroad/fuchsiaroad/config/fault"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// behindRetry is when to send a form again that an instance is behind of.
const behindRetry = time.Second

// submission is one form as it was sent.
type submission struct {
	resource resource
	name     string // empty for a new item
	removal  bool
	action   string
	opened   uint64 // the version that the form was opened with
	values   url.Values
}

// change applies the submission to a document.
func (s *submission) change(doc *document.Document) (edit, fieldFaults) {
	if s.removal {
		return edit{doc: s.resource.remove(doc, s.name), prefix: noPrefix}, fieldFaults{}
	}
	in := newInput(s.values)
	return s.resource.put(doc, s.name, in), in.faults
}

// noPrefix is a prefix that no path has: all faults are general.
const noPrefix = "-"

// page shows the submission's input over a document.
func (s *submission) page(doc *document.Document) *formPage {
	p := &formPage{Kind: s.resource.kind(), Name: s.name, Removal: s.removal, Action: s.action, IfVersion: s.opened}
	if !s.removal {
		p.Groups = s.resource.groups(doc, s.values, s.name)
	}
	return p
}

// title is the title of a form's page.
func (s *submission) title() string {
	switch {
	case s.removal:
		return fmt.Sprintf("Remove %s %s", s.resource.kind(), s.name)
	case s.resource.kind() == kindSite:
		return "Site"
	case s.name == "":
		return "New " + s.resource.kind()
	}
	return fmt.Sprintf("Edit %s %s", s.resource.kind(), s.name)
}

// open starts a form at the version in force.
func (c *Console) open(ctx echo.Context, r resource, removal bool) (*submission, operators.Version, error) {
	v, err := c.current()
	if err != nil {
		return nil, v, err
	}
	s := &submission{resource: r, name: ctx.Param("name"), removal: removal, action: ctx.Request().URL.EscapedPath(), opened: v.Base}
	values, ok := r.values(v.Document, s.name)
	if !ok {
		return nil, v, &Error{Status: http.StatusNotFound, Title: "Not found", Detail: fmt.Sprintf("There is no %s of this name in generation %d.", r.kind(), v.Generation)}
	}
	s.values = values
	return s, v, nil
}

// getForm shows a form.
func (c *Console) getForm(r resource) echo.HandlerFunc { return c.show(r, false) }

// getRemoval asks whether to remove an item.
func (c *Console) getRemoval(r resource) echo.HandlerFunc { return c.show(r, true) }

// show answers with the form, or with the question whether to remove.
func (c *Console) show(r resource, removal bool) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		s, v, err := c.open(ctx, r, removal)
		if err != nil {
			return err
		}
		return c.render(ctx, http.StatusOK, "form", s.title(), s.page(v.Document))
	}
}

// postForm saves a form.
func (c *Console) postForm(r resource) echo.HandlerFunc { return c.take(r, false) }

// postRemoval removes an item.
func (c *Console) postRemoval(r resource) echo.HandlerFunc { return c.take(r, true) }

// take saves what was sent.
func (c *Console) take(r resource, removal bool) echo.HandlerFunc {
	return func(ctx echo.Context) error {
		v, err := c.current()
		if err != nil {
			return err
		}
		s, err := received(ctx, r, removal)
		if err != nil {
			return err
		}
		return c.save(ctx, s, v)
	}
}

// received reads what was sent.
func received(ctx echo.Context, r resource, removal bool) (*submission, error) {
	values, err := ctx.FormParams()
	if err != nil {
		return nil, &Error{Status: http.StatusBadRequest, Title: "Unreadable form", Detail: "The form could not be read whole. Nothing was changed."}
	}
	opened, err := strconv.ParseUint(values.Get(fieldIfVersion), 10, 64)
	if err != nil {
		return nil, &Error{Status: http.StatusBadRequest, Title: "Unreadable form", Detail: "The form does not say with which version it was opened. Nothing was changed."}
	}
	return &submission{resource: r, name: ctx.Param("name"), removal: removal, action: ctx.Request().URL.EscapedPath(), opened: opened, values: values}, nil
}

// save makes the whole document of a submission and saves it on condition of
// the version that the form was opened with.
func (c *Console) save(ctx echo.Context, s *submission, v operators.Version) error {
	if s.opened < v.Base {
		return c.conflict(ctx, s, operators.SaveResult{Outcome: operators.Outcome{State: operators.Conflict, Current: &v}})
	}
	if s.opened > v.Base {
		why := fmt.Sprintf("this instance has generation %d and has not yet read generation %d, with which the form was opened; send the form again", v.Base, s.opened)
		return c.ended(ctx, s, v.Document, operators.SaveResult{Outcome: operators.Outcome{State: operators.Refused, Reason: why, RetryAfter: behindRetry}})
	}
	e, faults := s.change(v.Document)
	if general := e.assign(check(e.doc), faults); len(faults)+len(general) > 0 {
		return c.invalid(ctx, s, v.Document, faults, general)
	}
	result := operators.Save(ctx.Request().Context(), c.config.Control, codec.Format(e.doc), s.opened)
	c.config.Log.Info("document submitted", "kind", s.resource.kind(), "over", s.opened, "outcome", string(result.State), "generation", result.Generation)
	switch result.State {
	case operators.Accepted:
		return ctx.Redirect(http.StatusSeeOther, c.savedPath(result.Generation))
	case operators.Conflict:
		return c.conflict(ctx, s, result)
	case operators.Invalid:
		return c.invalid(ctx, s, v.Document, faults, e.assign(result.Faults, faults))
	case operators.Refused, operators.Unknown:
	}
	return c.ended(ctx, s, v.Document, result)
}

// check lists the faults of a document.
func check(doc *document.Document) []fault.Fault {
	err := codec.Validate(doc)
	var list *fault.List
	if errors.As(err, &list) {
		return list.Faults
	}
	return nil
}

// invalid shows the form again with the faults beside the fields.
func (c *Console) invalid(ctx echo.Context, s *submission, doc *document.Document, faults fieldFaults, general []generalFault) error {
	p := s.page(doc)
	p.showFaults(faults)
	p.General = general
	return c.render(ctx, http.StatusUnprocessableEntity, "form", s.title(), p)
}

// conflict shows the form again with the own input, opened with the version
// that it lost against, and what saving it now would change.
func (c *Console) conflict(ctx echo.Context, s *submission, r operators.SaveResult) error {
	current := r.Current
	if current == nil || current.Document == nil {
		v, err := c.current()
		if err != nil {
			return err
		}
		return c.ended(ctx, s, v.Document, r)
	}
	e, faults := s.change(current.Document)
	r.Diff = codec.Diff(current.Document, e.doc)
	s.opened = current.Stored()
	p := s.page(current.Document)
	p.showFaults(faults)
	p.Diff, p.DiffOver = r.Diff, current.Generation
	p.Notice = noticeOf(r)
	return c.render(ctx, http.StatusConflict, "form", s.title(), p)
}

// ended shows the form again with the own input and the outcome.
func (c *Console) ended(ctx echo.Context, s *submission, doc *document.Document, r operators.SaveResult) error {
	p := s.page(doc)
	p.Notice = noticeOf(r)
	if r.RetryAfter > 0 {
		seconds := math.Ceil(r.RetryAfter.Seconds())
		ctx.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	return c.render(ctx, statusOf(r.State), "form", s.title(), p)
}

// statusOf is the HTTP status of a page that tells an outcome.
func statusOf(s operators.State) int {
	status, _ := operators.StatusOf(s)
	return status
}

// noticeOf tells an outcome.
func noticeOf(r operators.SaveResult) *notice {
	_, title := operators.StatusOf(r.State)
	return &notice{State: string(r.State), Title: title, Text: operators.Explain(r)}
}
