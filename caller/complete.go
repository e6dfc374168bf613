package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
	"github.com/cowslipproxy/cowslipproxy/driver"
	"github.com/cowslipproxy/cowslipproxy/reporter"
)

// completion is the state of one request to a model.
type completion struct {
	*exchange
	generationParams
	prompt  string
	isChat  bool
	model   cowslipproxy.Model
	adapter string
}

func (s *Server) chat(w http.ResponseWriter, r *http.Request) {
	s.complete(w, r, func(c *completion) error {
		var body ChatRequest
		if err := decoder.JSON(c.body, &body); err != nil {
			return err
		}
		c.generationParams, c.prompt, c.isChat = body.generationParams, body.prompt(), true
		return nil
	})
}

func (s *Server) completion(w http.ResponseWriter, r *http.Request) {
	s.complete(w, r, func(c *completion) error {
		var body CompletionRequest
		if err := decoder.JSON(c.body, &body); err != nil {
			return err
		}
		c.generationParams, c.prompt = body.generationParams, body.Prompt
		return nil
	})
}

// complete serves a request to a model.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, parse func(*completion) error) {
	var e *exchange
	var err error
	if e, err = s.begin(w, r); err != nil {
		e.fail(err)
		return
	}
	c := &completion{exchange: e}
	if err := c.readRequest(parse); err != nil {
		e.fail(err)
		return
	}
	if c.model.Effect == cowslipproxy.EffectRepeat {
		c.run(w)
		return
	}
	defer c.detach()()
	s.Guard.Once(w, r, e.newAttempt(), c.run)
}

func (e *exchange) newAttempt() Attempt {
	return Attempt{Request: e.requestID, Customer: e.customer.Name, Key: e.r.Header.Get(HeaderKey), Body: e.body, Deadline: e.deadline}
}

// readRequest reads and parses the body, and checks the model, the adapter and the
// number of tokens.
func (c *completion) readRequest(parse func(*completion) error) error {
	if err := c.readBody(); err != nil {
		return err
	}
	if err := parse(c); err != nil {
		return cowslipproxy.Refuse(cowslipproxy.ReasonMalformed, "%v", err)
	}
	name, adapter, _ := strings.Cut(c.Model, ":")
	var ok bool
	if c.model, ok = c.active.Model(name); !ok {
		return cowslipproxy.Refuse(cowslipproxy.ReasonModelUnknown, "model: %q is not one of the models of /v1/models", name)
	}
	if c.adapter = adapter; adapter != "" && !c.model.HasAdapter(adapter) {
		return cowslipproxy.Refuse(cowslipproxy.ReasonModelUnknown, "model: adapter %q is not one of %q", adapter, c.model.Adapters)
	}
	if estimate := c.estimateTokens(); estimate > c.model.Window {
		return cowslipproxy.Refuse(cowslipproxy.ReasonTooLarge, "prompt and completion: about %d tokens exceed the limit of %d", estimate, c.model.Window)
	}
	return nil
}

// estimateTokens estimates the number of tokens of the prompt and the completion.
func (c *completion) estimateTokens() int {
	const bytesPerToken = 4
	return len(c.prompt)/bytesPerToken + c.max()
}

// run waits until the request is admitted, executes it and writes the response.
func (c *completion) run(w http.ResponseWriter) {
	c.w = w
	s, ctx := c.server, c.r.Context()
	var done func(int)
	var err error
	if done, err = s.Admitter.Admit(ctx, Admission{
		Request:     c.requestID,
		Customer:    c.customer,
		Scope:       cowslipproxy.ScopeModel + c.model.Name,
		Fingerprint: c.fingerprint(c.prompt),
		Tokens:      c.estimateTokens(),
		Deadline:    c.deadline,
	}); err != nil {
		c.fail(err)
		return
	}
	out := c.newWriter()
	usage, err := s.Models.Run(ctx, driver.Job{
		Request:      c.requestID,
		Customer:     c.customer.Name,
		Model:        c.model,
		Adapter:      c.adapter,
		Prompt:       c.prompt,
		MaxNewTokens: c.max(),
		Priority:     c.customer.Class.Priority(),
		Deadline:     c.deadline,
		Prefixes:     cowslipproxy.PrefixHashes(c.model.Name, c.prompt),
	}, c.recordLatency(out.token))
	done(usage.Prompt + usage.Tokens)
	out.finish(usage, err)
}

// recordLatency returns a function that records the time to the first token and the time
// between tokens, and calls emit for each token.
func (c *completion) recordLatency(emit func(driver.Token) error) func(driver.Token) error {
	previous := c.start
	histogram := reporter.DurationHistogram(c.server.Metrics, reporter.MetricTimeToFirst)
	return func(token driver.Token) error {
		now := c.server.Clock()
		histogram.Update(int64(now.Sub(previous)))
		if token.Index == 0 {
			histogram = reporter.DurationHistogram(c.server.Metrics, reporter.MetricTokenInterval)
		}
		previous = now
		return emit(token)
	}
}

// completionWriter writes the tokens of a completion to the caller.
type completionWriter interface {
	token(token driver.Token) error
	finish(usage driver.Usage, err error)
}

func (c *completion) newWriter() completionWriter {
	if c.Stream {
		return &streamWriter{completion: c, created: c.server.Clock()}
	}
	return &bufferedWriter{completion: c}
}

// bufferedWriter collects the completion and writes it as one response.
type bufferedWriter struct {
	*completion
	text strings.Builder
}

func (b *bufferedWriter) token(token driver.Token) error {
	b.text.WriteString(token.Text)
	return nil
}

func (b *bufferedWriter) finish(usage driver.Usage, err error) {
	if err != nil {
		b.fail(err)
		return
	}
	b.w.Header().Set(HeaderOutcome, string(cowslipproxy.OutcomeDone))
	choice := Choice{FinishReason: b.finishReason(usage)}
	text := b.text.String()
	if b.isChat {
		choice.Message = &AssistantMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	writeJSON(b.w, http.StatusOK, b.newCompletion("", b.server.Clock(), newUsage(usage), choice))
}

func newUsage(usage driver.Usage) *Usage {
	return &Usage{PromptTokens: usage.Prompt, CompletionTokens: usage.Tokens, TotalTokens: usage.Prompt + usage.Tokens}
}

func (c *completion) finishReason(usage driver.Usage) *string {
	reason := "stop"
	if usage.Tokens >= c.max() {
		reason = "length"
	}
	return &reason
}

// newCompletion returns a response, or an event of one if the suffix is ".chunk".
func (c *completion) newCompletion(suffix string, created time.Time, usage *Usage, choices ...Choice) CompletionResponse {
	prefix, object := "cmpl-", "text_completion"
	if c.isChat {
		prefix, object = "chatcmpl-", "chat.completion"+suffix
	}
	return CompletionResponse{ID: prefix + c.requestID, Object: object, Created: created.Unix(), Model: c.Model, Choices: choices, Usage: usage}
}

// streamWriter writes each token as a server-sent event. The status is sent with the
// first token, so that an earlier failure gets an ordinary error response.
type streamWriter struct {
	*completion
	created    time.Time
	headerSent bool
}

func (s *streamWriter) sendHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("Trailer", HeaderOutcome+", "+HeaderReason)
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamWriter) token(token driver.Token) error {
	s.sendHeader()
	choice := Choice{}
	if s.isChat {
		choice.Delta = &AssistantMessage{Content: token.Text}
		if token.Index == 0 {
			choice.Delta.Role = "assistant"
		}
	} else {
		choice.Text = &token.Text
	}
	return s.event(s.newCompletion(".chunk", s.created, nil, choice))
}

// event sends a value, encoded as JSON, as one event.
func (s *streamWriter) event(value any) error {
	var data []byte
	var err error
	if data, err = json.Marshal(value); err != nil {
		return err
	}
	return s.data(data)
}

// data sends one event with the given data.
func (s *streamWriter) data(data []byte) error {
	event := make([]byte, 0, len(data)+8)
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *streamWriter) finish(usage driver.Usage, err error) {
	if err != nil && !s.headerSent {
		s.fail(err)
		return
	}
	s.sendHeader()
	if err != nil {
		failure := toFailure(err)
		s.w.Header().Set(HeaderOutcome, string(failure.Outcome))
		s.w.Header().Set(HeaderReason, string(failure.Reason))
		_ = s.event(errorBody(s.requestID, failure)) // the caller may be disconnected
		return
	}
	last := Choice{FinishReason: s.finishReason(usage)}
	if s.isChat {
		last.Delta = &AssistantMessage{}
	} else {
		empty := ""
		last.Text = &empty
	}
	_ = s.event(s.newCompletion(".chunk", s.created, nil, last))
	if s.StreamOptions.IncludeUsage {
		_ = s.event(s.newCompletion(".chunk", s.created, newUsage(usage)))
	}
	s.w.Header().Set(HeaderOutcome, string(cowslipproxy.OutcomeDone))
	_ = s.data([]byte("[DONE]"))
}
