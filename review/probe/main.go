// Command probe runs the cases of the review that are scripts: it starts stand-ins of the
// platform, of servers and of clients, and the daemons as separate processes.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

const host = "calls.example"

// probe is a small deployment under test.
type probe struct {
	root, folder string // of the repository, and for temporary files
	trouble      bool
	begin        time.Time

	mu       sync.Mutex
	record   *os.File
	daemons  []*daemon
	stopping []func()
}

// check ends the program if the case can't run.
func check(err error) {
	if err != nil {
		panic(failure{err})
	}
}

type failure struct{ error }

// logf writes a line to the record.
func (p *probe) logf(format string, values ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(p.begin).Seconds(), fmt.Sprintf(format, values...))
	_, _ = p.record.WriteString(line)
}

// onStop registers a function that is called at the end.
func (p *probe) onStop(stop func()) { p.stopping = append(p.stopping, stop) }

func (p *probe) end() {
	for _, d := range p.daemons {
		d.kill()
	}
	for _, stop := range p.stopping {
		stop()
	}
	_ = os.RemoveAll(p.folder) // what is left is in the system's temporary folder
}

type route struct {
	name, prefix, kind, service string
}

func (r route) isStream() bool { return r.kind == "streaming" }

func (r route) attempts() int {
	if r.isStream() {
		return 2
	}
	return 1
}

func (r route) timeout() time.Duration {
	if r.isStream() {
		return 20 * time.Second
	}
	return time.Second
}

func (r route) target() time.Duration {
	if r.isStream() {
		return 500 * time.Millisecond
	}
	return 100 * time.Millisecond
}

type tenant struct {
	name string
	keys []string
}

// configuration returns a configuration in the platform's format.
func configuration(version int, routes []route, services []string, tenants []tenant) []byte {
	config := map[string]any{
		"version": version,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	var encoded, declared []any
	for _, r := range routes {
		encoded = append(encoded, map[string]any{
			"name": r.name, "host": host, names["prefix"]: r.prefix, "kind": r.kind, "service": r.service, "attempts": r.attempts(), "timeout_ms": r.timeout().Milliseconds(),
			names["target"]: r.target().Milliseconds(), "priority": 1, "public": false, "resumable": r.isStream(), "gap_target_ms": 200,
		})
	}
	for _, service := range services {
		fields := map[string]any{"name": service, "health_path": "/healthz", "max_connections": 214}
		if service == engineService {
			fields["engine"] = json.RawMessage(engineProfile)
		}
		declared = append(declared, fields)
	}
	config["routes"], config["services"] = encoded, declared
	all := []any{}
	for _, t := range tenants {
		all = append(all, map[string]any{"name": t.name, names["keys"]: t.keys})
	}
	config["tenants"] = all
	data, err := json.Marshal(config)
	check(err)
	return data
}

// engineService is the service whose servers are engines.
const engineService = "scribe"

var cases = map[string]func(p *probe) (broken bool){}

func main() { os.Exit(runCase()) }

func runCase() (code int) {
	root := flag.String("root", ".", "`folder` of the repository")
	record := flag.String("record", "record.txt", "`file` for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption takes place")
	flag.Parse()
	run, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		return exitFailed
	}
	p := &probe{trouble: *trouble, begin: time.Now()}
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		fmt.Fprintln(os.Stderr, "the case could not run:", cause)
		code = exitFailed
	}()
	var err error
	p.root, err = filepath.Abs(*root)
	check(err)
	p.record, err = os.Create(*record)
	check(err)
	defer p.record.Close()
	p.folder, err = os.MkdirTemp("", "probe")
	check(err)
	defer p.end()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		p.end()
		os.Exit(exitFailed)
	}()
	if run(p) {
		p.logf("RESULT: the rule is broken")
		return exitBroken
	}
	p.logf("RESULT: the rule held")
	return exitHeld
}
