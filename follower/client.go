// Package follower contains the client of the platform's log, the loop that follows
// the configuration stream, and the publisher of configuration changes.
package follower

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
)

const (
	// callTimeout is the timeout of a call to the log, in addition to the wait of a read.
	callTimeout = 2 * time.Second
	// maxResponseSize is the maximum size of a response of the log, in bytes.
	maxResponseSize = 16 << 20
	// maxResponseHeader is the maximum size of the head of a response of the log, in bytes.
	maxResponseHeader = 16 << 10
)

// directTransport ignores the proxy settings of the environment, since the log is
// addressed by IP address.
var directTransport = &http.Transport{MaxIdleConnsPerHost: 2 * maxConcurrentAppends, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxResponseHeader}

// Client is a client of the log service. It implements cowslipproxy.Log.
type Client struct {
	Address   netip.AddrPort
	Transport http.RoundTripper // nil means direct connections
	Timeout   time.Duration     // of a call, in addition to the wait of a read; 0 means 2 s
}

var _ cowslipproxy.Log = (*Client)(nil)

// appendResponse is the response to an append.
type appendResponse struct {
	Offset *uint64 `json:"offset" validate:"required"`
}

// Append implements cowslipproxy.Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	var response appendResponse
	if err := c.call(ctx, http.MethodPost, c.url(stream, nil), data, 0, &response); err != nil {
		return 0, errors.Wrapf(err, "append to %s", stream)
	}
	return *response.Offset, nil
}

// Read implements cowslipproxy.Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (cowslipproxy.Batch, error) {
	query := url.Values{"from": {fmt.Sprint(from)}, "wait": {wait.String()}}
	var batch cowslipproxy.Batch
	if err := c.call(ctx, http.MethodGet, c.url(stream, query), nil, wait, &batch); err != nil {
		return cowslipproxy.Batch{}, errors.Wrapf(err, "read %s", stream)
	}
	return batch, nil
}

func (c *Client) url(stream string, query url.Values) string {
	u := url.URL{Scheme: "http", Host: c.Address.String(), Path: "/v1/streams/" + stream + "/records", RawQuery: query.Encode()}
	return u.String()
}

func (c *Client) call(ctx context.Context, method, target string, body []byte, wait time.Duration, result any) error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = callTimeout
	}
	transport := c.Transport
	if transport == nil {
		transport = directTransport
	}
	ctx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	var request *http.Request
	var err error
	if request, err = http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body)); err != nil {
		return errors.WithStack(err)
	}
	var response *http.Response
	if response, err = (&http.Client{Transport: transport}).Do(request); err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	var data []byte
	if data, err = io.ReadAll(io.LimitReader(response.Body, maxResponseSize+1)); err != nil {
		return errors.WithStack(err)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("log returned status %s: %.200s", response.Status, data)
	}
	if len(data) > maxResponseSize {
		return errors.Errorf("log response exceeds %d bytes", maxResponseSize)
	}
	return decoder.JSON(data, result)
}
