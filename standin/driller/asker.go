package driller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

const askTime = 2 * time.Second

// asker is a client that asks which entry daemon to use and keeps the answer
// for its lifetime.
type asker struct {
	seeds  []netip.AddrPort
	client *http.Client

	mu      sync.Mutex
	known   []netip.AddrPort // of the newest answer, the best first
	expires time.Time
}

// address returns the entry daemon to use now.
func (a *asker) address(ctx context.Context) (netip.AddrPort, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.known) > 0 && time.Now().Before(a.expires) {
		return a.known[0], nil
	}
	var err error
	for _, address := range append(append([]netip.AddrPort(nil), a.known...), a.seeds...) {
		var answer cowslipproxy.Addresses
		if answer, err = a.ask(ctx, address); err != nil {
			continue
		}
		a.known = nil
		for _, named := range answer.Addresses {
			a.known = append(a.known, named.Address)
		}
		a.expires = time.Now().Add(time.Duration(answer.Lifetime))
		return a.known[0], nil
	}
	if len(a.known) > 0 {
		return a.known[0], nil // an old answer is better than none
	}
	return netip.AddrPort{}, err
}

// broken takes in that a daemon broke a connection: the next one is used.
func (a *asker) broken(address netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.known) > 1 && a.known[0] == address {
		a.known = append(a.known[1:], address)
	}
}

func (a *asker) ask(ctx context.Context, address netip.AddrPort) (cowslipproxy.Addresses, error) {
	var answer cowslipproxy.Addresses
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var request *http.Request
	var err error
	if request, err = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/v1/addresses", nil); err != nil {
		return answer, errors.WithStack(err)
	}
	var response *http.Response
	if response, err = a.client.Do(request); err != nil {
		return answer, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return answer, errors.Wrapf(err, "addresses of %v", address)
	}
	if len(answer.Addresses) == 0 {
		return answer, errors.Errorf("%v names no entry daemon", address)
	}
	return answer, nil
}
