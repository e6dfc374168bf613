// Package visitor is a caller that uses a usual client of chat-completions
// services, with only its base URL and key changed, and checks what it gets.
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
	readyPoll = 100 * time.Millisecond
	readyTime = 20 * time.Second
)

// Visitor visits a deployment. Its fields are set before Run.
type Visitor struct {
	Daemons  []netip.AddrPort          // entry daemons
	Controls map[string]netip.AddrPort // control endpoints of the engines, by name
	Service  netip.AddrPort            // the plain service, for its account
	Models   []cowslipproxy.Model      // declared models
	Key      string                    // bearer key
}

// Run makes all visits. It passes one line on each to tell, and ends at the first
// one that went wrong.
func (v *Visitor) Run(ctx context.Context, tell func(line string)) error {
	if len(v.Daemons) < 2 || len(v.Models) == 0 {
		return errors.Errorf("found %d daemons and %d models, accepted are at least 2 and 1", len(v.Daemons), len(v.Models))
	}
	for _, visit := range []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"daemons ready", v.ready},
		{"addresses", v.addresses},
		{"plain answer", v.plain},
		{"streamed answer", v.streamed},
		{"stage killed within a token", v.killed},
		{"fee posted twice with one key", v.fee},
		{"refusal", v.refusal},
	} {
		var seen string
		var err error
		if seen, err = visit.run(ctx); err != nil {
			return errors.Wrap(err, visit.name)
		}
		tell(fmt.Sprintf("ok: %s: %s", visit.name, seen))
	}
	return nil
}

// client returns the usual client. It sends nothing again by itself, so that
// each visit sees the first answer.
func (v *Visitor) client(daemon int) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+v.Daemons[daemon].String()+"/v1/"), option.WithAPIKey(v.Key), option.WithMaxRetries(0))
}

// ready waits until each daemon serves each model and the service.
func (v *Visitor) ready(ctx context.Context) (string, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for daemon := range v.Daemons {
		for {
			err := v.serves(ctx, daemon)
			if err == nil {
				break
			}
			select {
			case <-ctx.Done():
				return "", errors.Wrapf(err, "daemon %v", v.Daemons[daemon])
			case <-time.After(readyPoll):
			}
		}
	}
	return fmt.Sprintf("%d after %v", len(v.Daemons), time.Since(began).Round(time.Millisecond)), nil
}

func (v *Visitor) serves(ctx context.Context, daemon int) error {
	client := v.client(daemon)
	for _, model := range v.Models {
		if _, err := client.Chat.Completions.New(ctx, chat(model.Name, "ready?", 2)); err != nil {
			return err
		}
	}
	var tenancy any
	return client.Get(ctx, "services/ledger/tenancies/1", nil, &tenancy)
}

func (v *Visitor) addresses(ctx context.Context) (string, error) {
	client := v.client(0)
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	var answer cowslipproxy.Addresses
	for len(answer.Addresses) != len(v.Daemons) {
		if err := client.Get(ctx, "addresses", nil, &answer); err != nil {
			return "", errors.Wrapf(err, "found %d addresses, expected %d", len(answer.Addresses), len(v.Daemons))
		}
		time.Sleep(readyPoll)
	}
	return fmt.Sprintf("%d entry daemons for %v", len(answer.Addresses), time.Duration(answer.Lifetime)), nil
}

func (v *Visitor) plain(ctx context.Context) (string, error) {
	for daemon, model := range v.Models {
		client := v.client(daemon % len(v.Daemons))
		question := "summarise the inspection of plot 17"
		var answer *openai.ChatCompletion
		var err error
		if answer, err = client.Chat.Completions.New(ctx, chat(model.Name, question, 12)); err != nil {
			return "", err
		}
		if len(answer.Choices) != 1 || answer.Choices[0].Message.Content != expected(model, question, 12) {
			return "", errors.Errorf("%s: found %s, expected %q", model.Name, answer.RawJSON(), expected(model, question, 12))
		}
	}
	return fmt.Sprintf("right answers of %d models", len(v.Models)), nil
}

func (v *Visitor) streamed(ctx context.Context) (string, error) {
	model := v.Models[len(v.Models)-1]
	var parts int
	var err error
	if parts, _, err = v.stream(ctx, 1, model, "write an allergen letter", 40, nil); err != nil {
		return "", err
	}
	return fmt.Sprintf("right answer of %s in %d parts", model.Name, parts), nil
}

// stream asks for a streamed answer and compares it. It calls seen after each
// part, and returns the number of parts and the longest time between two.
func (v *Visitor) stream(ctx context.Context, daemon int, model cowslipproxy.Model, question string, count int, seen func(parts int) error) (int, time.Duration, error) {
	client := v.client(daemon)
	stream := client.Chat.Completions.NewStreaming(ctx, chat(model.Name, question, int64(count)))
	defer func() { _ = stream.Close() }()
	var text strings.Builder
	var longest time.Duration
	parts, last := 0, time.Now()
	for stream.Next() {
		chunk := stream.Current()
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
			continue
		}
		text.WriteString(chunk.Choices[0].Delta.Content)
		if parts++; parts > 1 {
			longest = max(longest, time.Since(last))
		}
		last = time.Now()
		if seen == nil {
			continue
		}
		if err := seen(parts); err != nil {
			return parts, longest, err
		}
	}
	if err := stream.Err(); err != nil {
		return parts, longest, err
	}
	if want := expected(model, question, count); text.String() != want {
		return parts, longest, errors.Errorf("found %q, expected %q", text.String(), want)
	}
	return parts, longest, nil
}

// refusal asks for a model that isn't declared.
func (v *Visitor) refusal(ctx context.Context) (string, error) {
	client := v.client(0)
	_, err := client.Chat.Completions.New(ctx, chat("no-such-model", "write", 2))
	var refused *openai.Error
	if !errors.As(err, &refused) {
		return "", errors.Errorf("found error %v, expected a refusal", err)
	}
	outcome, reason := refused.Response.Header.Get(caller.HeaderOutcome), refused.Response.Header.Get(caller.HeaderReason)
	if refused.StatusCode != http.StatusNotFound || outcome != string(cowslipproxy.OutcomeRefused) ||
		reason != string(cowslipproxy.ReasonModelUnknown) || refused.Code != reason {
		return "", errors.Errorf("found status %d, outcome %q, reason %q and code %q", refused.StatusCode, outcome, reason, refused.Code)
	}
	return fmt.Sprintf("%d %s, %s: %s", refused.StatusCode, outcome, reason, refused.Message), nil
}

func chat(model, question string, count int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:               model,
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage(question)},
		MaxCompletionTokens: openai.Int(count),
	}
}

// expected returns the text that a model answers to a chat of one question.
func expected(model cowslipproxy.Model, question string, count int) string {
	return strings.Join(emulator.Answer(model, "", "<|user|>\n"+question+"\n<|assistant|>\n", count), "")
}
