// Package hostlisthttp reads the platform's list of live and leaving hosts over
// HTTP. The list is a JSON array of {"id","state"} objects.
package hostlisthttp

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/cassiapass/cassiapass/internal/adapter/httpclient"
	"github.com/cassiapass/cassiapass/internal/port"
)

const (
	timeout = 5 * time.Second
	maxBody = 8 << 20
	maxHead = 64 << 10
)

// Client implements port.HostList.
type Client struct {
	url  string
	http *http.Client
}

// New returns a Client that reads the list at url.
func New(url string) *Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = maxHead
	return &Client{url: url, http: &http.Client{Timeout: timeout, Transport: httpclient.NewTransport(t)}}
}

// List implements port.HostList.
func (c *Client) List(ctx context.Context) ([]port.Host, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, oops.Wrapf(err, "host list")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, oops.Wrapf(err, "host list")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, oops.Errorf("host list: status %d", res.StatusCode)
	}
	var out []port.Host
	text, err := httpclient.ReadAll(res.Body, maxBody) // also what follows the list: it may have been cut
	if err == nil {
		err = json.Unmarshal(text, &out)
	}
	if err != nil {
		return nil, oops.Wrapf(err, "host list")
	}
	return out, nil
}
