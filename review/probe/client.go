package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	id     string
	status int // 0 without a complete answer
	body   string
	close  bool // the daemon closes the connection
	err    error

	server  string // its signature
	leaving bool   // it says that it leaves
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer: %v", a.err)
	}
	return fmt.Sprintf("%d %q", a.status, a.body)
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%08x", lastID.Add(1)) }

// client is a connection of a caller.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn, bufio.NewReader(conn)}, nil
}

// request is what a client sends.
type request struct {
	id, method, target, key, body string
	budget                        time.Duration // time budget
}

// call sends a request and reads the whole answer.
func (c *client) call(r request) answer {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.method, r.target, host, names["id"], r.id, names["deadline"], r.budget.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&head, "Authorization: Bearer %s\r\n", r.key)
	}
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	got := answer{id: r.id}
	if got.err = c.conn.SetDeadline(time.Now().Add(r.budget + time.Second)); got.err != nil {
		return got
	}
	if _, got.err = io.WriteString(c.conn, head.String()); got.err != nil {
		return got
	}
	var response *http.Response
	if response, got.err = http.ReadResponse(c.reader, nil); got.err != nil {
		return got
	}
	defer response.Body.Close()
	var data []byte
	if data, got.err = io.ReadAll(response.Body); got.err != nil {
		return got
	}
	got.status, got.body, got.close = response.StatusCode, string(data), response.Close
	got.server, got.leaving = response.Header.Get(names["signature"]), response.Header.Get(leavingHeader) != ""
	return got
}

// callOnce sends a request on a connection of its own.
func callOnce(address string, r request) answer {
	c, err := dial(address)
	if err != nil {
		return answer{id: r.id, err: err}
	}
	defer c.conn.Close()
	return c.call(r)
}
