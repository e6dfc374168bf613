package loader

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

var fields = []Field{
	{"name", "", "name of this VM, unique in the deployment", text(func(s *Settings) *string { return &s.Name })},
	{"centre", "", "data centre of this VM", text(func(s *Settings) *string { return &s.Centre })},
	{"callers", "", "IP address and port for callers", address(func(s *Settings) *netip.AddrPort { return &s.Callers })},
	{"peers", "", "IP address and port for other entry daemons", address(func(s *Settings) *netip.AddrPort { return &s.Peers })},
	{"operator", "", "IP address and port for operators", address(func(s *Settings) *netip.AddrPort { return &s.Operator })},
	{"log", "", "IP address and port of the log service", address(func(s *Settings) *netip.AddrPort { return &s.Log })},
	{"list", "", "IP address and port of the list of VMs", address(func(s *Settings) *netip.AddrPort { return &s.List })},
	{"weights", "", "IP address and port of the weight store; loads are not limited if it is empty", address(func(s *Settings) *netip.AddrPort { return &s.Weights })},
	{"seeds", "", "comma-separated addresses of other entry daemons that a starting daemon contacts first", addresses(func(s *Settings) *[]netip.AddrPort { return &s.Seeds })},
	{"body", "8388608", "maximum size of a caller's request body, in bytes", number(func(s *Settings, n int64) { s.Body = n })},
	{"wait", "1m0s", "deadline of requests that set none", duration(func(s *Settings) *cowslipproxy.Duration { return &s.Wait })},
	{"lifetime", "10s", "time for which callers may cache the addresses of entry daemons", duration(func(s *Settings) *cowslipproxy.Duration { return &s.Lifetime })},
	{"grace", "10m0s", "time after which a daemon in a planned stop accepts no new connections; requests in flight continue until their deadlines", duration(func(s *Settings) *cowslipproxy.Duration { return &s.Grace })},
	{"retain", "24h0m0s", "retention time of the log", duration(func(s *Settings) *cowslipproxy.Duration { return &s.Retain })},
	{"streams", "4", "number of log streams for claims; must be equal on all daemons", number(func(s *Settings, n int64) { s.Streams = int(n) })},
	{"sockets", "10000", "maximum number of concurrent connections of callers", number(func(s *Settings, n int64) { s.Sockets = int(n) })},
	{"queue", "256", "maximum number of requests waiting for admission, for each class and model", number(func(s *Settings, n int64) { s.Queue = int(n) })},
	{"floor", "0.1", "fraction of the capacity that is reserved for the classes below critical", fraction(func(s *Settings) *float64 { return &s.Floor })},
	{"level", "info", "minimum level of log events: debug, info, warn or error", text(func(s *Settings) *string { return &s.Level })},
}

// setter parses the text of a setting and stores its value. The functions below return
// setters.
type setter = func(*Settings, string) error

func text(field func(*Settings) *string) setter {
	return func(s *Settings, value string) error {
		*field(s) = value
		return nil
	}
}

func address(field func(*Settings) *netip.AddrPort) setter {
	return func(s *Settings, value string) error {
		var err error
		if *field(s), err = netip.ParseAddrPort(value); err != nil {
			return errors.Errorf("%q is not an IP address and port", value)
		}
		return nil
	}
}

func addresses(field func(*Settings) *[]netip.AddrPort) setter {
	return func(s *Settings, value string) error {
		*field(s) = nil
		for _, part := range strings.Split(value, ",") {
			var parsed netip.AddrPort
			var err error
			if parsed, err = netip.ParseAddrPort(strings.TrimSpace(part)); err != nil {
				return errors.Errorf("%q is not a comma-separated list of IP addresses and ports", value)
			}
			*field(s) = append(*field(s), parsed)
		}
		return nil
	}
}

func duration(field func(*Settings) *cowslipproxy.Duration) setter {
	return func(s *Settings, value string) error {
		var parsed time.Duration
		var err error
		if parsed, err = time.ParseDuration(value); err != nil {
			return errors.Errorf("%q is not a duration such as 250ms or 1m30s", value)
		}
		*field(s) = cowslipproxy.Duration(parsed)
		return nil
	}
}

func number(set func(*Settings, int64)) setter {
	return func(s *Settings, value string) error {
		var parsed int64
		var err error
		if parsed, err = strconv.ParseInt(value, 10, 64); err != nil {
			return errors.Errorf("%q is not a whole number", value)
		}
		set(s, parsed)
		return nil
	}
}

func fraction(field func(*Settings) *float64) setter {
	return func(s *Settings, value string) error {
		var err error
		if *field(s), err = strconv.ParseFloat(value, 64); err != nil {
			return errors.Errorf("%q is not a number", value)
		}
		return nil
	}
}
