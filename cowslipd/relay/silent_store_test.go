package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/gossiper"
	"github.com/cowslipproxy/cowslipproxy/sharer"
	"github.com/cowslipproxy/cowslipproxy/waiter"
)

// silenceBound is the time after which a daemon whose connections to the store went silent is in
// touch with it again.
const silenceBound = 3 * time.Second

// silentLink forwards connections to the store and can make the open ones silent.
type silentLink struct {
	address netip.AddrPort
	store   string

	mu     sync.Mutex
	silent []*atomic.Bool // for each connection
}

func (d *deployment) openSilentLink() *silentLink {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(d.t, err)
	d.t.Cleanup(func() { listener.Close() })
	l := &silentLink{address: netip.MustParseAddrPort(listener.Addr().String()), store: d.address.String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn)
		}
	}()
	return l
}

func (l *silentLink) forward(conn net.Conn) {
	store, err := net.Dial("tcp", l.store)
	if err != nil {
		conn.Close()
		return
	}
	silent := &atomic.Bool{}
	l.mu.Lock()
	l.silent = append(l.silent, silent)
	l.mu.Unlock()
	go pass(conn, store, silent)
	pass(store, conn, silent)
}

// pass copies until a connection ends, and drops what arrives while they are silent.
func pass(to, from net.Conn, silent *atomic.Bool) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (l *silentLink) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, silent := range l.silent {
		silent.Store(true)
	}
}

// startSharer starts a stand-in for a reader that sends shares to all daemons until stop is called,
// and then is like a frozen one.
func (d *deployment) startSharer() (stop func()) {
	address := freeAddress(d.t)
	listener, err := net.Listen("tcp", address.String())
	require.NoError(d.t, err)
	reader := &gossiper.Gossiper{
		Self:     cowslipproxy.Owner{Name: "sharer", Incarnation: 1},
		Hello:    cowslipproxy.Hello{Caller: freeAddress(d.t), Peer: address, Centre: "a", LinkMbps: 1000},
		Listener: listener, Logger: logger(),
		OnShare: func([]byte) ([]byte, error) { return nil, context.DeadlineExceeded },
	}
	reader.SetListed([]cowslipproxy.VM{{Name: "seed", Role: cowslipproxy.VMEntry, Address: d.daemons[0].settings.Peers, State: cowslipproxy.VMLive}})
	ctx, cancel := context.WithCancel(context.Background())
	sharing, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { _ = reader.Run(ctx) }) // ends with the test
	share, err := json.Marshal(sharer.Share{From: "sharer", ConfigurationVersion: uint64(d.version)})
	require.NoError(d.t, err)
	for _, node := range d.daemons {
		group.Go(func() {
			for waiter.Wait(sharing, sharer.ShareInterval/2) {
				_, _ = reader.SendShare(sharing, node.settings.Peers.String(), share) // daemons may not know this one yet
			}
		})
	}
	d.t.Cleanup(func() { cancel(); group.Wait() })
	return stop
}

// startBehind starts daemons that call the store over a link.
func (d *deployment) startBehind(link *silentLink, daemons int) {
	for range daemons {
		settings := d.settings()
		settings.Store = link.address
		for _, node := range d.daemons {
			settings.Seeds = append(settings.Seeds, node.settings.Peers)
		}
		d.startDaemon(settings)
	}
	for _, node := range d.daemons {
		d.awaitReady(node)
	}
}

// awaitMembers waits until all daemons know the given number of ready ones.
func (d *deployment) awaitMembers(count int) {
	for _, node := range d.daemons {
		require.Eventually(d.t, func() bool { return d.membersOf(node) == count }, waitLimit, 100*time.Millisecond)
	}
}

// Guards against daemons that take a silent connection to the store for one without changes, while the daemon that reads for them is frozen.
func TestSilentStoreConnectionsAreDetectedInTime(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{4, 15} {
		for _, frozenFor := range []time.Duration{0, 4 * time.Second} {
			t.Run(fmt.Sprintf("%d/frozen for %v", daemons, frozenFor), func(t *testing.T) {
				t.Parallel()
				d := deploy(t, 0)
				link := d.openSilentLink()
				d.startBehind(link, daemons)
				freeze := d.startSharer()
				d.awaitMembers(daemons + 1)
				time.Sleep(settleTime)
				freeze()
				time.Sleep(frozenFor)
				link.silence()
				due := time.Now().Add(silenceBound)
				time.Sleep(500 * time.Millisecond)
				d.publish(d.configuration())
				time.Sleep(time.Until(due))
				for _, node := range d.daemons {
					require.EqualValues(t, d.version, d.dump(node).Version, node.settings.Name)
				}
			})
		}
	}
}
