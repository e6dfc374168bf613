// Package visitor demonstrates a deployment with an unmodified OpenAI client library, for
// which only the base URL and the API key are set, and checks the responses.
package visitor

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/caller"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
)

const (
	pollInterval = 100 * time.Millisecond
	readyTimeout = 20 * time.Second
)

// Visitor checks a deployment. Its fields must be set before Run.
type Visitor struct {
	Daemons  []netip.AddrPort          // entry daemons
	Controls map[string]netip.AddrPort // control endpoints of the engines, by name
	Service  netip.AddrPort            // plain service, which lists its effects at /account
	Models   []cowslipproxy.Model      // declared models
	Key      string                    // API key, sent as bearer token
}

// Run runs the checks in order until one fails. For each check that succeeds, it passes a
// line to report.
func (v *Visitor) Run(ctx context.Context, report func(line string)) error {
	if len(v.Daemons) < 2 || len(v.Models) == 0 {
		return errors.Errorf("at least 2 daemons and 1 model are required, got %d and %d", len(v.Daemons), len(v.Models))
	}
	for _, check := range []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"daemons ready", v.checkReady},
		{"addresses", v.checkAddresses},
		{"plain answer", v.checkCompletion},
		{"streamed answer", v.checkStreaming},
		{"stage killed within a token", v.checkStageCrash},
		{"fee posted twice with one key", v.checkIdempotency},
		{"refusal", v.checkRefusal},
	} {
		var summary string
		var err error
		if summary, err = check.run(ctx); err != nil {
			return errors.Wrap(err, check.name)
		}
		report(fmt.Sprintf("ok: %s: %s", check.name, summary))
	}
	return nil
}

// client returns an OpenAI client for Daemons[daemon]. Retries are disabled, so that each
// check sees the first response.
func (v *Visitor) client(daemon int) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+v.Daemons[daemon].String()+"/v1/"), option.WithAPIKey(v.Key), option.WithMaxRetries(0))
}

// checkReady waits until every daemon serves every model and the service.
func (v *Visitor) checkReady(ctx context.Context) (string, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for daemon := range v.Daemons {
		for {
			err := v.checkDaemon(ctx, daemon)
			if err == nil {
				break
			}
			select {
			case <-ctx.Done():
				return "", errors.Wrapf(err, "daemon %v", v.Daemons[daemon])
			case <-time.After(pollInterval):
			}
		}
	}
	return fmt.Sprintf("%d after %v", len(v.Daemons), time.Since(start).Round(time.Millisecond)), nil
}

// checkDaemon checks that a daemon serves every model and the service.
func (v *Visitor) checkDaemon(ctx context.Context, daemon int) error {
	client := v.client(daemon)
	for _, model := range v.Models {
		if _, err := client.Chat.Completions.New(ctx, chatParams(model.Name, "ready?", 2)); err != nil {
			return err
		}
	}
	var tenancy any
	return client.Get(ctx, "services/ledger/tenancies/1", nil, &tenancy)
}

// checkAddresses waits until a daemon returns the addresses of all entry daemons.
func (v *Visitor) checkAddresses(ctx context.Context) (string, error) {
	client := v.client(0)
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	var response cowslipproxy.Addresses
	for len(response.Addresses) != len(v.Daemons) {
		if err := client.Get(ctx, "addresses", nil, &response); err != nil {
			return "", errors.Wrapf(err, "got %d addresses, want %d", len(response.Addresses), len(v.Daemons))
		}
		time.Sleep(pollInterval)
	}
	return fmt.Sprintf("%d entry daemons, valid for %v", len(response.Addresses), time.Duration(response.Lifetime)), nil
}

// checkCompletion requests a completion of each model and compares its text.
func (v *Visitor) checkCompletion(ctx context.Context) (string, error) {
	for i, model := range v.Models {
		client := v.client(i % len(v.Daemons))
		prompt := "summarise the inspection of plot 17"
		var completion *openai.ChatCompletion
		var err error
		if completion, err = client.Chat.Completions.New(ctx, chatParams(model.Name, prompt, 12)); err != nil {
			return "", err
		}
		if len(completion.Choices) != 1 || completion.Choices[0].Message.Content != expectedText(model, prompt, 12) {
			return "", errors.Errorf("%s: got %s, want text %q", model.Name, completion.RawJSON(), expectedText(model, prompt, 12))
		}
	}
	return fmt.Sprintf("expected answers from %d models", len(v.Models)), nil
}

// checkStreaming requests a streamed completion of the last model and compares its text.
func (v *Visitor) checkStreaming(ctx context.Context) (string, error) {
	model := v.Models[len(v.Models)-1]
	var chunks int
	var err error
	if chunks, _, err = v.stream(ctx, 1, model, "write an allergen letter", 40, nil); err != nil {
		return "", err
	}
	return fmt.Sprintf("expected answer from %s in %d chunks", model.Name, chunks), nil
}

// stream requests a streamed completion and compares its text. After each chunk it calls
// onChunk, if set, with the number of chunks received. It returns the number of chunks and
// the longest time between two of them.
func (v *Visitor) stream(ctx context.Context, daemon int, model cowslipproxy.Model, prompt string, count int, onChunk func(chunks int) error) (int, time.Duration, error) {
	client := v.client(daemon)
	stream := client.Chat.Completions.NewStreaming(ctx, chatParams(model.Name, prompt, int64(count)))
	defer func() { _ = stream.Close() }()
	var text strings.Builder
	var longestPause time.Duration
	chunks, last := 0, time.Now()
	for stream.Next() {
		chunk := stream.Current()
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
		if chunks++; chunks > 1 {
			longestPause = max(longestPause, time.Since(last))
		}
		last = time.Now()
		if onChunk == nil {
			continue
		}
		if err := onChunk(chunks); err != nil {
			return chunks, longestPause, err
		}
	}
	if err := stream.Err(); err != nil {
		return chunks, longestPause, err
	}
	if want := expectedText(model, prompt, count); text.String() != want {
		return chunks, longestPause, errors.Errorf("got text %q, want %q", text.String(), want)
	}
	return chunks, longestPause, nil
}

// checkRefusal requests a completion of a model that is not declared, and checks the
// refusal.
func (v *Visitor) checkRefusal(ctx context.Context) (string, error) {
	client := v.client(0)
	_, err := client.Chat.Completions.New(ctx, chatParams("no-such-model", "write", 2))
	var refused *openai.Error
	if !errors.As(err, &refused) {
		return "", errors.Errorf("got error %v, want a refusal", err)
	}
	outcome, reason := refused.Response.Header.Get(caller.HeaderOutcome), refused.Response.Header.Get(caller.HeaderReason)
	if refused.StatusCode != http.StatusNotFound || outcome != string(cowslipproxy.OutcomeRefused) ||
		reason != string(cowslipproxy.ReasonModelUnknown) || refused.Code != reason {
		return "", errors.Errorf("unexpected refusal: status %d, outcome %q, reason %q and code %q", refused.StatusCode, outcome, reason, refused.Code)
	}
	return fmt.Sprintf("%d %s, %s: %s", refused.StatusCode, outcome, reason, refused.Message), nil
}

// chatParams returns the parameters of a chat with one user message.
func chatParams(model, prompt string, count int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:               model,
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxCompletionTokens: openai.Int(count),
	}
}

// expectedText returns the text that the model must generate for a chat with one user
// message.
func expectedText(model cowslipproxy.Model, prompt string, count int) string {
	return strings.Join(emulator.Completion(model, "", "<|user|>\n"+prompt+"\n<|assistant|>\n", count), "")
}
