//go:build linux && !race

package relay_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startProgram starts a built daemon with the settings of the smallest VM and one processor, and
// returns its process ID.
func (d *deployment) startProgram() (node *daemon, pid int) {
	return d.startLimited(buildProgram(d.t), smallVM>>20, "unlimited")
}

// buildProgram builds cowslipd and returns its path.
func buildProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "cowslipd")
	output, err := exec.Command("go", "build", "-o", program, "github.com/cowslipproxy/cowslipproxy/cowslipd").CombinedOutput()
	require.NoError(t, err, string(output))
	return program
}

// startLimited starts a built daemon with a memory setting, one processor and a limit of open
// descriptors, and returns its process ID.
func (d *deployment) startLimited(program string, memoryMB float64, descriptors string) (node *daemon, pid int) {
	t := d.t
	settings := d.settings()
	settings.MemoryMB = memoryMB
	data, err := json.Marshal(settings)
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(file, data, 0o600))
	command := exec.Command(program, "relay", "-settings", file)
	if descriptors != "unlimited" {
		command = exec.Command("sh", "-c", `ulimit -n "$0" && exec "$@"`, descriptors, program, "relay", "-settings", file)
	}
	command.Env = append(os.Environ(), "GOMAXPROCS=1")
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill() // an error means that it has ended
		_ = command.Wait()         // as above
	})
	return &daemon{settings: settings}, command.Process.Pid
}

// residentMemory returns the memory of a process, without socket buffers, in bytes.
func residentMemory(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// receiveBuffers returns the number of bytes that wait in connections to a port on this machine.
func receiveBuffers(port uint16) (total int64) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	remote := fmt.Sprintf(":%04X", port)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasSuffix(fields[2], remote) {
			continue
		}
		if _, queued, ok := strings.Cut(fields[4], ":"); ok {
			if size, err := strconv.ParseInt(queued, 16, 64); err == nil {
				total += size
			}
		}
	}
	return total
}

// peakMemory samples the memory of a process and of its connections to a port until stop is
// called, and returns the largest sum in bytes.
func peakMemory(pid int, port uint16) (stop func() int64) {
	return peakOf(func() int64 { return residentMemory(pid) + receiveBuffers(port) })
}

// peakOf samples a value until stop is called, and returns the largest one.
func peakOf(sample func() int64) (stop func() int64) {
	done, result := make(chan struct{}), make(chan int64)
	go func() {
		var peak int64
		for {
			peak = max(peak, sample())
			select {
			case <-done:
				result <- peak
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	return func() int64 { close(done); return <-result }
}

// Guards against endless replies to many callers that exceed the VM's memory or delay another service.
func TestProcessOutlivesEndlessBytesForManyCallers(t *testing.T) {
	replies := map[string]struct{ head, filler string }{
		"head line":        endlessReplies["head line"],
		"informational":    endlessReplies["informational"],
		"body":             endlessReplies["body"],
		"body with length": endlessReplies["body with length"],
		"chunked body":     endlessReplies["chunked body"],
		"event":            {head: signedHead + "Content-Type: text/event-stream\r\n\r\ndata: ", filler: "filler"},
	}
	for _, callers := range []int{30, 300, 900} {
		for name, reply := range replies {
			for path, service := range map[string]string{feesPath: "ledger", lettersPath: "scribe"} {
				t.Run(fmt.Sprintf("%d/%s/%s", callers, name, service), func(t *testing.T) {
					d := newFleet(t)
					upstream := &endlessServer{head: reply.head, filler: reply.filler}
					port := upstream.start(d, service)
					d.serveOther()
					node, pid := d.startProgram()
					require.Eventually(t, func() bool { return d.send(node, call{path: otherPath}).status == http.StatusOK }, waitLimit, 20*time.Millisecond)
					d.checkProcess(t, node, pid, port, path, callers)
				})
			}
		}
	}
}

// checkProcess sends requests to an endless upstream at once, and others beside them.
func (d *deployment) checkProcess(t *testing.T, node *daemon, pid int, port uint16, path string, callers int) {
	peak := peakMemory(pid, port)
	var group sync.WaitGroup
	var succeeded atomic.Int64
	for range callers {
		group.Go(func() {
			if d.send(node, call{path: path + "1", tokens: 100, wait: time.Second}).status == http.StatusOK {
				succeeded.Add(1)
			}
		})
	}
	var slowest time.Duration
	served := 0
	for range 20 {
		begin := time.Now()
		if d.send(node, call{path: otherPath}).status == http.StatusOK {
			served++
		}
		slowest = max(slowest, time.Since(begin))
	}
	group.Wait()
	memory := peak()
	t.Logf("memory %d MB, %d of 20 others served, slowest %v", memory>>20, served, slowest)
	t.Run("memory", func(t *testing.T) {
		require.Less(t, memory, int64(smallVM))
		require.Zero(t, succeeded.Load())
	})
	t.Run("others", func(t *testing.T) {
		require.Equal(t, 20, served)
		require.Less(t, slowest, otherTarget)
	})
}
