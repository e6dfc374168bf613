package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	host = "desk.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// call is a request of a requester.
type call struct {
	method, path, body string
	parts              string
	tokens             string
	deadline           time.Duration
}

// result is the answer to one attempt of a requester.
type result struct {
	at         time.Time
	id         string
	status     int
	signed     bool
	complete   bool
	body       string
	retryAfter time.Duration
	err        error
}

func (r result) served() bool {
	return r.err == nil && r.status == http.StatusOK && r.signed && r.complete
}

// requester keeps a channel to one daemon.
type requester struct {
	record  *record
	address string
	client  *http.Client
}

func newRequester(record *record, address string) *requester {
	return &requester{record: record, address: address, client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 4, MaxIdleConnsPerHost: 4, IdleConnTimeout: 12 * time.Second, DisableCompression: true}}}
}

func (q *requester) close() { q.client.CloseIdleConnections() }

// send makes one attempt with an id of its own.
func (q *requester) send(c call) (got result) {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	got = result{at: time.Now(), id: fmt.Sprintf("%016x", rand.Uint64())}
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+q.address+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		got.err = err
		return got
	}
	request.Host = host
	request.Header.Set(wire("id"), got.id)
	request.Header.Set(wire("deadline"), strconv.FormatInt(c.deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+key)
	if c.parts != "" {
		request.Header.Set("X-Model", "m")
		request.Header.Set(wire("parts"), c.parts)
		request.Header.Set(wire("tokens"), c.tokens)
	}
	q.record.add("sends %s %s %s parts=%q to %s", got.id, c.method, c.path, c.parts, q.address)
	defer func() {
		q.record.add("answer to %s: status=%d signed=%v complete=%v retry-after=%v error=%v %.100q", got.id, got.status, got.signed, got.complete, got.retryAfter, got.err, got.body)
	}()
	response, err := q.client.Do(request)
	if err != nil {
		got.err = err
		return got
	}
	defer response.Body.Close()
	got.status, got.signed = response.StatusCode, response.Header.Get(wire("signature")) != ""
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		got.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	data, err := io.ReadAll(response.Body)
	got.body, got.complete, got.err = string(data), err == nil, err
	return got
}
