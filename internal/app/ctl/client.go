package ctl

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/cassiapass/cassiapass/internal/adapter/httpclient"
	"github.com/cassiapass/cassiapass/internal/app/control"
	"github.com/cassiapass/cassiapass/internal/core/state"
)

const (
	retryInterval = 300 * time.Millisecond
	maxAnswer     = 256 << 20
)

// client sends all requests of the command.
var client = &http.Client{Transport: httpclient.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}

// newRequestID returns a random operator request id. The command's own retries reuse
// it, and it is printed so that an operator can resend the change by hand.
func newRequestID() string {
	b := make([]byte, 12)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func (c *cli) operator() string {
	if c.opts.Operator != "" {
		return c.opts.Operator
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

func (c *cli) token() (string, error) {
	if c.opts.TokenFile == "" {
		return "", nil
	}
	b, err := os.ReadFile(c.opts.TokenFile)
	if err != nil {
		return "", fail(ExitUsage, "--token-file %q: %v", c.opts.TokenFile, err)
	}
	return strings.TrimSpace(string(b)), nil
}

// call sends one request and retries it at the next control host until one answers or
// the timeout passes. Retries are safe for changes because these carry an operator
// request id: a repeated request gets the first answer.
func (c *cli) call(method, path string, in, out any) error {
	if len(c.opts.Control) == 0 {
		return fail(ExitUsage, "--control is required: the URL of a control host's operator listener")
	}
	token, err := c.token()
	if err != nil {
		return err
	}
	var body []byte
	if in != nil {
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.opts.Timeout)
	defer cancel()
	var last error
	for i := 0; ctx.Err() == nil; i++ {
		base := strings.TrimSuffix(c.opts.Control[i%len(c.opts.Control)], "/")
		retry, err := c.sendOnce(ctx, method, base+path, token, body, out)
		if !retry {
			return err
		}
		last = err
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
	return fail(ExitUnknown, "no answer within %v: %v", c.opts.Timeout, last)
}

// sendOnce sends one request. It reports whether a retry may succeed.
func (c *cli) sendOnce(ctx context.Context, method, url, token string, body []byte, out any) (retry bool, err error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return false, fail(ExitUsage, "%v", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Cassiapass-Operator", c.operator())
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	res, err := client.Do(req)
	if err != nil {
		return true, err
	}
	defer res.Body.Close()
	text, err := httpclient.ReadAll(res.Body, maxAnswer)
	if err != nil {
		return true, err
	}
	if res.StatusCode == http.StatusOK {
		return false, json.Unmarshal(text, out)
	}
	var f control.Failure
	if json.Unmarshal(text, &f) != nil {
		f.Message = string(text)
	}
	if res.StatusCode == http.StatusServiceUnavailable {
		return true, fmt.Errorf("%s: %s", f.Code, f.Message)
	}
	return false, c.refusalError(res.StatusCode, f)
}

// refusalError returns the error for a refusal, with its exit code. For a conflict, its
// text includes the content in force.
func (c *cli) refusalError(status int, f control.Failure) error {
	switch status {
	case http.StatusConflict:
		text := "conflict: " + f.Message
		if f.Present != nil {
			text += fmt.Sprintf("\nrevision %d in force:\n%s", f.Present.Revision, f.Present.Raw)
		}
		return &failure{code: ExitConflict, text: text, retryable: f.Code == control.CodeBehind}
	case http.StatusNotFound:
		return fail(ExitNotFound, "not found: %s", f.Message)
	case http.StatusUnprocessableEntity, http.StatusBadRequest:
		return fail(ExitInvalid, "refused:\n%s", f.Message)
	}
	return fail(ExitFailed, "%d %s: %s", status, f.Code, f.Message)
}

// print writes v as JSON if --json is given, else it calls table.
func (c *cli) print(v any, table func()) error {
	if !c.opts.JSON {
		table()
		return nil
	}
	enc := json.NewEncoder(c.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func (c *cli) record(name string) (state.Record, error) {
	var r state.Record
	return r, c.call(http.MethodGet, "/v1/records/"+name, nil, &r)
}
