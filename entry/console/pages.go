package console

import (
	"bytes"
	"crypto/hmac"
	"fmt"
	"html/template"
	"io/fs"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/fuchsiaroad/fuchsiaroad/api/callerapi"
	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
	"github.com/fuchsiaroad/fuchsiaroad/entry/operators"
	"github.com/fuchsiaroad/fuchsiaroad/kernel/document"
)

// Paths of the embedded files.
const (
	layoutFile  = "templates/layout.html"
	styleFile   = "templates/style.css"
	pagePattern = "templates/page_%s.html"
)

// pageNames are the pages, each a file of its own.
var pageNames = []string{"document", "error", "form", "login", "overview", "quarantine", "status"}

// pages holds the parsed templates.
type pages struct {
	byName map[string]*template.Template
	style  []byte
}

// newPages parses the templates.
func newPages(fsys fs.FS) (*pages, error) {
	p := &pages{byName: map[string]*template.Template{}}
	for _, name := range pageNames {
		t, err := template.ParseFS(fsys, layoutFile, fmt.Sprintf(pagePattern, name))
		if err != nil {
			return nil, fmt.Errorf("console: page %s: %w", name, err)
		}
		p.byName[name] = t
	}
	var err error
	p.style, err = fs.ReadFile(fsys, styleFile)
	return p, err
}

// page is what every page shows around its content.
type page struct {
	Title    string
	Operator string // empty when nobody is logged in
	CSRF     string
	// Generation in force at this instance; 0 for none.
	Generation uint64
	// Fault says why the store's newest version can't be in force; usually empty.
	Fault   string
	Stored  uint64 // the generation of that version
	Content any
}

// render writes a page. It is built whole before the first byte is sent.
func (c *Console) render(ctx echo.Context, status int, name, title string, content any) error {
	p := page{Title: title, Content: content}
	p.Operator, _ = ctx.Get(operatorContext).(string)
	p.CSRF, _ = ctx.Get(csrfContext).(string)
	if v, ok := c.config.Control.Current(); ok {
		p.Generation, p.Fault, p.Stored = v.Generation, v.Fault, v.Base
	}
	var b bytes.Buffer
	if err := c.pages.byName[name].ExecuteTemplate(&b, "layout", p); err != nil {
		return fmt.Errorf("console: page %s: %w", name, err)
	}
	return ctx.HTMLBlob(status, b.Bytes())
}

// getStyle serves the style sheet.
func (c *Console) getStyle(ctx echo.Context) error {
	return ctx.Blob(http.StatusOK, "text/css; charset=utf-8", c.pages.style)
}

// current is the version in force, or the error that there is none.
func (c *Console) current() (operators.Version, error) {
	v, ok := c.config.Control.Current()
	if !ok {
		return v, noDocument()
	}
	return v, nil
}

// overviewPage lists the resources of the document.
type overviewPage struct {
	Hash      string
	Site      string
	Upstreams []upstreamLine
	Services  []document.Service
	Callers   []document.Caller
	Routes    []document.Route
}

// upstreamLine is one upstream in a few numbers.
type upstreamLine struct {
	document.Upstream
	Leaves int
}

// getOverview shows what there is, each with its form.
func (c *Console) getOverview(ctx echo.Context) error {
	v, err := c.current()
	if err != nil {
		return err
	}
	o := overviewPage{Hash: v.Hash, Site: v.Document.Site, Services: v.Document.Services, Callers: v.Document.Callers, Routes: v.Document.Routes}
	for _, u := range v.Document.Upstreams {
		o.Upstreams = append(o.Upstreams, upstreamLine{u, countLeaves(&u)})
	}
	return c.render(ctx, http.StatusOK, "overview", "Configuration", o)
}

// countLeaves counts an upstream's leaves; one may serve several shards.
func countLeaves(u *document.Upstream) int {
	seen := map[string]bool{}
	for _, s := range u.Shards {
		for _, l := range s.Leaves {
			seen[l.ID] = true
		}
	}
	return len(seen)
}

// documentPage shows the text in force.
type documentPage struct{ Hash, Text string }

// getDocument shows the whole document.
func (c *Console) getDocument(ctx echo.Context) error {
	v, err := c.current()
	if err != nil {
		return err
	}
	return c.render(ctx, http.StatusOK, "document", "Document in force", documentPage{v.Hash, string(v.TOML)})
}

// statusPage shows the generation in force per instance.
type statusPage struct {
	Saved     uint64 // the generation that was just saved; 0 for none
	Refresh   string // the path of this page
	At, Of    int    // instances that have Saved or a later one, of all
	Highest   uint64
	Instances []statusLine
}

// statusLine is one instance.
type statusLine struct {
	Instance string
	Alive    bool
	State    callerapi.InstanceConfig
	Behind   bool
	Age      time.Duration
}

// Query parameters of the status page after a save. The proof keeps a link made
// elsewhere from telling of a save that never was.
const (
	paramSaved = "saved"
	paramProof = "proof"
)

// savedPath is the status page that tells of a save.
func (c *Console) savedPath(generation uint64) string {
	saved := strconv.FormatUint(generation, 10)
	return pathStatus + "?" + url.Values{paramSaved: {saved}, paramProof: {c.sessions.mac(paramSaved, saved)}}.Encode()
}

// saved is the generation of the save that the page tells of; 0 for none.
func (c *Console) saved(ctx echo.Context) uint64 {
	saved := ctx.QueryParam(paramSaved)
	if !hmac.Equal([]byte(ctx.QueryParam(paramProof)), []byte(c.sessions.mac(paramSaved, saved))) {
		return 0
	}
	generation, err := strconv.ParseUint(saved, 10, 64)
	if err != nil {
		return 0
	}
	return generation
}

// getStatus shows where which generation is in force.
func (c *Console) getStatus(ctx echo.Context) error {
	s := newStatusPage(c.config.Control.ConfigStatus(), c.config.Control.Instances())
	s.Refresh = pathStatus
	if s.Saved = c.saved(ctx); s.Saved > 0 {
		s.Refresh = c.savedPath(s.Saved)
	}
	for _, i := range s.Instances {
		if i.Alive && i.State.Generation >= s.Saved {
			s.At++
		}
	}
	s.Of = len(s.Instances)
	return c.render(ctx, http.StatusOK, "status", "Generation in force", s)
}

// newStatusPage lists the instances that answered, then the entries of the
// platform's list that were not.
func newStatusPage(status callerapi.ConfigStatus, list []platformapi.Instance) statusPage {
	s := statusPage{Highest: status.Highest}
	alive := map[string]bool{}
	for _, i := range status.Instances {
		alive[i.Instance] = true
		s.Instances = append(s.Instances, statusLine{
			Instance: i.Instance, Alive: true, State: i, Behind: i.Generation < status.Highest,
			Age: time.Duration(i.AgeMS) * time.Millisecond,
		})
	}
	for _, i := range list {
		if i.Role == platformapi.RoleEntry && !alive[i.ID] {
			s.Instances = append(s.Instances, statusLine{Instance: i.ID})
		}
	}
	return s
}
