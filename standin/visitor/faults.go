package visitor

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/openai/openai-go/v3/option"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy/caller"
	"github.com/cowslipproxy/cowslipproxy/standin/emulator"
	"github.com/cowslipproxy/cowslipproxy/standin/server"
)

const (
	chunksBeforeCrash = 15 // chunks that are received before an engine is crashed
	crashMaxTokens    = 60
	controlTimeout    = 2 * time.Second
)

// checkStageCrash crashes an engine during a streamed completion and checks that the
// completion still has the expected text.
func (v *Visitor) checkStageCrash(ctx context.Context) (string, error) {
	var crashed string
	chunks, longestPause, err := v.stream(ctx, 2%len(v.Daemons), v.Models[0], "draft the renewal of plot 17", crashMaxTokens, func(chunks int) error {
		if chunks != chunksBeforeCrash {
			return nil
		}
		var err error
		crashed, err = v.crashEngine(ctx)
		return err
	})
	if err != nil {
		return "", err
	}
	if crashed == "" {
		return "", errors.Errorf("response ended after %d chunks, before an engine was crashed", chunks)
	}
	if err := v.waitForExit(ctx, crashed); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s killed after %d of %d chunks, expected answer, longest pause %v", crashed, chunksBeforeCrash, chunks, longestPause.Round(time.Millisecond)), nil
}

// waitForExit waits until the process of an engine no longer responds.
func (v *Visitor) waitForExit(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	for ctx.Err() == nil {
		var stats emulator.Stats
		if err := getJSON(ctx, "http://"+v.Controls[name].String()+"/account", &stats); err != nil && ctx.Err() == nil {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.Errorf("engine %s is still running", name)
}

// crashEngine makes an engine that holds a context crash within its next step, and
// returns its name.
func (v *Visitor) crashEngine(ctx context.Context) (string, error) {
	var names []string
	for name := range v.Controls {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		control := "http://" + v.Controls[name].String()
		var stats emulator.Stats
		if err := getJSON(ctx, control+"/account", &stats); err != nil {
			return "", err
		}
		if stats.Contexts == 0 {
			continue
		}
		var data []byte
		var err error
		if data, err = json.Marshal(emulator.Faults{CrashAtStep: 1}); err != nil {
			return "", errors.WithStack(err)
		}
		// The process may exit before it responds; checkStageCrash waits for its exit.
		_ = sendRequest(ctx, http.MethodPut, control+"/faults", data, nil)
		return name, nil
	}
	return "", errors.New("no engine holds a context of the completion")
}

// checkIdempotency posts a fee through two daemons with the same idempotency key. The
// responses must be equal, and the service must have applied the fee once.
func (v *Visitor) checkIdempotency(ctx context.Context) (string, error) {
	key := fmt.Sprintf("plot-17-%d", time.Now().UnixNano())
	var responses []string
	for daemon := range 2 {
		client := v.client(daemon)
		var body map[string]any
		var response *http.Response
		if err := client.Post(ctx, "services/ledger/fees", map[string]int{"plot": 17}, &body,
			option.WithHeader(caller.HeaderKey, key), option.WithResponseInto(&response)); err != nil {
			return "", err
		}
		responses = append(responses, fmt.Sprint(body, response.StatusCode, response.Header.Get(caller.HeaderOutcome)))
	}
	if responses[0] != responses[1] {
		return "", errors.Errorf("responses to requests with the same idempotency key differ: %q", responses)
	}
	var effects []server.Effect
	if err := getJSON(ctx, "http://"+v.Service.String()+"/account", &effects); err != nil {
		return "", err
	}
	if len(effects) != 1 {
		return "", errors.Errorf("service applied the fee %d times, want once", len(effects))
	}
	return "equal answers, fee applied once", nil
}

func getJSON(ctx context.Context, url string, value any) error {
	return sendRequest(ctx, http.MethodGet, url, nil, value)
}

// sendRequest sends a request to a control endpoint of a stand-in and decodes the response
// into value, if set.
func sendRequest(ctx context.Context, method, url string, body []byte, value any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var request *http.Request
	var err error
	if request, err = http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body)); err != nil {
		return errors.WithStack(err)
	}
	var response *http.Response
	if response, err = http.DefaultClient.Do(request); err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("%s: unexpected status %s", url, response.Status)
	}
	if value == nil {
		return nil
	}
	return errors.WithStack(json.NewDecoder(response.Body).Decode(value))
}
