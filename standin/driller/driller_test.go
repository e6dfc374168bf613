package driller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/standin/driller"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
)

var model = cowslipproxy.Model{Name: "scribe", Version: "1", Layers: 4}

// daemon is an HTTP server that responds to completions like an entry daemon and
// injects a fault.
type daemon struct {
	fault   string
	address netip.AddrPort
}

func newDaemon(t *testing.T, fault string) *daemon {
	d := &daemon{fault: fault}
	s := httptest.NewServer(d)
	t.Cleanup(s.Close)
	d.address = netip.MustParseAddrPort(s.Listener.Addr().String())
	return d
}

func (d *daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/addresses" {
		addresses := cowslipproxy.Addresses{Addresses: []cowslipproxy.Address{{Address: d.address}}, Lifetime: cowslipproxy.Duration(time.Minute)}
		_ = json.NewEncoder(w).Encode(addresses)
		return
	}
	var body struct {
		Prompt    string
		MaxTokens int `json:"max_tokens"`
		Stream    bool
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	texts := emulator.Completion(model, "", body.Prompt, body.MaxTokens)
	switch d.fault {
	case "refuse":
		w.Header().Set("Cowslip-Outcome", "refused")
		w.Header().Set("Cowslip-Reason", "overloaded")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("{}"))
		return
	case "late":
		time.Sleep(50 * time.Millisecond)
	case "wrong token":
		texts[1] = " x"
	case "duplicate":
		texts = append(texts[:1], texts...)
	case "truncate":
		texts = texts[:len(texts)-1]
	}
	if !body.Stream {
		w.Header().Set("Cowslip-Outcome", "done")
		_ = json.NewEncoder(w).Encode(map[string]any{"choices": []any{map[string]string{"text": strings.Join(texts, "")}}})
		return
	}
	w.Header().Set("Trailer", "Cowslip-Outcome")
	for i, text := range texts {
		if d.fault == "disconnect" && i == 2 {
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", text)
	}
	if d.fault != "unterminated" {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
	w.Header().Set("Cowslip-Outcome", "done")
}

// Guards against a report that counts wrong, truncated or late responses as completed
// before the deadline, or that loses the reason of a refusal.
func TestResults(t *testing.T) {
	for _, c := range []struct {
		fault                                 string
		streamed                              float64
		done, refused, unknown, wrong, inTime int
	}{
		{"none", 1, 20, 0, 0, 0, 20},
		{"none", 0, 20, 0, 0, 0, 20},
		{"refuse", 1, 0, 20, 0, 0, 0},
		{"refuse", 0, 0, 20, 0, 0, 0},
		{"wrong token", 1, 20, 0, 0, 20, 0},
		{"wrong token", 0, 20, 0, 0, 20, 0},
		{"duplicate", 1, 20, 0, 0, 20, 0},
		{"truncate", 1, 20, 0, 0, 20, 0},
		{"unterminated", 1, 20, 0, 0, 20, 0},
		{"disconnect", 1, 0, 0, 20, 0, 0},
		{"late", 1, 20, 0, 0, 0, 0},
	} {
		t.Run(fmt.Sprint(c.fault, c.streamed), func(t *testing.T) {
			d := driller.Driller{
				SeedAddresses: []netip.AddrPort{newDaemon(t, c.fault).address}, Customers: []driller.Customer{{Name: "a", Key: "a", Weight: 1}, {Name: "b", Key: "b", Weight: 1}},
				Model: model, Rate: 1000, Duration: 10 * time.Second, MaxRequests: 20, PromptTokens: 8, CompletionTokens: 4,
				StreamedShare: c.streamed, Deadline: 10 * time.Second, Seed: 7,
			}
			if c.fault == "late" {
				d.Deadline = 20 * time.Millisecond
			}
			report, err := d.Run(context.Background())
			require.NoError(t, err)
			all := report.All
			require.Equal(t, []int{20, c.done, c.refused, c.unknown, c.wrong, c.inTime},
				[]int{all.Sent, all.Done, all.Refused[cowslipproxy.ReasonOverloaded], all.Unknown, all.Wrong, all.InTime})
			require.Equal(t, 20, report.Customers[0].Sent+report.Customers[1].Sent)
			require.Positive(t, report.Customers[0].Sent*report.Customers[1].Sent)
			require.NoError(t, report.WriteText(&strings.Builder{}))
		})
	}
}

// Guards against a load test that starts with a field out of range or without a limit.
func TestCheck(t *testing.T) {
	valid := driller.Driller{
		SeedAddresses: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Customers: []driller.Customer{{Weight: 1}},
		Rate: 1, Duration: time.Second, PromptTokens: 1, CompletionTokens: 1, Deadline: time.Second,
	}
	require.NoError(t, valid.Check())
	for field, change := range map[string]func(*driller.Driller){
		"rate": func(d *driller.Driller) { d.Rate = 0 }, "duration": func(d *driller.Driller) { d.Duration = 2 * time.Hour },
		"count": func(d *driller.Driller) { d.MaxRequests = 2_000_000 }, "deadline": func(d *driller.Driller) { d.Deadline = 0 },
		"customers": func(d *driller.Driller) { d.Customers = []driller.Customer{{}} }, "streamed": func(d *driller.Driller) { d.StreamedShare = 2 },
	} {
		invalid := valid
		change(&invalid)
		require.ErrorContains(t, invalid.Check(), field)
	}
}
