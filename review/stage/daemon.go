package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// daemon is a process of the relay on a loopback address of its own.
type daemon struct {
	name                            string
	callers, ready, directory, peer string
	file                            string // of the settings
	later                           string // settings after the first start
	process                         *exec.Cmd
	output                          *os.File
}

// settings fills in the template of the deploy file.
func (d *daemon) settings(storeAddress string, seeds []string, isFirst bool) string {
	list, err := json.Marshal(seeds)
	if err != nil {
		panic(err) // unreachable: strings are encoded
	}
	return fmt.Sprintf(`name: %q
centre: %q
callers: %q
ready: %q
directory: %q
peers: %q
store: %q
seeds: %s
first: %v
metrics: 0
grace: "8s"
window: "10s"
retries: 0.2
floor: 424
link: 700
memory: 206
descriptors: 2940
`, d.name, zone, d.callers, d.ready, d.directory, d.peer, storeAddress, list, isFirst)
}

// startDaemons starts the daemons, of which the first three are seeds.
func startDaemons(root, folder, storeAddress string, count int) ([]*daemon, error) {
	var all []*daemon
	var seeds []string
	for number := range count {
		ip := fmt.Sprintf("127.0.7.%d", number+1)
		d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, number+1)}
		for _, address := range []*string{&d.callers, &d.ready, &d.directory, &d.peer} {
			var err error
			if *address, err = freeAddress(ip); err != nil {
				return all, err
			}
		}
		if number < 3 {
			seeds = append(seeds, d.peer)
		}
		all = append(all, d)
	}
	for _, d := range all {
		if err := d.start(root, folder, storeAddress, seeds); err != nil {
			return all, err
		}
	}
	for _, d := range all {
		if err := d.awaitReady(20 * time.Second); err != nil {
			return all, err
		}
	}
	return all, nil
}

func freeAddress(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

func (d *daemon) start(root, folder, storeAddress string, seeds []string) error {
	d.file = filepath.Join(folder, d.name+".yaml")
	if err := os.WriteFile(d.file, []byte(d.settings(storeAddress, seeds, true)), 0o644); err != nil {
		return err
	}
	d.later = d.settings(storeAddress, seeds, false)
	return d.run(root, folder)
}

// restart starts the process again, as the platform does after its end.
func (d *daemon) restart(root, folder string) error {
	if err := os.WriteFile(d.file, []byte(d.later), 0o644); err != nil {
		return err
	}
	return d.run(root, folder)
}

func (d *daemon) run(root, folder string) error {
	var err error
	if d.output, err = os.OpenFile(filepath.Join(folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		return err
	}
	d.process = exec.Command("target/cowslipd", "relay")
	d.process.Dir = root
	d.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COWSLIPD_SETTINGS=" + d.file}
	d.process.Stdout, d.process.Stderr = d.output, d.output
	return d.process.Start()
}

func (d *daemon) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.ready+wire("ready"), nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (d *daemon) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if d.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %v", d.name, limit)
}

// kill ends the process, if it was started.
func (d *daemon) kill() {
	if d.process == nil || d.process.Process == nil {
		return
	}
	d.process.Process.Signal(syscall.SIGKILL)
	d.process.Wait()
	d.output.Close()
}
