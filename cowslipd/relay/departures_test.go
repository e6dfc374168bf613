package relay_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
	"github.com/cowslipproxy/cowslipproxy/sharer"
	"github.com/cowslipproxy/cowslipproxy/standin/worker"
	"github.com/cowslipproxy/cowslipproxy/waiter"
)

// failingReads is an address of the store at which single reads of the list, or all calls for some
// time, can be made to fail.
type failingReads struct {
	address  netip.AddrPort
	failing  atomic.Bool
	failed   chan struct{}
	refusing atomic.Bool // all calls fail
}

func (d *deployment) openFailingReads() *failingReads {
	f := &failingReads{failed: make(chan struct{}, 1)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("topic") == "keyed.servers" && f.failing.CompareAndSwap(true, false) {
			w.WriteHeader(http.StatusServiceUnavailable)
			f.failed <- struct{}{}
			return
		}
		if f.refusing.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		d.store.Handler().ServeHTTP(w, r)
	}))
	d.t.Cleanup(server.CloseClientConnections)
	f.address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return f
}

// failNext makes the next read of the list fail and waits for it.
func (f *failingReads) failNext() {
	f.failing.Store(true)
	<-f.failed
}

// countRunsOn sends requests to daemons for some time and returns how many reached a server.
func (d *deployment) countRunsOn(server *worker.Server, daemons []*daemon, duration time.Duration) int {
	var reached atomic.Int64
	var group sync.WaitGroup
	for _, node := range daemons {
		group.Go(func() {
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				got := d.send(node, call{path: readsPath + "1", method: http.MethodGet})
				for _, run := range d.fleet.RunsOf(got.id) {
					if run.Server == server.ID {
						reached.Add(1)
					}
				}
			}
		})
	}
	group.Wait()
	return int(reached.Load())
}

// Guards against a removed server that followers keep in use because a single read of their reader failed.
func TestFailedReadOfReaderKeepsNoRemovedServer(t *testing.T) {
	for _, daemons := range deploymentSizes {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			d := deploy(t, daemons)
			reads := d.openFailingReads()
			d.startReader(reads)
			reads.failNext()
			leaving := d.fleet.Servers("ledger")[0]
			leaving.Unlist()
			time.Sleep(drainBound)
			require.Zero(t, d.countRunsOn(leaving, d.daemons, sharer.ShareInterval))
		})
	}
}

// startReader starts a daemon that becomes the reader and calls the store at the given address.
func (d *deployment) startReader(reads *failingReads) *daemon {
	settings := d.settings()
	settings.LinkMbps, settings.Store, settings.Seeds = 1000, reads.address, []netip.AddrPort{d.daemons[0].settings.Peers}
	reader := d.startDaemon(settings)
	d.awaitReady(reader)
	time.Sleep(settleTime)
	require.True(d.t, d.dump(reader).Reader)
	return reader
}

// Guards against a reader that keeps sending requests to a removed server while the store refuses the reader alone.
func TestRefusedReaderUsesNoRemovedServer(t *testing.T) {
	for _, daemons := range deploymentSizes {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			d := deploy(t, daemons)
			reads := d.openFailingReads()
			reader := d.startReader(reads)
			reads.refusing.Store(true)
			leaving := d.fleet.Servers("ledger")[0]
			leaving.Unlist()
			time.Sleep(drainBound)
			require.Zero(t, d.countRunsOn(leaving, []*daemon{reader}, sharer.ShareInterval))
		})
	}
}

// Guards against a removed server that stays in use because the store had refused the reader alone for longer than entries live.
func TestReaderThatWasRefusedKeepsNoRemovedServer(t *testing.T) {
	const refusal = 4 * time.Second
	for _, daemons := range deploymentSizes {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			d := deploy(t, daemons)
			reads := d.openFailingReads()
			d.startReader(reads)
			reads.refusing.Store(true)
			time.Sleep(refusal)
			reads.refusing.Store(false)
			time.Sleep(sharer.ShareInterval)
			leaving := d.fleet.Servers("ledger")[0]
			leaving.Unlist()
			time.Sleep(drainBound)
			require.Zero(t, d.countRunsOn(leaving, d.daemons, sharer.ShareInterval))
		})
	}
}

// startPartialReader starts a stand-in for a reader whose shares without the list arrive, while those
// with it fail.
func (d *deployment) startPartialReader() {
	t := d.t
	address := freeAddress(t)
	listener, err := net.Listen("tcp", address.String())
	require.NoError(t, err)
	reader := &gossiper.Gossiper{
		Self:     cowslipproxy.Owner{Name: "partial", Incarnation: 1},
		Hello:    cowslipproxy.Hello{Caller: freeAddress(t), Peer: address, Centre: "a", LinkMbps: 1000},
		Listener: listener, Logger: logger(),
		OnShare: func([]byte) ([]byte, error) { return nil, errors.New("no list") },
	}
	reader.SetListed([]cowslipproxy.VM{{Name: "seed", Role: cowslipproxy.VMEntry, Address: d.daemons[0].settings.Peers, State: cowslipproxy.VMLive}})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = reader.Run(ctx) }) // ends with the test
	for _, node := range d.daemons {
		group.Go(func() {
			for number := uint64(1); waiter.Wait(ctx, sharer.ShareInterval/2); number++ {
				share, err := json.Marshal(sharer.Share{From: "partial", ListVersion: number, ListPosition: 1 << 20, ConfigurationVersion: 1})
				if err == nil {
					_, _ = reader.SendShare(ctx, node.settings.Peers.String(), share) // daemons may not know this one yet
				}
			}
		})
	}
	t.Cleanup(func() { cancel(); group.Wait() })
}

// Guards against daemons that keep an outdated list because they get shares without the list, but not those with it.
func TestShareWithoutListKeepsNoRemovedServer(t *testing.T) {
	for _, daemons := range deploymentSizes {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			d := deploy(t, daemons)
			d.startPartialReader()
			for _, node := range d.daemons {
				require.Eventually(t, func() bool { return d.membersOf(node) == daemons+1 }, waitLimit, 100*time.Millisecond)
			}
			time.Sleep(settleTime)
			leaving := d.fleet.Servers("ledger")[0]
			leaving.Unlist()
			time.Sleep(drainBound)
			require.Zero(t, d.countRunsOn(leaving, d.daemons, sharer.ShareInterval))
		})
	}
}

// Guards against a daemon that is in no answer because its clock was set back before it started again at the same address.
func TestDaemonWithEarlierClockIsNamedAgain(t *testing.T) {
	for _, daemons := range deploymentSizes {
		t.Run(strconv.Itoa(daemons), func(t *testing.T) {
			d := deploy(t, daemons)
			time.Sleep(settleTime)
			restarted, other := d.daemons[0], d.daemons[1]
			restarted.stop()
			require.NoError(t, <-restarted.done)
			d.startOffset = -time.Minute
			settings := restarted.settings
			settings.Seeds = []netip.AddrPort{other.settings.Peers}
			d.startDaemon(settings)
			named := func() bool { return d.isKnownToAll(settings.Peers, d.daemons[1:daemons]) }
			require.Eventually(t, named, waitLimit, 100*time.Millisecond)
			time.Sleep(2 * settleTime)
			require.True(t, named())
		})
	}
}

// isKnownToAll reports whether a daemon, given by its address for other daemons, is a ready
// member for all the given ones.
func (d *deployment) isKnownToAll(address netip.AddrPort, observers []*daemon) bool {
	for _, observer := range observers {
		isKnown := false
		for _, m := range d.dump(observer).Members {
			isKnown = isKnown || m.Peer == address && !m.Down && !m.Starting && !m.Stopping
		}
		if !isKnown {
			return false
		}
	}
	return true
}
