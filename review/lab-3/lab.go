package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Lab is a small deployment: daemons as separate processes, and stand-ins for the store, the servers
// and the requesters in this process.
type Lab struct {
	trouble bool   // the disruption takes place
	folder  string // for settings and logs
	ip      string // loopback address of the run, so that runs at the same time share no port
	port    int    // last one that was given to a process
	store   *Store
	start   time.Time

	mu      sync.Mutex
	log     *bufio.Writer
	servers map[string]*Server // by address
	daemons []*Daemon
	runs    []Run
	sent    map[string]time.Time // when requests were sent, by their ids
}

// Run is a request that a server began to run.
type Run struct {
	Server  *Server
	Request string
	At      time.Time
	Header  http.Header
}

// Daemon is a process of the system.
type Daemon struct {
	lab                                        *Lab
	name, zone                                 string
	front, ready, directory, control, storeURL string
	file                                       string
	seeds                                      []string
	cmd                                        *exec.Cmd
	output                                     *os.File
}

func (l *Lab) now() string { return fmt.Sprintf("%8.3f", time.Since(l.start).Seconds()) }

// record writes a line to the record of the run.
func (l *Lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.log, "%s %s\n", l.now(), fmt.Sprintf(format, args...))
}

func (l *Lab) recordRun(s *Server, r *http.Request) {
	run := Run{s, r.Header.Get(headerID), time.Now(), r.Header.Clone()}
	l.mu.Lock()
	l.runs = append(l.runs, run)
	l.mu.Unlock()
	l.record("run server=%s request=%s path=%s after=%s", s.name, run.Request, r.Header.Get(headerPath), r.Header.Get("Last-Event-Id"))
}

func (l *Lab) serverAt(address string) *Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.servers[address]
}

// addServer starts a server.
func (l *Lab) addServer(s *Server) *Server {
	s.lab = l
	if err := s.start(); err != nil {
		fail("server %s: %v", s.name, err)
	}
	l.mu.Lock()
	l.servers[s.address] = s
	l.mu.Unlock()
	return s
}

// freePort returns a free port of the address of the run. The ports are below those that the system
// gives to other sockets.
func (l *Lab) freePort() string {
	for range 1000 {
		l.port++
		address := net.JoinHostPort(l.ip, strconv.Itoa(l.port))
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	fail("no free port")
	return ""
}

// addDaemons starts daemons, in turn in the zones.
func (l *Lab) addDaemons(count int, zones ...string) {
	listener, err := net.Listen("tcp", l.ip+":0")
	if err != nil {
		fail("store: %v", err)
	}
	go func() { _ = http.Serve(listener, l.store) }()
	for i := range count {
		l.daemons = append(l.daemons, &Daemon{
			lab: l, name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)],
			front: l.freePort(), ready: l.freePort(), directory: l.freePort(), control: l.freePort(), storeURL: listener.Addr().String(),
		})
	}
	var seeds []string
	for _, d := range l.daemons[:min(3, count)] {
		seeds = append(seeds, d.control)
	}
	for _, d := range l.daemons {
		d.seeds = seeds
		d.write(true)
		d.run()
	}
	for _, d := range l.daemons {
		d.awaitReady()
	}
}

// write writes the settings file as the template of the deploy file gives it. The setting first is
// true only when the whole deployment starts for the first time.
func (d *Daemon) write(first bool) {
	list, _ := json.Marshal(d.seeds)
	text := fmt.Sprintf(`name: %q
centre: %q
callers: %q
ready: %q
directory: %q
peers: %q
store: %q
seeds: %s
first: %t
metrics: 0
grace: "8s"
window: "10s"
retries: 0.2
floor: 424
link: 700.0
memory: 206
descriptors: 2940
`, d.name, d.zone, d.front, d.ready, d.directory, d.control, d.storeURL, list, first)
	d.file = filepath.Join(d.lab.folder, d.name+".yaml")
	if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
}

// run starts the process with the command of the deploy file.
func (d *Daemon) run() {
	output, err := os.OpenFile(filepath.Join(d.lab.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	d.output = output
	d.cmd = exec.Command("target/cowslipd", "relay")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.lab.folder, "COWSLIPD_SETTINGS=" + d.file, variableBoot + "=" + d.file}
	d.cmd.Stdout, d.cmd.Stderr = output, output
	if err := d.cmd.Start(); err != nil {
		fail("start %s: %v", d.name, err)
	}
}

func (d *Daemon) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + d.ready + pathReady)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *Daemon) awaitReady() {
	for range 200 {
		if d.isReady() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	output, _ := os.ReadFile(d.output.Name())
	lines := strings.Split(strings.TrimSpace(string(output)), "\n")
	fail("%s is not ready: %s", d.name, lines[len(lines)-1])
}

func (d *Daemon) signal(signal syscall.Signal) {
	d.lab.record("signal %v to %s", signal, d.name)
	_ = d.cmd.Process.Signal(signal)
}

func (l *Lab) close() {
	l.killDaemons()
	l.mu.Lock()
	_ = l.log.Flush()
	l.mu.Unlock()
	_ = os.RemoveAll(l.folder)
}

// killDaemons ends all processes that the lab has started.
func (l *Lab) killDaemons() {
	for _, d := range l.daemons {
		if d.cmd != nil {
			_ = d.cmd.Process.Kill()
			_ = d.cmd.Wait()
		}
	}
}

// Answer is what a requester got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Err    error
	Took   time.Duration
}

// Request is a requester attempt.
type Request struct {
	ID, Method, Path, Body string
	Header                 map[string]string
	Timeout                time.Duration
}

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// send sends a request on a new channel to a daemon and records the answer.
func (l *Lab) send(d *Daemon, request Request) Answer {
	begin := time.Now()
	l.mu.Lock()
	l.sent[request.ID] = begin
	l.mu.Unlock()
	answer := exchange(d.front, request)
	answer.Took = time.Since(begin)
	l.record("answer request=%s daemon=%s %s %s status=%d took=%v retry-after=%q error=%v body=%.60q", request.ID, d.name, request.Method, request.Path, answer.Status, answer.Took.Round(time.Millisecond), answer.Header.Get("Retry-After"), answer.Err, answer.Body)
	return answer
}

// text returns the bytes of the request.
func (r Request) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n",
		r.Method, r.Path, host, headerID, r.ID, headerDeadline, r.timeout().Milliseconds(), key)
	for name, value := range r.Header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if r.Method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.Body))
	}
	return text.String() + "\r\n" + r.Body
}

func (r Request) timeout() time.Duration {
	if r.Timeout == 0 {
		return time.Second
	}
	return r.Timeout
}

func exchange(address string, request Request) (answer Answer) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(request.timeout() + time.Second))
	if _, err := io.WriteString(conn, request.text()); err != nil {
		return Answer{Err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: string(body), Err: err}
}

func fail(format string, args ...any) {
	panic(cannotRun(fmt.Sprintf(format, args...)))
}

type cannotRun string

// route is a route as the configuration holds it.
type route map[string]any

func streamRoute(name, prefix, service string) route {
	return route{"name": name, "host": host, fieldPrefix: prefix, "kind": "streaming", "timeout_ms": 20000, fieldTarget: 500, "priority": 1, "service": service, "attempts": 2, "public": false, "session_affinity": true, "resumable": true, "gap_target_ms": 200}
}

func unsafeRoute(name, prefix string) route {
	return route{"name": name, "host": host, fieldPrefix: prefix, "kind": "unsafe", fieldTarget: 100, "priority": 2, "attempts": 1, "public": false}
}

func idempotentRoute(name, prefix string) route {
	return route{"name": name, "host": host, fieldPrefix: prefix, "kind": "idempotent", fieldTarget: 100, "priority": 2, "attempts": 2, "public": false}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 214, "protocol": "h1", "tls": false}
}

func engineService(name string, layers int) map[string]any {
	s := plainService(name)
	s["engine"] = map[string]any{
		"slots": 192, "kv_capacity": 100000, fieldBytes: 459000, "link_mbps": 480000.0, "stride": 2,
		"models": []any{map[string]any{"name": "m0", "pace": 1.0, "load_s": 14.0, "warm_s": 1.0}}, "step_ms": 0.85, "per_seq_ms": 0.00297, "context_per_k": 0.00398,
		"read_per_s": 252000.0, "pairs_per_m": 0.129, "chunk": 512, "report_lag_ms": 200.0, "loads_at_once": 6,
		"delays": []any{}, "usual": map[string]int{"prompt": 772, "answer": 154}, "layers": layers, "layer_mb": 1750.0, "activation_bytes": 22900, "pipe_mbps": 7900.0,
		"kinds": []any{map[string]any{"name": "a100s", "size_mb": 36000.0, "pace": 3.1, "read_factor": 3.2}},
	}
	return s
}

// configure writes a configuration as the operator does.
func (l *Lab) configure(version int, routes []route, services ...map[string]any) {
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", fieldKeys: []string{key}, "priority": 1}},
	})
	l.store.put(topicOp, "config", data)
	l.record("configuration version=%d", version)
}

func newLab(recordFile string, trouble bool) (*Lab, error) {
	folder, err := os.MkdirTemp("", "lab-3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	return &Lab{trouble: trouble, folder: folder, ip: ip, port: 10000 + rand.IntN(10000), store: newStore(), start: time.Now(), log: bufio.NewWriter(file), servers: map[string]*Server{}, sent: map[string]time.Time{}}, nil
}

// hasPart reports whether a prompt has a part.
func hasPart(r *http.Request, part string) bool {
	for _, entry := range strings.Split(r.Header.Get(headerParts), ",") {
		if id, _, _ := strings.Cut(entry, ":"); id == part {
			return true
		}
	}
	return false
}
