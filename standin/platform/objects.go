package platform

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/standin/internal/control"
)

// The store of the users' platform keeps the same objects under other paths and
// in other words; faults and counts apply to both. A value is the JSON of an
// object's spec.

// pathHosted is where the users' platform keeps its objects.
const pathHosted = "/objects"

// hostedPage is the most objects of one answer.
const hostedPage = 500

// hostedMeta is what the users' platform says of an object.
type hostedMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// hostedObject is an object in the words of the users' platform.
type hostedObject struct {
	Meta hostedMeta      `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// hostedList is a page of a kind.
type hostedList struct {
	Items []hostedObject `json:"items"`
	More  bool           `json:"has-more"`
	AsOf  uint64         `json:"as-of"`
}

// hostedOf converts an object.
func hostedOf(o platformapi.Object) hostedObject {
	return hostedObject{Meta: hostedMeta{Name: o.Name, Revision: o.Version, Finalizers: []string{}}, Spec: o.Value}
}

// hostedRoutes adds the paths of the users' platform.
func (s *Server) hostedRoutes(e *echo.Echo) {
	object := pathHosted + "/:kind/:name"
	e.GET(pathHosted+"/:kind", s.call(KindList, s.hostedList))
	e.GET(object, s.call(KindGet, s.hostedGet))
	e.POST(pathHosted+"/:kind", s.call(KindPut, s.hostedCreate))
	e.PUT(object, s.call(KindPut, s.hostedReplace))
	e.DELETE(object, s.call(KindDelete, s.hostedRemove))
}

func (s *Server) hostedList(c echo.Context) error {
	s.mu.Lock()
	list := s.seen(clientOf(c.Request())).list(c.Param("kind"))
	s.stampEra(c)
	s.mu.Unlock()
	out := hostedList{Items: []hostedObject{}, AsOf: list.Revision}
	for _, o := range list.Objects {
		if o.Name <= c.QueryParam("after") {
			continue
		}
		if len(out.Items) == hostedPage {
			out.More = true
			break
		}
		out.Items = append(out.Items, hostedOf(o))
	}
	return s.reply(c, http.StatusOK, out)
}

func (s *Server) hostedGet(c echo.Context) error {
	s.mu.Lock()
	object, found := s.seen(clientOf(c.Request())).get(c.Param("kind"), c.Param("name"))
	s.stampEra(c)
	s.mu.Unlock()
	if !found {
		return s.reply(c, http.StatusNotFound, struct{}{})
	}
	return s.reply(c, http.StatusOK, hostedOf(object))
}

func (s *Server) hostedCreate(c echo.Context) error {
	var o hostedObject
	if err := json.NewDecoder(c.Request().Body).Decode(&o); err != nil {
		return control.BadRequest(c, &FieldError{Field: "body", Reason: "is not an object: " + err.Error()})
	}
	return s.hostedWrite(c, o.Meta.Name, o, 0)
}

func (s *Server) hostedReplace(c echo.Context) error {
	var o hostedObject
	if err := json.NewDecoder(c.Request().Body).Decode(&o); err != nil {
		return control.BadRequest(c, &FieldError{Field: "body", Reason: "is not an object: " + err.Error()})
	}
	now, found := s.Object(c.Param("kind"), c.Param("name"))
	if !found {
		return s.reply(c, http.StatusNotFound, struct{}{})
	}
	version := now.Version
	if o.Meta.Revision != 0 {
		version = o.Meta.Revision
	}
	return s.hostedWrite(c, c.Param("name"), o, version)
}

// hostedWrite writes a spec if the object's revision is still the one named.
func (s *Server) hostedWrite(c echo.Context, name string, o hostedObject, revision uint64) error {
	s.mu.Lock()
	object, written := s.store.put(c.Param("kind"), name, o.Spec, revision)
	s.endWrite(written)
	s.stampEra(c)
	s.mu.Unlock()
	if !written {
		return s.reply(c, http.StatusConflict, hostedOf(object))
	}
	s.maybeLose()
	return s.reply(c, http.StatusOK, hostedOf(object))
}

func (s *Server) hostedRemove(c echo.Context) error {
	now, found := s.Object(c.Param("kind"), c.Param("name"))
	if !found {
		return s.reply(c, http.StatusNotFound, struct{}{})
	}
	version := now.Version
	if text := c.QueryParam("revision"); text != "" {
		var err error
		if version, err = strconv.ParseUint(text, 10, 64); err != nil {
			return control.BadRequest(c, &FieldError{Field: "revision", Reason: "is no number"})
		}
	}
	s.mu.Lock()
	object, removed := s.store.remove(c.Param("kind"), c.Param("name"), version)
	s.endWrite(removed)
	s.stampEra(c)
	s.mu.Unlock()
	if !removed {
		return s.reply(c, http.StatusConflict, hostedOf(object))
	}
	s.maybeLose()
	return s.reply(c, http.StatusOK, struct{}{})
}

// Set writes an object whatever its version is, without the faults, as the
// platform's operators and leaves do. It is for tests.
func (s *Server) Set(kind, name string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, _ := s.store.get(kind, name)
	o, _ := s.store.put(kind, name, value, now.Version)
	s.wake()
	return o.Version
}

// Refresh replaces an object's value and keeps its revision, as a leaf's heartbeat does that changes
// nothing else. It does nothing if there is no such object.
func (s *Server) Refresh(kind, name string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.refresh(kind, name, value)
}

// Unset removes an object without the faults. It is for tests.
func (s *Server) Unset(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, _ := s.store.get(kind, name)
	s.store.remove(kind, name, now.Version)
	s.wake()
}
