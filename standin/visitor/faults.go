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
	killAfter   = 15 // parts of the answer before the stage is killed
	killAnswer  = 60
	controlTime = 2 * time.Second
)

// killed lets an engine of the running answer crash within its next step. The
// answer is still the expected one.
func (v *Visitor) killed(ctx context.Context) (string, error) {
	var victim string
	parts, longest, err := v.stream(ctx, 2%len(v.Daemons), v.Models[0], "draft the renewal of plot 17", killAnswer, func(parts int) error {
		if parts != killAfter {
			return nil
		}
		var err error
		victim, err = v.crash(ctx)
		return err
	})
	if err != nil {
		return "", err
	}
	if victim == "" {
		return "", errors.Errorf("the answer ended after %d parts, before a stage was killed", parts)
	}
	if err := v.ended(ctx, victim); err != nil {
		return "", err
	}
	return fmt.Sprintf("%s killed after %d of %d parts, right answer, longest pause %v", victim, killAfter, parts, longest.Round(time.Millisecond)), nil
}

// ended waits until an engine's process has ended.
func (v *Visitor) ended(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, controlTime)
	defer cancel()
	for ctx.Err() == nil {
		var account emulator.Account
		if err := getJSON(ctx, "http://"+v.Controls[name].String()+"/account", &account); err != nil && ctx.Err() == nil {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return errors.Errorf("engine %s still runs", name)
}

// crash lets an engine that holds a context crash within its next step, and
// returns its name.
func (v *Visitor) crash(ctx context.Context) (string, error) {
	var names []string
	for name := range v.Controls {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		control := "http://" + v.Controls[name].String()
		var account emulator.Account
		if err := getJSON(ctx, control+"/account", &account); err != nil {
			return "", err
		}
		if account.Contexts == 0 {
			continue
		}
		var data []byte
		var err error
		if data, err = json.Marshal(emulator.Faults{After: 1}); err != nil {
			return "", errors.WithStack(err)
		}
		// The engine's process may end before it answers; killed sees whether it ended.
		_ = exchange(ctx, http.MethodPut, control+"/faults", data, nil)
		return name, nil
	}
	return "", errors.New("no engine holds a context of the running answer")
}

// fee posts a fee through two daemons with one key. The service's account shows
// one effect.
func (v *Visitor) fee(ctx context.Context) (string, error) {
	key := fmt.Sprintf("plot-17-%d", time.Now().UnixNano())
	var answers []string
	for daemon := range 2 {
		client := v.client(daemon)
		var answer map[string]any
		var response *http.Response
		if err := client.Post(ctx, "services/ledger/fees", map[string]int{"plot": 17}, &answer,
			option.WithHeader(caller.HeaderKey, key), option.WithResponseInto(&response)); err != nil {
			return "", err
		}
		answers = append(answers, fmt.Sprint(answer, response.StatusCode, response.Header.Get(caller.HeaderOutcome)))
	}
	if answers[0] != answers[1] {
		return "", errors.Errorf("found the answers %q, expected equal ones", answers)
	}
	var effects []server.Effect
	if err := getJSON(ctx, "http://"+v.Service.String()+"/account", &effects); err != nil {
		return "", err
	}
	if len(effects) != 1 {
		return "", errors.Errorf("found %d effects, expected 1", len(effects))
	}
	return "equal answers, 1 effect", nil
}

func getJSON(ctx context.Context, url string, value any) error {
	return exchange(ctx, http.MethodGet, url, nil, value)
}

// exchange talks to a control endpoint of a stand-in.
func exchange(ctx context.Context, method, url string, body []byte, value any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTime)
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
		return errors.Errorf("%s: found status %s", url, response.Status)
	}
	if value == nil {
		return nil
	}
	return errors.WithStack(json.NewDecoder(response.Body).Decode(value))
}
