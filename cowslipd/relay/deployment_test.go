package relay_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/cowslipd/relay"
	"github.com/cowslipproxy/cowslipproxy/loader"
	"github.com/cowslipproxy/cowslipproxy/platform"
	"github.com/cowslipproxy/cowslipproxy/standin/binder"
	"github.com/cowslipproxy/cowslipproxy/standin/keeper"
	"github.com/cowslipproxy/cowslipproxy/standin/worker"
)

// Bounds that the platform's documentation states for deployments.
const (
	drainBound      = 2 * time.Second
	configBound     = 2 * time.Second
	disconnectBound = 500 * time.Millisecond // after a caller disconnected
	grace           = 8 * time.Second
	waitLimit       = 15 * time.Second
)

const (
	apiKey          = "key-of-clerks"
	host            = "calls.example"
	layers          = keeper.SampleLayers
	feesPath        = "/fees/"    // prefix of the route of unsafe requests
	readsPath       = "/reads/"   // prefix of the route of idempotent requests
	lettersPath     = "/letters/" // prefix of the route of streams
	smallKindLayers = 4           // layers that fit into the memory of the small accelerator kind
)

// deployment is a set of daemons with a stand-in of the platform.
type deployment struct {
	t       *testing.T
	store   *keeper.Store
	fleet   *worker.Fleet
	address netip.AddrPort // of the store
	daemons []*daemon
	version int                      // of the latest configuration
	seeds   []netip.AddrPort         // of the daemons that startFleet starts
	floor   int                      // retries that are allowed at any load
	peers   cowslipproxy.PeerNetwork // network of the daemons that are started next; nil for TCP
	rate    int                      // bytes per second that each daemon can send to other daemons; 0 for no limit
	ids     atomic.Int64             // id of the latest request

	clockOffset atomic.Int64  // nanoseconds by which the daemons' clocks are ahead
	startOffset time.Duration // by which the clocks of the daemons that are started next are ahead as well
}

type daemon struct {
	settings loader.RelaySettings
	stop     context.CancelFunc // begins a graceful shutdown, as SIGTERM does
	done     chan error
}

func freeAddress(t *testing.T) netip.AddrPort {
	address, err := binder.FreeAddress()
	require.NoError(t, err)
	return address
}

// retryFloor is the number of retries that tests allow at any load. It is so large
// that the part of each daemon suffices for a test.
const retryFloor = 2000

// deploy starts a store, two ledger servers, scribe engines for two complete
// chains, and daemons.
func deploy(t *testing.T, daemons int) *deployment { return deployWithFloor(t, daemons, retryFloor) }

// deployWithFloor deploys with the given floor of the retry budget.
func deployWithFloor(t *testing.T, daemons, floor int) *deployment {
	d := &deployment{t: t, store: &keeper.Store{}, floor: floor}
	server := httptest.NewServer(d.store.Handler())
	t.Cleanup(server.CloseClientConnections)
	d.address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	d.fleet = &worker.Fleet{Store: d.store}
	t.Cleanup(d.fleet.Close)
	for range 2 {
		d.startServer("ledger", "")
	}
	for range 2 * layers / smallKindLayers {
		d.startServer("scribe", "small")
	}
	d.publish(d.configuration())
	var seeds []netip.AddrPort
	for range daemons {
		settings := d.settings()
		seeds = append(seeds, settings.Peers)
		settings.Seeds = seeds
		d.startDaemon(settings)
	}
	for _, node := range d.daemons {
		d.awaitReady(node)
	}
	return d
}

func (d *deployment) startServer(service, kind string) *worker.Server {
	server, err := d.fleet.Start(worker.Settings{Service: service, Zone: "a", AcceleratorKind: kind})
	require.NoError(d.t, err)
	return server
}

func (d *deployment) settings() loader.RelaySettings {
	settings := loader.RelayDefaults()
	settings.Name = "vm-" + strconv.Itoa(len(d.daemons))
	settings.Centre = "a"
	settings.Callers, settings.Ready, settings.Directory, settings.Peers = freeAddress(d.t), freeAddress(d.t), freeAddress(d.t), freeAddress(d.t)
	settings.Store = d.address
	settings.Floor = float64(d.floor)
	settings.Metrics = freeAddress(d.t).Port()
	settings.Grace = cowslipproxy.Duration(grace)
	return settings
}

func (d *deployment) startDaemon(settings loader.RelaySettings) *daemon {
	ctx, cancel := context.WithCancel(context.Background())
	node := &daemon{settings: settings, stop: cancel, done: make(chan error, 1)}
	offset := d.startOffset
	daemonProcess := &relay.Daemon{
		Settings: settings,
		Platform: platform.Open(settings.Store, relay.Transport(true), relay.Transport(false)),
		Clock:    func() time.Time { return time.Now().Add(time.Duration(d.clockOffset.Load()) + offset) },
		Logger:   logger(),
		Metrics:  metrics.NewRegistry(),
	}
	daemonProcess.PeerNetwork = d.peers
	if d.rate > 0 {
		daemonProcess.PeerNetwork = newLink(d.rate)
	}
	go func() {
		err := daemonProcess.Run(ctx)
		if err != nil && ctx.Err() == nil {
			d.t.Errorf("daemon %s ended early: %v", settings.Name, err)
		}
		node.done <- err
	}()
	d.daemons = append(d.daemons, node)
	d.t.Cleanup(cancel)
	return node
}

// awaitReady waits until a daemon is ready and all layers are loaded.
func (d *deployment) awaitReady(node *daemon) {
	require.Eventually(d.t, func() bool {
		response, err := http.Get("http://" + node.settings.Ready.String() + "/api/ready")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, waitLimit, 20*time.Millisecond)
	require.Eventually(d.t, func() bool {
		return d.send(node, call{path: lettersPath + "warm", tokens: 1}).status == http.StatusOK
	}, waitLimit, 50*time.Millisecond)
}

// configuration returns a configuration in the platform's format.
func (d *deployment) configuration() map[string]any {
	data, err := keeper.SampleConfiguration(1, apiKey)
	require.NoError(d.t, err)
	var configuration map[string]any
	require.NoError(d.t, json.Unmarshal(data, &configuration))
	return configuration
}

func (d *deployment) publish(configuration map[string]any) {
	d.version += 3
	configuration["version"] = d.version
	data, err := json.Marshal(configuration)
	require.NoError(d.t, err)
	d.store.Publish(data)
}

// call is a caller's request. Empty fields get default values. The API key "none"
// and a negative wait omit the header.
type call struct {
	method, path, apiKey, body string
	tokens                     int
	lastEventID                string
	wait                       time.Duration // time to the caller's deadline
	slowBody                   io.Reader     // sent in chunks instead of body if it is set
	header                     http.Header
	ctx                        context.Context
}

// result is the response that a caller received.
type result struct {
	id     string
	status int
	header http.Header
	body   string
	took   time.Duration // set by some tests
	framed bool          // the response has a length or chunks, so that its regular end means that it is complete
	err    error         // the caller got no response or an incomplete one
}

func (d *deployment) send(to *daemon, c call) result {
	id := fmt.Sprintf("%016x", d.ids.Add(1))
	if c.ctx == nil {
		c.ctx = context.Background()
	}
	if c.method == "" {
		c.method = http.MethodPost
	}
	body := c.slowBody
	if body == nil {
		body = bytes.NewReader([]byte(c.body))
	}
	request, err := http.NewRequestWithContext(c.ctx, c.method, "http://"+to.settings.Callers.String()+c.path, body)
	require.NoError(d.t, err)
	request.Host = host
	for name, values := range c.header {
		request.Header[name] = values
	}
	request.Header.Set("X-Request-Id", id)
	if c.apiKey != "none" {
		request.Header.Set("Authorization", "Bearer "+apiKey)
	}
	if c.apiKey != "" && c.apiKey != "none" {
		request.Header.Set("Authorization", "Bearer "+c.apiKey)
	}
	if c.wait == 0 {
		c.wait = 4 * time.Second
	}
	if c.wait > 0 {
		request.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.wait.Milliseconds(), 10))
	}
	if c.tokens > 0 {
		request.Header.Set("X-Model", "m0")
		request.Header.Set("X-Token-Usage", "1,"+strconv.Itoa(c.tokens))
	}
	if c.lastEventID != "" {
		request.Header.Set("Last-Event-Id", c.lastEventID)
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return result{id: id, err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return result{id: id, status: response.StatusCode, header: response.Header, body: string(text), framed: cowslipproxy.IsFramed(response), err: err}
}

// enginesAt returns the engines whose layer range begins at the given layer.
func (d *deployment) enginesAt(first int) (found []*worker.Server) {
	for _, server := range d.fleet.Servers("scribe") {
		if from, _ := server.Layers(); from == first {
			found = append(found, server)
		}
	}
	return found
}

// startStreams starts streams of 150 events each, distributed over the daemons. It
// returns a function that waits for their ends and checks that they are complete.
func (d *deployment) startStreams(count int) (wait func() []result) {
	const eventCount = 150
	var group sync.WaitGroup
	results := make([]result, count)
	for i := range results {
		group.Go(func() {
			results[i] = d.send(d.daemons[i%len(d.daemons)], call{path: lettersPath + "1", tokens: eventCount, wait: 20 * time.Second})
		})
	}
	return func() []result {
		group.Wait()
		for _, got := range results {
			require.NoError(d.t, got.err)
			require.Equal(d.t, streamBody(got.id, 1, eventCount), got.body)
		}
		return results
	}
}

// awaitSync waits for the time within which all daemons must have the current
// contents of the store.
func (d *deployment) awaitSync() { time.Sleep(drainBound) }

// streamBody returns the events with the given numbers of a request's stream.
func streamBody(id string, from, to int) string {
	var text strings.Builder
	for number := from; number <= to; number++ {
		text.WriteString(worker.Event(id, number))
	}
	return text.String()
}

// logger returns a logger that writes to standard output if COWSLIP_LOG is set.
func logger() *slog.Logger {
	if os.Getenv("COWSLIP_LOG") == "" {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(slog.NewJSONHandler(os.Stdout, nil))
}
