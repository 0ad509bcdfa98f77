// Package enginehttp is the HTTP client for model engines and plain services.
//
// Requests go to the engine's OpenAI-style paths with an X-Request-Id that the
// engine echoes; orders go to /admin. Published engines differ in the paths for
// orders; only this package depends on them.
package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/adapter/httpclient"
	"github.com/cassiapass/cassiapass/internal/core/ident"
	"github.com/cassiapass/cassiapass/internal/core/ledger"
	"github.com/cassiapass/cassiapass/internal/core/placement"
	"github.com/cassiapass/cassiapass/internal/port"
)

const (
	// RequestIDHeader carries the id of a request.
	RequestIDHeader = "X-Request-Id"
	maxAdminBody    = 16 << 20
	maxHeadBytes    = 64 << 10
	dialTimeout     = 2 * time.Second
	idleTimeout     = 30 * time.Second
)

// Client is the client of one engine or plain service. It implements port.Engine.
type Client struct {
	base  string
	http  *http.Client
	fresh *http.Client // keeps no connections
}

// New returns a Client for the given base URL, for example http://10.0.0.7:8000.
func New(base string) *Client {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	fresh := t.Clone()
	fresh.DisableKeepAlives = true
	return &Client{base: base, http: &http.Client{Transport: httpclient.NewTransport(t), CheckRedirect: noRedirect}, fresh: &http.Client{Transport: httpclient.NewTransport(fresh), CheckRedirect: noRedirect}}
}

// clientFor returns the client for a call that may run once. net/http sends requests of some methods a
// second time, whatever was read of the first, if a kept connection breaks under them.
func (c *Client) clientFor(method string) *http.Client {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return c.fresh
	}
	return c.http
}

// noRedirect returns redirects to the caller: following one would run a call twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Run implements port.Backend. It does not forward the caller's Idempotency-Key:
// net/http treats that header as permission to send a request again by itself.
func (c *Client) Run(ctx context.Context, call port.Call) (*port.Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Join(port.ErrNotSent, err)
	}
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	return c.do(c.clientFor(call.Method), req, call.ID)
}

// Resume implements port.Backend.
func (c *Client) Resume(ctx context.Context, id string, offset int64) (*port.Response, error) {
	u := c.base + "/v1/requests/" + url.PathEscape(id) + "?offset=" + strconv.FormatInt(offset, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, err
	}
	res, err := c.do(c.http, req, id)
	if err == nil && res.Status == http.StatusNotFound {
		_ = res.Body.Close()
		return nil, port.ErrRefused
	}
	return res, err
}

// Cancel implements port.Backend.
func (c *Client) Cancel(ctx context.Context, id string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.base+"/v1/requests/"+url.PathEscape(id), nil)
	if err != nil {
		return err
	}
	res, err := c.do(c.http, req, id)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

func (c *Client) do(client *http.Client, req *http.Request, id string) (*port.Response, error) {
	req.Header.Set(RequestIDHeader, id)
	res, err := client.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, errors.Join(port.ErrNotSent, err)
		}
		return nil, err
	}
	// An answer to another request must never reach this one's caller.
	if got := res.Header.Get(RequestIDHeader); got != "" && got != id {
		_ = res.Body.Close()
		return nil, fmt.Errorf("%w: %q instead of %q", port.ErrCrossed, got, id)
	}
	framed := res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || req.Method == http.MethodHead
	return &port.Response{Status: res.StatusCode, Header: res.Header, Body: res.Body, Framed: framed}, nil
}

// orderBody is the body of a load or unload order.
type orderBody struct {
	Target ident.Target `json:"target"`
	Bytes  int64        `json:"bytes"`
	Fence  ident.Index  `json:"fence"`
}

// SetFloor implements port.Engine.
func (c *Client) SetFloor(ctx context.Context, fence ident.Index) error {
	return c.admin(ctx, http.MethodPost, "/admin/floor", orderBody{Fence: fence}, nil)
}

// Order implements port.Engine.
func (c *Client) Order(ctx context.Context, o ledger.Order) error {
	return c.admin(ctx, http.MethodPost, "/admin/"+string(o.Kind), orderBody{Target: o.Target, Bytes: o.Bytes, Fence: o.Fence}, nil)
}

// List implements port.Engine.
func (c *Client) List(ctx context.Context) ([]ledger.Held, error) {
	var out []ledger.Held
	return out, c.admin(ctx, http.MethodGet, "/admin/models", nil, &out)
}

// Cached implements port.Engine.
func (c *Client) Cached(ctx context.Context) ([]placement.CachedAt, error) {
	var out []placement.CachedAt
	return out, c.admin(ctx, http.MethodGet, "/admin/cached", nil, &out)
}

// admin sends one order or query. After an answer of status 4xx or 507 the order had no
// effect and the error wraps port.ErrRefused; after any other error it may have had one.
func (c *Client) admin(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return oops.Wrapf(err, "encode order")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	text, err := httpclient.ReadAll(res.Body, maxAdminBody)
	if err != nil {
		return err
	}
	switch {
	case res.StatusCode/100 == 2 && out != nil:
		return json.Unmarshal(text, out)
	case res.StatusCode/100 == 2:
		return nil
	case res.StatusCode/100 == 4 || res.StatusCode == http.StatusInsufficientStorage:
		return oops.Wrap(errors.Join(port.ErrRefused, fmt.Errorf("%s: %d %s", path, res.StatusCode, text)))
	}
	return oops.Errorf("%s: %d %s", path, res.StatusCode, text)
}
