// Package follower talks to the platform's log: a client, the loop that follows
// the configuration, and the publisher of changes.
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
	// callTime bounds one exchange with the log, beyond the time that a read waits.
	callTime = 2 * time.Second
	// maxAnswer bounds an answer of the log in memory.
	maxAnswer = 16 << 20
)

// direct connects without the proxy that the environment may name, since the log
// is addressed by IP number.
var direct = &http.Transport{MaxIdleConnsPerHost: 2 * appendsAtOnce, IdleConnTimeout: time.Minute}

// Client is a client of the log service. It implements cowslipproxy.Log.
type Client struct {
	Address   netip.AddrPort
	Transport http.RoundTripper // nil means direct connections
	Timeout   time.Duration     // of one exchange beyond the wait of a read; 0 means 2 s
}

var _ cowslipproxy.Log = (*Client)(nil)

// appended is the answer to an append.
type appended struct {
	Offset *uint64 `json:"offset" validate:"required"`
}

// Append implements cowslipproxy.Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	var answer appended
	if err := c.call(ctx, http.MethodPost, c.url(stream, nil), data, 0, &answer); err != nil {
		return 0, errors.Wrapf(err, "append to %s", stream)
	}
	return *answer.Offset, nil
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

func (c *Client) call(ctx context.Context, method, target string, body []byte, wait time.Duration, answer any) error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = callTime
	}
	transport := c.Transport
	if transport == nil {
		transport = direct
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
	if data, err = io.ReadAll(io.LimitReader(response.Body, maxAnswer+1)); err != nil {
		return errors.WithStack(err)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("found status %s: %.200s", response.Status, data)
	}
	if len(data) > maxAnswer {
		return errors.Errorf("found an answer of more than %d bytes", maxAnswer)
	}
	return decoder.JSON(data, answer)
}
