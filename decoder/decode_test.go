package decoder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
)

// Guards against configuration errors that don't tell the operator which field is wrong.
func TestYAMLNamesTheWrongField(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"models:\n- name: scribe\n  version: '1'\n  layers: 0\n  window: 10\n  effect: repeat\n  replicas: 1\n", "models[0].layers: found 0, accepted is at least 1"},
		{"models:\n- name: Scribe\n", `models[0].name: found "Scribe", accepted is a name of small letters`},
		{"modells: []\n", `unknown field "modells"`},
		{"models: []\nmodels: []\n", `"models" already defined`},
		{"services:\n- timeout: soon\n", `found "soon", accepted is a duration`},
	} {
		var configuration cowslipproxy.Configuration
		require.ErrorContains(t, decoder.YAML([]byte(c.text), &configuration), c.want)
	}
}
