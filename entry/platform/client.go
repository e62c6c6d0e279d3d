package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fuchsiaroad/fuchsiaroad/api/platformapi"
)

// HeaderInstance is the HTTP header that carries the id of the calling instance.
const HeaderInstance = "Fuchsiaroad-Instance"

// Defaults of Config.
const (
	DefaultTimeout     = time.Second
	DefaultConcurrency = 16
)

// maxReplyBytes bounds the body of a reply: base64 makes a value a third larger,
// and a list holds many objects.
const maxReplyBytes = 64 << 20

// maxReplyHeadBytes bounds the head of a reply.
const maxReplyHeadBytes = 64 << 10

// watchGrace is how long a watch may take beyond its requested wait.
const watchGrace = 2 * time.Second

// errNoVersion is the cause of an UnknownEffectError for a write whose reply has
// no version.
var errNoVersion = errors.New("reply has no version")

// Config configures a Client.
type Config struct {
	// URL is the platform's base address, for example http://10.0.0.1:7000.
	URL string
	// Token is sent as a bearer token; it is never logged.
	Token string
	// Instance is this instance's id.
	Instance string
	// Timeout bounds each call except a watch; 0 means DefaultTimeout.
	Timeout time.Duration
	// Concurrency bounds the concurrent calls, not counting watches; 0 means
	// DefaultConcurrency.
	Concurrency int
	// EraHeader is the header of the store's answers that numbers its eras; empty: there is none.
	EraHeader string
	// Meter counts calls; nil disables counting.
	Meter Meter
	// Transport replaces the HTTP transport, for tests.
	Transport http.RoundTripper
}

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	cfg   Config
	http  *http.Client
	slots chan struct{}
}

// New makes a client. It does no I/O.
func New(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, &ConfigError{Field: "url", Reason: "must be an http or https address"}
	}
	if cfg.Instance == "" {
		return nil, &ConfigError{Field: "instance", Reason: "must not be empty"}
	}
	if cfg.Timeout < 0 {
		return nil, &ConfigError{Field: "timeout", Reason: "must not be negative"}
	}
	if cfg.Concurrency < 0 {
		return nil, &ConfigError{Field: "concurrency", Reason: "must not be negative"}
	}
	cfg.URL = strings.TrimRight(cfg.URL, "/")
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.Concurrency == 0 {
		cfg.Concurrency = DefaultConcurrency
	}
	if cfg.Meter == nil {
		cfg.Meter = nopMeter{}
	}
	if cfg.Transport == nil {
		cfg.Transport = newTransport(cfg)
	}
	return &Client{
		cfg:   cfg,
		http:  &http.Client{Transport: cfg.Transport},
		slots: make(chan struct{}, cfg.Concurrency),
	}, nil
}

// newTransport returns a transport that keeps an idle connection for each of the
// concurrent calls.
func newTransport(cfg Config) *http.Transport {
	dialer := &net.Dialer{Timeout: cfg.Timeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: cfg.Concurrency + 2,
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: maxReplyHeadBytes,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads an object.
func (c *Client) Get(ctx context.Context, kind, name string) (platformapi.Object, error) {
	var obj platformapi.Object
	err := c.Do(ctx, Request{Call: CallGet, Method: http.MethodGet, Path: objectPath(kind, name), Kind: kind, Name: name}, &obj)
	return obj, err
}

// Put writes an object if its version is ifVersion, where 0 means absent, and
// returns the new version.
func (c *Client) Put(ctx context.Context, kind, name string, ifVersion uint64, value []byte) (uint64, error) {
	if len(value) > platformapi.MaxValue {
		return 0, &RejectedError{Call: CallPut, Status: http.StatusRequestEntityTooLarge, Detail: "value is larger than the platform takes"}
	}
	body, err := json.Marshal(platformapi.Object{Kind: kind, Name: name, Value: value})
	if err != nil {
		return 0, &UnavailableError{Call: CallPut, Err: err}
	}
	var obj platformapi.Object
	err = c.Do(ctx, Request{
		Call: CallPut, Method: http.MethodPut, Path: objectPath(kind, name) + ifVersionQuery(ifVersion),
		Kind: kind, Name: name, Body: body, Write: true,
	}, &obj)
	if err == nil && obj.Version == 0 {
		return 0, &UnknownEffectError{Call: CallPut, Err: errNoVersion}
	}
	return obj.Version, err
}

// Delete removes an object if its version is ifVersion.
func (c *Client) Delete(ctx context.Context, kind, name string, ifVersion uint64) error {
	return c.Do(ctx, Request{
		Call: CallDelete, Method: http.MethodDelete, Path: objectPath(kind, name) + ifVersionQuery(ifVersion),
		Kind: kind, Name: name, Write: true,
	}, nil)
}

// List reads all objects of a kind, with the revision to watch from.
func (c *Client) List(ctx context.Context, kind string) (platformapi.List, error) {
	var list platformapi.List
	path := platformapi.PathObjects + "/" + url.PathEscape(kind)
	err := c.Do(ctx, Request{Call: CallList, Method: http.MethodGet, Path: path, Kind: kind}, &list)
	return list, err
}

// Watch waits at most wait for changes of a kind after revision since. It returns
// no events when wait has passed, and a GoneError when since is too old.
func (c *Client) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (platformapi.Events, error) {
	var events platformapi.Events
	query := url.Values{"since": {strconv.FormatUint(since, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	path := platformapi.PathWatch + "/" + url.PathEscape(kind) + "?" + query.Encode()
	err := c.Do(ctx, Request{Call: CallWatch, Method: http.MethodGet, Path: path, Kind: kind, Since: since, Wait: wait}, &events)
	return events, err
}

// Instances reads the list of live and leaving instances, which may be out of date.
func (c *Client) Instances(ctx context.Context) ([]platformapi.Instance, error) {
	var list platformapi.Instances
	err := c.Do(ctx, Request{Call: CallInstances, Method: http.MethodGet, Path: platformapi.PathInstances}, &list)
	return list.Instances, err
}

// objectPath returns the URL path of an object.
func objectPath(kind, name string) string {
	return platformapi.PathObjects + "/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// ifVersionQuery returns the URL query that makes a write conditional on a version.
func ifVersionQuery(version uint64) string {
	return "?if_version=" + strconv.FormatUint(version, 10)
}

// Request is one call to the platform. Path and Body follow the protocol of the
// store that serves it, which need not be that of package platformapi.
type Request struct {
	Call         Call
	Method, Path string
	// Kind and Name identify the object in errors.
	Kind, Name string
	Body       []byte
	// Write reports whether the call may change an object.
	Write bool
	// Era, if set, receives the era of a successful answer.
	Era *Era
	// Since and Wait are set for a watch only.
	Since uint64
	Wait  time.Duration
}

// Do makes the call, decodes its JSON reply into dst and counts it. A nil dst
// discards the reply; a *[]byte receives it undecoded. Errors are of the types of
// this package.
func (c *Client) Do(ctx context.Context, r Request, dst any) error {
	start := time.Now()
	err := c.call(ctx, r, dst)
	c.cfg.Meter.PlatformCall(r.Call, classifyResult(err), time.Since(start))
	return err
}

// call waits for a concurrency slot, sends the request and decodes the reply.
func (c *Client) call(ctx context.Context, r Request, dst any) error {
	timeout := c.cfg.Timeout
	if r.Call == CallWatch {
		timeout = r.Wait + watchGrace
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if r.Call != CallWatch {
		select {
		case c.slots <- struct{}{}:
			defer func() { <-c.slots }()
		case <-ctx.Done():
			return &UnavailableError{Call: r.Call, Err: ctx.Err()}
		}
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	resp, err := c.send(ctx, r)
	if err != nil {
		return unusableReplyError(r, connected.Load(), 0, err)
	}
	defer resp.Body.Close()
	if err := decodeReply(r, resp, dst); err != nil || r.Era == nil || c.cfg.EraHeader == "" {
		return err
	}
	if *r.Era, err = parseEra(resp.Header.Get(c.cfg.EraHeader)); err != nil {
		return unusableReplyError(r, true, 0, err)
	}
	return nil
}

// classifyResult returns the result that the meter counts for an error.
func classifyResult(err error) Result {
	var conflict *ConflictError
	var notFound *NotFoundError
	var gone *GoneError
	var limited *RateLimitedError
	var rejected *RejectedError
	var unknown *UnknownEffectError
	switch {
	case err == nil:
		return ResultOK
	case errors.As(err, &conflict):
		return ResultConflict
	case errors.As(err, &notFound):
		return ResultNotFound
	case errors.As(err, &gone):
		return ResultGone
	case errors.As(err, &limited):
		return ResultRateLimited
	case errors.As(err, &rejected):
		return ResultRejected
	case errors.As(err, &unknown):
		return ResultUnknownEffect
	default:
		return ResultUnavailable
	}
}
