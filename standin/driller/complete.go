package driller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/caller"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
)

const (
	bytesPerToken = 4 // prompt bytes per token of the emulator
	maxLineBytes  = 1 << 20
)

// result is the result of a request. Its times are relative to the start of the run.
type result struct {
	outcome          cowslipproxy.Outcome
	reason           cowslipproxy.Reason
	connectionBroken bool // the connection broke before the outcome was received
	resent           int
	wrong            bool // the received text differs from the expected one
	sentAt           time.Duration
	endedAt          time.Duration
	tokenTimes       []time.Duration // arrival time of each token of a streamed response
	tokenCount       int             // tokens of the response
	inTime           bool            // the request was done with the expected text before its deadline
}

// completionResponse is the body of a complete response, or the data of one event of a
// streamed response.
type completionResponse struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *caller.ErrorDetail `json:"error"`
}

// complete sends a request and returns its result. If the connection breaks, it sends the
// request again, to the next daemon, at most MaxResends times and until the deadline.
func (d *Driller) complete(ctx context.Context, req arrival) result {
	deadline := d.started.Add(req.at + d.Deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(deadlineGrace))
	defer cancel()
	prompt := d.prompt(req.index)
	expected := emulator.Completion(d.Model, d.Adapter, prompt, d.CompletionTokens)
	var got result
	for resent := 0; ; resent++ {
		wrong := got.wrong
		got = result{sentAt: req.at, resent: resent, wrong: wrong}
		d.attempt(ctx, req, prompt, expected, &got)
		if !got.connectionBroken || resent == d.MaxResends || !time.Now().Before(deadline) {
			break
		}
	}
	got.endedAt = time.Since(d.started)
	got.inTime = got.outcome == cowslipproxy.OutcomeDone && !got.wrong && got.endedAt <= req.at+d.Deadline
	return got
}

// prompt returns a prompt with a unique prefix, so that no engine has a prefix of it
// cached.
func (d *Driller) prompt(index int) string {
	text := fmt.Sprintf("%d of run %d: ", index, d.Seed)
	size := d.PromptTokens * bytesPerToken
	return (text + strings.Repeat("tell of crisps. ", size/16+1))[:size]
}

// attempt sends a request once and stores the result in got.
func (d *Driller) attempt(ctx context.Context, req arrival, prompt string, expected []string, got *result) {
	got.connectionBroken, got.outcome = true, cowslipproxy.OutcomeUnknown // until a response reports the outcome
	addresses := d.addressCaches[req.caller]
	var address netip.AddrPort
	var err error
	if address, err = addresses.address(ctx); err != nil {
		return
	}
	model := d.Model.Name
	if d.Adapter != "" {
		model += ":" + d.Adapter
	}
	var body []byte
	if body, err = json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": d.CompletionTokens, "stream": req.streamed}); err != nil {
		return // cannot happen: strings and numbers are always encodable
	}
	var request *http.Request
	if request, err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/v1/completions", bytes.NewReader(body)); err != nil {
		return // cannot happen: the address is valid
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+d.Customers[req.customer].Key)
	timeout := time.Until(d.started.Add(req.at + d.Deadline))
	request.Header.Set(caller.HeaderDeadline, max(timeout, time.Millisecond).String())
	var response *http.Response
	if response, err = d.client.Do(request); err != nil {
		addresses.demote(address)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if req.streamed && response.StatusCode == http.StatusOK {
		d.readStream(response, expected, got)
	} else {
		readComplete(response, expected, got)
	}
	if got.connectionBroken {
		addresses.demote(address)
	}
}

// readComplete reads a response that is not streamed, or a failure.
func readComplete(response *http.Response, expected []string, got *result) {
	var data []byte
	var err error
	if data, err = io.ReadAll(response.Body); err != nil {
		return
	}
	var completion completionResponse
	if err := json.Unmarshal(data, &completion); err != nil {
		return
	}
	got.setOutcome(response.Header)
	if got.outcome != cowslipproxy.OutcomeDone {
		return
	}
	got.tokenCount = len(expected)
	got.wrong = got.wrong || len(completion.Choices) != 1 || completion.Choices[0].Text != strings.Join(expected, "")
}

// setOutcome sets the outcome from a header or trailer.
func (r *result) setOutcome(header http.Header) {
	outcome := cowslipproxy.Outcome(header.Get(caller.HeaderOutcome))
	if outcome == "" {
		return
	}
	r.connectionBroken, r.outcome = false, outcome
	r.reason = cowslipproxy.Reason(header.Get(caller.HeaderReason))
}

// readStream reads a streamed response and compares each token on arrival. The
// stream is complete if it ends with [DONE] and the outcome in its trailer is done.
func (d *Driller) readStream(response *http.Response, expected []string, got *result) {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLineBytes)
	complete := false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		d.readEvent([]byte(data), expected, got)
	}
	if lines.Err() != nil {
		return
	}
	got.setOutcome(response.Trailer)
	if got.outcome == cowslipproxy.OutcomeDone {
		got.wrong = got.wrong || !complete || got.tokenCount != len(expected)
	}
}

// readEvent compares the token of an event and records its arrival time.
func (d *Driller) readEvent(data []byte, expected []string, got *result) {
	var chunk completionResponse
	if err := json.Unmarshal(data, &chunk); err != nil {
		got.wrong = true
		return
	}
	if chunk.Error != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Text == "" {
		return // a failure, which the trailer also reports, or the final event
	}
	if got.tokenCount >= len(expected) || chunk.Choices[0].Text != expected[got.tokenCount] {
		got.wrong = true
	}
	got.tokenCount++
	now := time.Since(d.started)
	got.tokenTimes = append(got.tokenTimes, now)
	d.collector.recordToken(now)
}
