// Command stage plays the cases of the review. It starts daemons of the relay as processes, and
// stand-ins for the platform's store, servers and requesters, all on loopback addresses. It exits
// with 1 if the case's rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// stabilityWindow is stability_window_ms of the small sites.
const stabilityWindow = 3 * time.Second

// stage is a running deployment.
type stage struct {
	root    string
	folder  string // temporary
	record  *record
	store   *store
	fleet   *fleet
	daemons []*daemon
	trouble bool
}

// verdict is the result of a case.
type verdict int

const (
	held     verdict = 0
	broken   verdict = 1
	couldNot verdict = 2
)

var cases = map[string]func(*stage) (verdict, error){
	"split":   playSplit,
	"pause":   playPause,
	"parts":   playParts,
	"recover": playRecover,
	"late":    playLate,
}

func main() {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "folder of the repository")
	path := flag.String("record", "record.txt", "file to write the record to")
	flag.Parse()
	os.Exit(int(run(*name, *root, *path)))
}

func run(name, root, path string) verdict {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return couldNot
	}
	folder, err := os.MkdirTemp("", "stage")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer os.RemoveAll(folder)
	s := &stage{root: root, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	if s.record, err = newRecord(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer s.record.close()
	if s.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer s.store.close()
	s.fleet = &fleet{store: s.store, record: s.record}
	defer s.fleet.close()
	defer func() {
		for _, d := range s.daemons {
			d.kill()
		}
		if keep := os.Getenv("KEEP"); keep != "" {
			os.CopyFS(keep, os.DirFS(folder))
		}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	type outcome struct {
		verdict verdict
		err     error
	}
	done := make(chan outcome, 1)
	go func() {
		result, err := play(s)
		done <- outcome{result, err}
	}()
	select {
	case <-stopped:
		return couldNot
	case <-time.After(115 * time.Second):
		s.record.say("the case takes too long")
		return couldNot
	case got := <-done:
		if got.err != nil {
			s.record.say("the case couldn't run: %v", got.err)
			return couldNot
		}
		return got.verdict
	}
}

// startDaemons starts daemons and waits until all are ready and know the servers.
func (s *stage) startDaemons(count int) error {
	var err error
	s.daemons, err = startDaemons(s.root, s.folder, s.store.address, count)
	return err
}

// publish writes the configuration.
func (s *stage) publish(routes, services []map[string]any) error {
	data, err := json.Marshal(map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", wire("keys"): []string{key}, "priority": 1}},
	})
	if err != nil {
		return err
	}
	s.store.put(wire("op"), "config", data)
	return nil
}

// publishModel writes a configuration with a model service, whose streams may be resumed.
func (s *stage) publishModel() error {
	engine := map[string]any{
		"slots": 64, "kv_capacity": 100000, wire("tokensize"): 1000, "link_mbps": 480000.0, "stride": 2, "models": []map[string]any{{"name": "m", "pace": 1.0, "load_s": 2.0, "warm_s": 1.0}},
		"step_ms": 0.85, "per_seq_ms": 0.003, "context_per_k": 0.004, "read_per_s": 252000.0, "pairs_per_m": 0.129, "chunk": 512, "report_lag_ms": 200.0, "loads_at_once": 6,
		"delays": []any{}, "usual": map[string]any{"prompt": 100, "answer": 10}, "layers": layers, "layer_mb": 100.0, "activation_bytes": 22900, "pipe_mbps": 7900.0,
		"kinds": []map[string]any{{"name": "big", "size_mb": 36000.0, "pace": 1.0, "read_factor": 1.0}},
	}
	return s.publish([]map[string]any{{
		"name": "letters", "host": host, wire("prefix"): "/letters/", "kind": "streaming", "timeout_ms": 20000, wire("target"): 500,
		"priority": 1, "service": "model", "attempts": 2, "public": false, "session_affinity": true, "resumable": true, "gap_target_ms": 200,
	}}, []map[string]any{{"name": "model", "health_path": "/healthz", "max_connections": 2000, "protocol": "h1", "tls": false, "engine": engine}})
}

// ruling says whether a rule was broken.
func (s *stage) ruling(rule string, isBroken bool) verdict {
	if isBroken {
		s.record.say("%s broken", rule)
		return broken
	}
	s.record.say("%s held", rule)
	return held
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 214, "protocol": "h1", "tls": false}
}

// restartDaemons kills all daemons and starts them again some time later.
func (s *stage) restartDaemons(down time.Duration) error {
	for _, d := range s.daemons {
		d.kill()
	}
	s.record.add("all daemons are killed")
	time.Sleep(down)
	for _, d := range s.daemons {
		if err := d.restart(s.root, s.folder); err != nil {
			return err
		}
	}
	s.record.add("all daemons are started again")
	return nil
}
