package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy/standin/worker"
)

const (
	// lastTaken is the time after SIGTERM from which on a request that is sent must not be
	// cut, however long its upstream takes.
	lastTaken = 3 * time.Second
	longWork  = 20 * time.Second // exceeds the grace time
)

// stoppingSizes are the numbers of daemons of which one stops.
var stoppingSizes = []int{1, 4}

// deployPatient deploys daemons whose routes let requests wait for longer than the grace
// time. It returns the daemon that is going to stop.
func deployPatient(t *testing.T, daemons int, target time.Duration) (*deployment, *daemon) {
	d := deploy(t, daemons)
	configuration := d.configuration()
	for _, route := range configuration["routes"].([]any) {
		route.(map[string]any)["timeout_ms"] = longWork.Milliseconds()
		route.(map[string]any)["target_latency_ms"] = target.Milliseconds()
	}
	d.publish(configuration)
	time.Sleep(configBound)
	return d, d.daemons[0]
}

// requireRefused checks that a request was refused and has not run.
func (d *deployment) requireRefused(got result) {
	require.NoError(d.t, got.err)
	require.Equal(d.t, http.StatusServiceUnavailable, got.status, got.body)
	require.NotEmpty(d.t, got.header.Get("Retry-After"))
	require.Empty(d.t, d.fleet.RunsOf(got.id))
}

// delayedReader waits before it returns its text.
type delayedReader struct {
	until time.Time
	rest  io.Reader
}

func (r *delayedReader) Read(data []byte) (int, error) {
	time.Sleep(time.Until(r.until))
	return r.rest.Read(data)
}

// Guards against a request that is passed on late in the grace time because its body was slow.
func TestRequestWithSlowBodyIsRefusedLateInGrace(t *testing.T) {
	t.Parallel()
	for _, daemons := range stoppingSizes {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			t.Parallel()
			d, stopping := deployPatient(t, daemons, time.Second)
			begin := time.Now()
			stopping.stop()
			time.Sleep(lastTaken / 2)
			var group sync.WaitGroup
			for _, path := range []string{feesPath, readsPath, lettersPath} {
				group.Go(func() {
					rest := &delayedReader{begin.Add(lastTaken + 500*time.Millisecond), strings.NewReader("rest")}
					d.requireRefused(d.send(stopping, call{path: path + "1", tokens: 3, slowBody: io.MultiReader(strings.NewReader("begin"), rest)}))
				})
			}
			group.Wait()
		})
	}
}

// Guards against queued streams that are passed on late in the grace time.
func TestQueuedStreamIsRefusedLateInGrace(t *testing.T) {
	t.Parallel()
	for _, daemons := range stoppingSizes {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			t.Parallel()
			d, stopping := deployPatient(t, daemons, 5*time.Second)
			begin := time.Now()
			stopping.stop()
			time.Sleep(lastTaken / 2)
			for _, engine := range d.enginesAt(0) {
				engine.SetFault(worker.FaultStall)
			}
			time.AfterFunc(lastTaken+500*time.Millisecond-time.Since(begin), func() {
				for _, engine := range d.enginesAt(0) {
					engine.SetFault(worker.FaultNone)
				}
			})
			refused := d.sendWhileStopping(stopping, begin, 20)
			require.Positive(t, refused, "no request was queued")
		})
	}
}

// sendWhileStopping sends streams and checks that each is complete, or is refused in time
// and not run. It returns the number of refused ones.
func (d *deployment) sendWhileStopping(stopping *daemon, begin time.Time, count int) (refused int) {
	var group sync.WaitGroup
	results := make([]result, count)
	for i := range results {
		group.Go(func() {
			results[i] = d.send(stopping, call{path: lettersPath + "1", tokens: 5, wait: longWork})
			results[i].took = time.Since(begin)
		})
	}
	group.Wait()
	for _, got := range results {
		if got.status == http.StatusOK {
			require.Equal(d.t, streamBody(got.id, 1, 5), got.body)
			require.Less(d.t, d.fleet.RunsOf(got.id)[0].At.Sub(begin), lastTaken)
			continue
		}
		refused++
		d.requireRefused(got)
		require.Less(d.t, got.took, lastTaken+500*time.Millisecond, "it is known for some time that the request is refused")
	}
	return refused
}

// Guards against streams that wait for a path and are passed on late in the grace time.
func TestStreamWithoutPathIsRefusedLateInGrace(t *testing.T) {
	t.Parallel()
	for _, daemons := range stoppingSizes {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			t.Parallel()
			d, stopping := deployPatient(t, daemons, 5*time.Second)
			for _, engine := range d.fleet.Servers("scribe") {
				engine.Leave()
			}
			time.Sleep(time.Second)
			begin := time.Now()
			stopping.stop()
			time.AfterFunc(lastTaken, func() {
				for range 2 * layers / smallKindLayers {
					d.startServer("scribe", "small")
				}
			})
			time.Sleep(lastTaken / 2)
			require.Equal(t, 5, d.sendWhileStopping(stopping, begin, 5))
		})
	}
}

// Guards against requests that a stop cuts without a final answer while their upstream is at work.
func TestRequestsAtWorkAtEndOfGraceGetFinalAnswer(t *testing.T) {
	t.Parallel()
	for _, daemons := range stoppingSizes {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			t.Parallel()
			d, stopping := deployPatient(t, daemons, longWork)
			work := func(id, _ string) string { time.Sleep(longWork); return rejection(id, "500 Internal Server Error", "") }
			for _, server := range append(d.fleet.Servers("ledger"), d.enginesAt(0)...) {
				server.SetScript(work)
			}
			begin := time.Now()
			time.AfterFunc(time.Second, stopping.stop)
			var group sync.WaitGroup
			for i := range 60 {
				path := []string{feesPath, readsPath, lettersPath}[i%3]
				time.Sleep(50 * time.Millisecond)
				group.Go(func() {
					got := d.send(stopping, call{path: fmt.Sprint(path, i), tokens: 3, wait: longWork})
					require.NoError(t, got.err)
					require.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable}, got.status, got.body)
					if got.status == http.StatusServiceUnavailable {
						d.requireRefused(got)
						require.Equal(t, lettersPath, path, "only streams are queued")
					}
				})
			}
			group.Wait()
			require.NoError(t, <-stopping.done)
			require.Less(t, time.Since(begin), time.Second+grace)
		})
	}
}

// Guards against a stream that a stop cuts and that looks complete.
func TestStreamInProgressAtEndOfGraceIsBrokenOff(t *testing.T) {
	t.Parallel()
	d, stopping := deployPatient(t, 1, time.Second)
	time.AfterFunc(100*time.Millisecond, stopping.stop)
	got := d.send(stopping, call{path: lettersPath + "1", tokens: 5000, wait: longWork})
	require.Equal(t, http.StatusOK, got.status)
	require.Error(t, got.err)
	require.True(t, strings.HasPrefix(streamBody(got.id, 1, 5000), got.body), "a partial event was sent to the caller")
	require.NoError(t, <-stopping.done)
}
