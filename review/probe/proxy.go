package main

import (
	"net"
	"sync"
)

// proxy passes on connections. Those that are open can be made silent: they stay open, and
// nothing is passed on any more.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	pairs map[*pair]bool
	calls int // pieces of data from the daemon
}

// pair is a connection that was accepted and the one to the target.
type pair struct {
	mu     sync.Mutex
	silent bool
	near   net.Conn
	far    net.Conn
}

func startProxy(ip, target string) *proxy {
	listener, err := net.Listen("tcp", ip+":0")
	check(err)
	p := &proxy{target: target, listener: listener, pairs: map[*pair]bool{}}
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return // the proxy was stopped
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := &pair{near: near, far: far}
		p.mu.Lock()
		p.pairs[c] = true
		p.mu.Unlock()
		go p.pass(c, near, far)
		go p.pass(c, far, near)
	}
}

// pass passes on data in one direction until the connection ends or becomes silent.
func (p *proxy) pass(c *pair, from, to net.Conn) {
	data := make([]byte, 32<<10)
	for {
		n, err := from.Read(data)
		if from == c.near {
			p.mu.Lock()
			p.calls++
			p.mu.Unlock()
		}
		c.mu.Lock()
		silent := c.silent
		if !silent && n > 0 {
			_, _ = to.Write(data[:n]) // the next read ends with an error as well
		}
		c.mu.Unlock()
		if silent && err != nil {
			_ = from.Close() // the other side does not learn of it
			return
		}
		if err != nil {
			_ = c.near.Close()
			_ = c.far.Close()
			p.mu.Lock()
			delete(p.pairs, c)
			p.mu.Unlock()
			return
		}
	}
}

// count returns how often the daemon sent data.
func (p *proxy) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// silence makes all open connections silent and returns their number. New ones work.
func (p *proxy) silence() (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
		count++
	}
	return count
}

func (p *proxy) stop() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		_ = c.near.Close()
		_ = c.far.Close()
	}
}
