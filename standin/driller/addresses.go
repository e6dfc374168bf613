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

const addressTimeout = 2 * time.Second

// addressCache caches the addresses of entry daemons that a caller has fetched, for
// their lifetime.
type addressCache struct {
	seedAddresses []netip.AddrPort
	client        *http.Client

	mu        sync.Mutex
	addresses []netip.AddrPort // from the last response, in order of preference
	expiresAt time.Time
}

// address returns the preferred entry daemon. It refreshes expired addresses.
func (a *addressCache) address(ctx context.Context) (netip.AddrPort, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.addresses) > 0 && time.Now().Before(a.expiresAt) {
		return a.addresses[0], nil
	}
	var err error
	for _, address := range append(append([]netip.AddrPort(nil), a.addresses...), a.seedAddresses...) {
		var response cowslipproxy.Addresses
		if response, err = a.fetch(ctx, address); err != nil {
			continue
		}
		a.addresses = nil
		for _, entry := range response.Addresses {
			a.addresses = append(a.addresses, entry.Address)
		}
		a.expiresAt = time.Now().Add(time.Duration(response.Lifetime))
		return a.addresses[0], nil
	}
	if len(a.addresses) > 0 {
		return a.addresses[0], nil // expired addresses are better than none
	}
	return netip.AddrPort{}, err
}

// demote moves a daemon whose connection broke to the end of the list if it is
// the preferred one.
func (a *addressCache) demote(address netip.AddrPort) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.addresses) > 1 && a.addresses[0] == address {
		a.addresses = append(a.addresses[1:], address)
	}
}

// fetch requests the addresses of entry daemons from one of them.
func (a *addressCache) fetch(ctx context.Context, address netip.AddrPort) (cowslipproxy.Addresses, error) {
	var response cowslipproxy.Addresses
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	var request *http.Request
	var err error
	if request, err = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/v1/addresses", nil); err != nil {
		return response, errors.WithStack(err)
	}
	var httpResponse *http.Response
	if httpResponse, err = a.client.Do(request); err != nil {
		return response, errors.WithStack(err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	if err := json.NewDecoder(httpResponse.Body).Decode(&response); err != nil {
		return response, errors.Wrapf(err, "decode addresses from %v", address)
	}
	if len(response.Addresses) == 0 {
		return response, errors.Errorf("%v returned no entry daemons", address)
	}
	return response, nil
}
