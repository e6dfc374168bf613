package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

const zone = "oyo-a"

// daemon is a process of the relay, started as the deploy file says.
type daemon struct {
	name, callers, ready, directory, peers string
	command                                *exec.Cmd
	done                                   chan struct{}
}

// freeAddresses returns free addresses with different ports.
func freeAddresses(ip string, count int) (addresses []string) {
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		check(err)
		defer listener.Close() // only once all are known, so that no port is given twice
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)

// render fills in a template of settings, as the platform does.
func render(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		found := placeholder.FindStringSubmatch(text)
		value, ok := fields[found[1]]
		if !ok {
			check(fmt.Errorf("the template has %s, which is not known here", text))
		}
		if found[2] == "" {
			return fmt.Sprint(value)
		}
		data, err := json.Marshal(value)
		check(err)
		return string(data)
	})
}

// start starts daemons that have the given store addresses and awaits that they are ready.
func (p *probe) start(ips, stores []string) {
	template, err := os.ReadFile(filepath.Join(p.root, "deploy", "relay.yaml"))
	check(err)
	var seeds []string
	var daemons []*daemon
	for i, ip := range ips {
		free := freeAddresses(ip, 4)
		d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, i+1), callers: free[0], ready: free[1], directory: free[2], peers: free[3], done: make(chan struct{})}
		seeds = append(seeds, d.peers)
		daemons = append(daemons, d)
	}
	for i, d := range daemons {
		settings := render(string(template), map[string]any{
			"node": d.name, "zone": zone, "listen.front": d.callers, "listen.ready": d.ready, "listen.directory": d.directory, "listen.control": d.peers,
			"platform.address": stores[i], "seeds": seeds[:min(len(seeds), 3)], "bootstrap": true, "bounds.grace_s": graceSeconds, "bounds.budget_window_s": 10,
			"bounds.retry_budget_ratio": 0.2, "bounds.budget_min_retries": 424, "limits.link_mbps": 700.0, "limits.memory_mb": 206,
		})
		file := filepath.Join(p.folder, d.name+".yaml")
		check(os.WriteFile(file, []byte(settings), 0o600))
		d.command = exec.Command("target/cowslipd", "relay")
		d.command.Dir = p.root
		d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.folder, "COWSLIPD_SETTINGS=" + file}
		logFile, err := os.Create(filepath.Join(p.folder, d.name+".log"))
		check(err)
		d.command.Stdout, d.command.Stderr = logFile, logFile
		check(d.command.Start())
		p.daemons = append(p.daemons, d)
		go func() { _ = d.command.Wait(); close(d.done) }() // a killed process is an error here
	}
	for _, d := range daemons {
		if !d.awaitReady() {
			log, err := os.ReadFile(filepath.Join(p.folder, d.name+".log"))
			check(err)
			p.logf("%s is not ready; the end of its log: %s", d.name, log[max(0, len(log)-4000):])
			check(fmt.Errorf("daemon %s is not ready after 20 s", d.name))
		}
	}
	p.logf("%d daemons are ready", len(p.daemons))
}

const graceSeconds = 8

func (d *daemon) awaitReady() bool {
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + d.ready + names["ready"])
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// kill ends the process if it still runs.
func (d *daemon) kill() {
	if d.command == nil || d.command.Process == nil {
		return
	}
	_ = d.command.Process.Kill() // an error means that it has ended
	<-d.done
}

// loopbacks returns loopback addresses for daemons, which all use the same port for operators.
func loopbacks(count int) (ips []string) {
	pid := os.Getpid()
	for i := range count {
		ips = append(ips, strings.Join([]string{"127", fmt.Sprint(1 + pid/250%250), fmt.Sprint(1 + pid%250), fmt.Sprint(2 + i)}, "."))
	}
	return ips
}
