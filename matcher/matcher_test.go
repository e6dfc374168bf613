package matcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/matcher"
)

func route(name, host, prefix string, services ...string) cowslipproxy.Route {
	r := cowslipproxy.Route{Name: name, Host: host, Prefix: prefix}
	for i, service := range services {
		r.Shares = append(r.Shares, cowslipproxy.Share{Service: service, Weight: float64(i + 1)})
	}
	return r
}

// Guards against resolving a request to a route other than the one of its host
// with the longest matching prefix.
func TestRoute(t *testing.T) {
	m := matcher.New(cowslipproxy.RelayConfiguration{Routes: []cowslipproxy.Route{
		route("short", "A.example", "/a/"), route("long", "a.example", "/a/b/"), route("other", "b.example", "/a/b/c/"),
	}})
	for path, want := range map[string]string{"/a/x": "short", "/a/b/": "long", "/a/b/c/d": "long", "/a/bc": "short"} {
		got, ok := m.Route("a.example", path)
		require.True(t, ok, path)
		require.Equal(t, want, got.Name, path)
	}
	for _, path := range []string{"/a", "/", "/b/a/"} {
		_, ok := m.Route("a.example", path)
		require.False(t, ok, path)
	}
}

// Guards against accepting keys that no customer owns, and against public
// routes that require a key.
func TestCustomer(t *testing.T) {
	priority := 0
	m := matcher.New(cowslipproxy.RelayConfiguration{Customers: []cowslipproxy.RelayCustomer{{Name: "c", Keys: []string{"k1", "k2"}, Priority: &priority}}})
	private, public := cowslipproxy.Route{Priority: 3}, cowslipproxy.Route{Public: true, Priority: 3}
	customer, ok := m.Customer(private, "k2")
	require.True(t, ok)
	require.Equal(t, "c", customer.Name)
	require.Zero(t, m.Priority(private, customer), "the customer's priority takes precedence over the route's")
	_, ok = m.Customer(private, "")
	require.False(t, ok)
	customer, ok = m.Customer(public, "")
	require.True(t, ok)
	require.Equal(t, 3, m.Priority(public, customer))
}

// Guards against requests that are admitted without a customer's key when the last customer or key is removed.
func TestListWithoutKeysAdmitsNobody(t *testing.T) {
	lists := map[string][]cowslipproxy.RelayCustomer{
		"no customer": {}, "no list of keys": {{Name: "c"}}, "no key": {{Name: "c", Keys: []string{}}},
	}
	for name, customers := range lists {
		m := matcher.New(cowslipproxy.RelayConfiguration{Customers: customers})
		for _, key := range []string{"", "k1"} {
			_, ok := m.Customer(cowslipproxy.Route{}, key)
			require.False(t, ok, "%s, key %q", name, key)
			_, ok = m.Customer(cowslipproxy.Route{Public: true}, key)
			require.True(t, ok, "%s, key %q", name, key)
		}
	}
	_, ok := matcher.New(cowslipproxy.RelayConfiguration{}).Customer(cowslipproxy.Route{}, "")
	require.True(t, ok, "without the list, no key is required")
}

// Guards against requests without a key that are admitted as those of a customer with an empty key.
func TestEmptyKeyAdmitsNobody(t *testing.T) {
	m := matcher.New(cowslipproxy.RelayConfiguration{Customers: []cowslipproxy.RelayCustomer{{Name: "c", Keys: []string{"", "k1"}}}})
	_, ok := m.Customer(cowslipproxy.Route{}, "")
	require.False(t, ok)
	customer, ok := m.Customer(cowslipproxy.Route{Public: true}, "")
	require.True(t, ok)
	require.Empty(t, customer.Name)
	_, ok = m.Customer(cowslipproxy.Route{}, "k1")
	require.True(t, ok)
}

// Guards against a distribution of requests over services that does not follow the
// weights of the route.
func TestService(t *testing.T) {
	m := matcher.New(cowslipproxy.RelayConfiguration{Services: []cowslipproxy.RelayService{{Name: "one"}, {Name: "two"}}})
	r := route("r", "h", "/", "one", "two")
	count := map[string]int{}
	for i := range 300 {
		count[m.Service(r, float64(i)/300).Name]++
	}
	require.Equal(t, map[string]int{"one": 100, "two": 200}, count)
}
