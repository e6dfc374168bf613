package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// maxResponseSize is the maximum size of a daemon's response, in bytes. At the size
// expected in two years, 6,900 upstreams and 3,722 scopes of about 1 KB each, a dump
// is about 11 MB.
const maxResponseSize = 64 << 20

// daemonFlags are the flags of commands that connect to a daemon.
type daemonFlags struct {
	operator *string
	timeout  *time.Duration
}

func newDaemonFlags(flags *flag.FlagSet) daemonFlags {
	return daemonFlags{
		operator: flags.String("operator", "", "operator address of the daemon, an IP address and port (required)"),
		timeout:  flags.Duration("timeout", 10*time.Second, "timeout of the whole command"),
	}
}

// daemon is a client of a daemon's operator API.
type daemon struct {
	address netip.AddrPort
	timeout time.Duration
}

func (f daemonFlags) daemon() (daemon, error) {
	var address netip.AddrPort
	var err error
	if address, err = netip.ParseAddrPort(*f.operator); err != nil {
		return daemon{}, usageError("operator: %q is not an IP address and port such as 127.0.0.1:7003", *f.operator)
	}
	if *f.timeout <= 0 {
		return daemon{}, usageError("timeout: %v is not positive", *f.timeout)
	}
	return daemon{address: address, timeout: *f.timeout}, nil
}

// call sends a request and returns the body of a successful response.
func (d daemon) call(ctx context.Context, method, path string, payload any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	var body []byte
	var err error
	if body, err = json.Marshal(payload); err != nil {
		return nil, errors.WithStack(err)
	}
	var request *http.Request
	if request, err = http.NewRequestWithContext(ctx, method, "http://"+d.address.String()+path, bytes.NewReader(body)); err != nil {
		return nil, errors.WithStack(err)
	}
	var response *http.Response
	if response, err = http.DefaultClient.Do(request); err != nil {
		return nil, noResponseError(method, err)
	}
	defer func() { _ = response.Body.Close() }()
	var data []byte
	if data, err = io.ReadAll(io.LimitReader(response.Body, maxResponseSize+1)); err != nil {
		return nil, noResponseError(method, err)
	}
	if len(data) > maxResponseSize {
		return nil, errors.Errorf("%s: response exceeds %d bytes", path, maxResponseSize)
	}
	if response.StatusCode >= http.StatusBadRequest || !cowslipproxy.IsFinalStatus(response.StatusCode) {
		return nil, statusError(response.Status, data)
	}
	return data, nil
}

// noResponseError returns the error of a call that got no response. A change may have
// taken effect unless the connection could not be established.
func noResponseError(method string, err error) error {
	var opError *net.OpError
	if method == http.MethodPut || method == http.MethodDelete || method == http.MethodPost {
		if !errors.As(err, &opError) || opError.Op != "dial" {
			return exitError{exitUnknown, errors.Wrap(err, "no response; run the command again")}
		}
	}
	return errors.WithStack(err)
}

func statusError(status string, data []byte) error {
	var body struct {
		Error string `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil || body.Error == "" {
		return errors.Errorf("the daemon returned status %s", status)
	}
	return errors.New(body.Error)
}

// printIndented prints a daemon's JSON response with indentation.
func printIndented(w io.Writer, data []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(data), "", "  "); err != nil {
		return errors.Wrap(err, "response")
	}
	out.WriteByte('\n')
	_, err := out.WriteTo(w)
	return errors.WithStack(err)
}
