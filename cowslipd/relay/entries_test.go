package relay_test

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// oddEntries returns entries of the list that no server writes.
func oddEntries() (entries []string) {
	whole := map[string]string{
		"service": `"ledger"`, "address": `"127.0.0.1:1"`, "zone": `"a"`, "state": `"ready"`, "slots": "6",
		"cold_remaining_ms": "0", "sequence": "1", "born": strconv.FormatInt(time.Now().UnixMilli(), 10),
	}
	nested := strings.Repeat(`{"a":[`, 5_500) + strings.Repeat("]}", 5_500) // deeper than encoding/json decodes
	odd := map[string][]string{
		"service":           {`"scribe"`, "null", nested},
		"address":           {`"127.0.0.1:70000"`, `"127.0.0.1:-1"`, `"127.0.0.1:0"`, `"[::1%lo]:1"`, "1e400"},
		"slots":             {"9000000000000000000", "-9000000000000000000", "1e400"},
		"cold_remaining_ms": {"1e308", "-1e308", "1e400"},
		"sequence":          {"18446744073709551615", "-1", "1e400"},
		"born":              {"9000000000000000000", "-9000000000000000000", "9000000000000000", "-9000000000000000", "1e400"},
		"layers":            {`{"from":-3,"target":4}`, `{"from":0,"target":9000000000000000000}`, `{"from":-9000000000000000000,"target":9000000000000000000}`, `[[]]`, nested},
		"models":            {nested, `[{"name":7}]`},
		"unknown":           {nested},
	}
	for field, values := range odd {
		for _, value := range values {
			for _, service := range []string{`"ledger"`, `"scribe"`} {
				fields := []string{fmt.Sprintf("%q:%s", field, value)}
				for name, usual := range whole {
					if name == "service" {
						usual = service
					}
					if name != field {
						fields = append(fields, fmt.Sprintf("%q:%s", name, usual))
					}
				}
				entries = append(entries, "{"+strings.Join(fields, ",")+"}")
			}
		}
	}
	return append(entries, nested, "\x00\xff", "1e400")
}

// Guards against entries of another writer that end daemons or stop them from following the list.
func TestOddEntriesDoNotStopDaemons(t *testing.T) {
	for _, daemons := range deploymentSizes {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			d := deploy(t, daemons)
			time.Sleep(settleTime)
			calls := d.store.Calls("/api/log-read")
			for i, entry := range oddEntries() {
				d.store.Put("keyed.servers", "odd-"+strconv.Itoa(i), []byte(entry))
			}
			d.awaitSync()
			require.Equal(t, 4*daemons, d.countServed(4))
			d.replaceServers("ledger")
			d.awaitSync()
			require.Equal(t, 4*daemons, d.countServed(4))
			require.Less(t, d.store.Calls("/api/log-read")-calls, 4*readerCalls, "daemons read the store for themselves")
		})
	}
}

// Guards against an entry of another writer under the key of a live server that replaces the entries of that server for good.
func TestOddEntryOfLiveServerDoesNotLast(t *testing.T) {
	t.Parallel()
	d := deploy(t, 4)
	for _, entry := range oddEntries() {
		var decoded map[string]any
		if err := json.Unmarshal([]byte(entry), &decoded); err == nil && decoded["service"] != "ledger" {
			continue
		}
		for _, server := range d.fleet.Servers("ledger") {
			d.store.Put("keyed.servers", server.ID, []byte(entry))
		}
	}
	d.awaitSync()
	require.Equal(t, 16, d.countServed(4))
}
