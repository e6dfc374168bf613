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
	tokenBytes = 4 // bytes of a prompt in one token of the emulator
	maxLine    = 1 << 20
)

// result is what became of a request. Its times count from the start of the run.
type result struct {
	outcome cowslipproxy.Outcome
	reason  cowslipproxy.Reason
	broken  bool // the connection broke, so that nobody told the outcome
	resent  int
	wrong   bool // the answer, or the part of it that came, isn't the expected one
	sent    time.Duration
	ended   time.Duration
	tokens  []time.Duration // when each one came, of a streamed answer
	count   int             // tokens of the answer
	inTime  bool
}

// event is one event of a streamed answer, or a whole answer.
type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *caller.ErrorDetail `json:"error"`
}

// complete sends a request, and sends it again elsewhere when a connection broke.
func (d *Driller) complete(ctx context.Context, next arrival) result {
	limit := d.started.Add(next.at + d.Deadline)
	ctx, cancel := context.WithDeadline(ctx, limit.Add(graceTime))
	defer cancel()
	prompt := d.prompt(next.index)
	expected := emulator.Answer(d.Model, d.Adapter, prompt, d.Answer)
	var got result
	for resent := 0; ; resent++ {
		wrong := got.wrong
		got = result{sent: next.at, resent: resent, wrong: wrong}
		d.attempt(ctx, next, prompt, expected, &got)
		if !got.broken || resent == d.Resend || !time.Now().Before(limit) {
			break
		}
	}
	got.ended = time.Since(d.started)
	got.inTime = got.outcome == cowslipproxy.OutcomeDone && !got.wrong && got.ended <= next.at+d.Deadline
	return got
}

// prompt returns a prompt of its own for each request, so that no engine has
// its beginning cached.
func (d *Driller) prompt(index int) string {
	text := fmt.Sprintf("%d of run %d: ", index, d.Seed)
	size := d.Prompt * tokenBytes
	return (text + strings.Repeat("tell of crisps. ", size/16+1))[:size]
}

func (d *Driller) attempt(ctx context.Context, next arrival, prompt string, expected []string, got *result) {
	got.broken, got.outcome = true, cowslipproxy.OutcomeUnknown // until an answer tells
	from := d.callers[next.caller]
	var address netip.AddrPort
	var err error
	if address, err = from.address(ctx); err != nil {
		return
	}
	model := d.Model.Name
	if d.Adapter != "" {
		model += ":" + d.Adapter
	}
	var body []byte
	if body, err = json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": d.Answer, "stream": next.streamed}); err != nil {
		return // strings and numbers can always be encoded
	}
	var request *http.Request
	if request, err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+"/v1/completions", bytes.NewReader(body)); err != nil {
		return // the address was parsed before
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+d.Customers[next.customer].Key)
	left := time.Until(d.started.Add(next.at + d.Deadline))
	request.Header.Set(caller.HeaderDeadline, max(left, time.Millisecond).String())
	var response *http.Response
	if response, err = d.client.Do(request); err != nil {
		from.broken(address)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if next.streamed && response.StatusCode == http.StatusOK {
		d.readStream(response, expected, got)
	} else {
		readWhole(response, expected, got)
	}
	if got.broken {
		from.broken(address)
	}
}

// readWhole reads an answer or a failure that comes as one body.
func readWhole(response *http.Response, expected []string, got *result) {
	var data []byte
	var err error
	if data, err = io.ReadAll(response.Body); err != nil {
		return
	}
	var answer event
	if err := json.Unmarshal(data, &answer); err != nil {
		return
	}
	got.tell(response.Header)
	if got.outcome != cowslipproxy.OutcomeDone {
		return
	}
	got.count = len(expected)
	got.wrong = got.wrong || len(answer.Choices) != 1 || answer.Choices[0].Text != strings.Join(expected, "")
}

// tell takes the outcome from a header or trailer.
func (r *result) tell(header http.Header) {
	outcome := cowslipproxy.Outcome(header.Get(caller.HeaderOutcome))
	if outcome == "" {
		return
	}
	r.broken, r.outcome = false, outcome
	r.reason = cowslipproxy.Reason(header.Get(caller.HeaderReason))
}

// readStream reads a streamed answer and compares each token when it comes. The
// stream is whole when it ends with [DONE] and its trailer says done.
func (d *Driller) readStream(response *http.Response, expected []string, got *result) {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLine)
	whole := false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			whole = true
			continue
		}
		d.readEvent([]byte(data), expected, got)
	}
	if lines.Err() != nil {
		return
	}
	got.tell(response.Trailer)
	if got.outcome == cowslipproxy.OutcomeDone {
		got.wrong = got.wrong || !whole || got.count != len(expected)
	}
}

func (d *Driller) readEvent(data []byte, expected []string, got *result) {
	var next event
	if err := json.Unmarshal(data, &next); err != nil {
		got.wrong = true
		return
	}
	if next.Error != nil || len(next.Choices) == 0 || next.Choices[0].Text == "" {
		return // a failure that the trailer tells too, or the event that ends the answer
	}
	if got.count >= len(expected) || next.Choices[0].Text != expected[got.count] {
		got.wrong = true
	}
	got.count++
	now := time.Since(d.started)
	got.tokens = append(got.tokens, now)
	d.tally.received(now)
}
