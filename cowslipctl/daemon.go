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
)

// maxAnswer bounds a daemon's answer in memory. At the size expected in two
// years, 6,900 upstreams and 3,722 scopes of about 1 KB each, a dump has 11 MB.
const maxAnswer = 64 << 20

// daemonFlags are the flags of commands that talk to one daemon.
type daemonFlags struct {
	operator *string
	timeout  *time.Duration
}

func newDaemonFlags(flags *flag.FlagSet) daemonFlags {
	return daemonFlags{
		operator: flags.String("operator", "", "operator address of the daemon, an IP number and port (required)"),
		timeout:  flags.Duration("timeout", 10*time.Second, "time for the whole command"),
	}
}

// daemon is the client of one daemon's operator address.
type daemon struct {
	address netip.AddrPort
	timeout time.Duration
}

func (f daemonFlags) daemon() (daemon, error) {
	var address netip.AddrPort
	var err error
	if address, err = netip.ParseAddrPort(*f.operator); err != nil {
		return daemon{}, usageError("operator: found %q, accepted is an IP number and port such as 127.0.0.1:7003", *f.operator)
	}
	if *f.timeout <= 0 {
		return daemon{}, usageError("timeout: found %v, accepted is more than 0", *f.timeout)
	}
	return daemon{address: address, timeout: *f.timeout}, nil
}

// call sends a request and returns the body of a successful answer.
func (d daemon) call(ctx context.Context, method, path string, question any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	var body []byte
	var err error
	if body, err = json.Marshal(question); err != nil {
		return nil, errors.WithStack(err)
	}
	var request *http.Request
	if request, err = http.NewRequestWithContext(ctx, method, "http://"+d.address.String()+path, bytes.NewReader(body)); err != nil {
		return nil, errors.WithStack(err)
	}
	var answer *http.Response
	if answer, err = http.DefaultClient.Do(request); err != nil {
		return nil, lost(method, err)
	}
	defer func() { _ = answer.Body.Close() }()
	var data []byte
	if data, err = io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1)); err != nil {
		return nil, lost(method, err)
	}
	if len(data) > maxAnswer {
		return nil, errors.Errorf("%s: found more than %d bytes", path, maxAnswer)
	}
	if answer.StatusCode >= http.StatusBadRequest {
		return nil, refusal(answer.Status, data)
	}
	return data, nil
}

// lost returns the error of a call without an answer. A change may have taken
// effect, unless no connection was made.
func lost(method string, err error) error {
	var dial *net.OpError
	if method == http.MethodPut || method == http.MethodDelete || method == http.MethodPost {
		if !errors.As(err, &dial) || dial.Op != "dial" {
			return codeError{exitUnknown, errors.Wrap(err, "no answer; run the command again")}
		}
	}
	return errors.WithStack(err)
}

func refusal(status string, data []byte) error {
	var fault struct {
		Error string `json:"error"`
	}
	if err := json.Unmarshal(data, &fault); err != nil || fault.Error == "" {
		return errors.Errorf("the daemon answered %s", status)
	}
	return errors.New(fault.Error)
}

// printRaw prints a daemon's JSON answer with indentation.
func printRaw(w io.Writer, data []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(data), "", "  "); err != nil {
		return errors.Wrap(err, "answer")
	}
	out.WriteByte('\n')
	_, err := out.WriteTo(w)
	return errors.WithStack(err)
}
