package decoder_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
)

// Guards against configuration errors without the path of the invalid field.
func TestYAMLErrorsHaveFieldPath(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"models:\n- name: scribe\n  version: '1'\n  layers: 0\n  window: 10\n  effect: repeat\n  replicas: 1\n", "models[0].layers: 0 is not at least 1"},
		{"models:\n- name: Scribe\n", `models[0].name: "Scribe" is not a name of lowercase letters`},
		{"modells: []\n", `modells: unknown field "modells" is not one of bases, customers, models, services`},
		{"models:\n- {name: a, nam: 3}\n", `models[0].nam: unknown field "nam" is not one of adapters,`},
		{"models: []\nmodels: []\n", `models: duplicate key, "models" is already defined`},
		{"models:\n- name: a\n- name: b\n  name: c\n", `models[1].name: duplicate key`},
		{"services:\n- timeout: soon\n", `services[0].timeout: "soon" is not a duration`},
		{"services:\n- rules: {method: GET}\n", `services[0].rules: a mapping is not a list`},
		{"models:\n- layers: many\n", `models[0].layers: "many" is not a whole number`},
		{"models:\n- layers: 1.5\n", `models[0].layers: 1.5 is not a whole number`},
		{"models:\n- layers: 99999999999999999999\n", `models[0].layers: "99999999999999999999" is not a whole number`},
		{"models:\n- name: [x]\n", `models[0].name: a list is not a string`},
		{"models:\n- fenced: perhaps\n", `models[0].fenced: "perhaps" is not true or false`},
		{"customers:\n- rate: fast\n", `customers[0].rate: "fast" is not a number`},
		{"bases: {model/a: -1}\n", `bases.model/a: -1 is not a whole number from 0`},
		{"[]\n", `document: a list is not a mapping`},
		{"models: []\n---\nmodels: []\n", `second document on line 3; only one is allowed`},
		{"models: [\n", `yaml`},
	} {
		var configuration cowslipproxy.Configuration
		require.ErrorContains(t, decoder.YAML([]byte(c.text), &configuration), c.want)
	}
}

// Guards against input that is partly ignored: the last of several values of a
// duplicate key would be used, and data after the JSON value would be discarded.
func TestStrictJSON(t *testing.T) {
	type inner struct {
		A int            `json:"a"`
		B []inner        `json:"b"`
		C map[string]int `json:"c"`
	}
	for _, c := range []struct{ text, want string }{
		{`{"a":1,"a":2}`, "a: duplicate key; keys must be unique"},
		{`{"b":[{},{"a":1,"a":1}]}`, "b[1].a: duplicate key; keys must be unique"},
		{`{"c":{"x":1,"y":2,"x":3}}`, "c.x: duplicate key; keys must be unique"},
		{`{"a":1}{"a":2}`, "unexpected data after byte 7"},
		{`{"a":1}}`, "unexpected data after byte 7"},
		{`{"a":1} ]`, "unexpected data after byte 7"},
		{`{"a":1} x`, "unexpected data after byte 7"},
		{`{"a":"x"}`, "a: JSON string is not a value of type int"},
		{`{"a":1.5}`, "a: JSON number 1.5 is not a value of type int"},
		{`{"d":1}`, `unknown field "d"`},
		{`[]`, "json"},
		{``, "json"},
	} {
		require.ErrorContains(t, decoder.StrictJSON([]byte(c.text), new(inner)), c.want, c.text)
	}
	var value inner
	require.NoError(t, decoder.StrictJSON([]byte(` {"a":1,"b":[{"a":2},{"a":3}],"c":{"a":1}} `+"\n"), &value))
	require.Equal(t, inner{A: 1, B: []inner{{A: 2}, {A: 3}}, C: map[string]int{"a": 1}}, value)
}

// Guards against rejecting valid YAML in notations that cowslipctl doesn't print, such
// as flow mappings, hexadecimal numbers and aliases.
func TestYAMLNotations(t *testing.T) {
	text := "---\n# comment\ncustomers:\n" +
		"- {name: a, keys: [" + strings.Repeat("a", 64) + "], class: high, rate: 1e9, burst: 2.5}\n" +
		"models:\n- name: scribe\n  version: 1.10\n  layers: 0x10\n  window: 16_384\n  effect: repeat\n  replicas: 1\n  fenced: true\n  adapters: null\n" +
		"services:\n- name: ledger\n  effect: once\n  timeout: &limit 1m30s\n  rules:\n- {name: desk, effect: repeat, timeout: *limit}\n"
	var configuration cowslipproxy.Configuration
	require.NoError(t, decoder.YAML([]byte(text), &configuration))
	require.InDelta(t, 1e9, configuration.Customers[0].Rate, 0)
	require.Equal(t, 16, configuration.Models[0].Layers)
	require.Equal(t, 16384, configuration.Models[0].Window)
	require.Equal(t, cowslipproxy.Duration(90*time.Second), configuration.Services[1].Timeout)
	require.NoError(t, decoder.YAML(nil, new(cowslipproxy.Configuration)))
}
