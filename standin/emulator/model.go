// Package emulator is a stand-in for a model engine that holds a range of
// layers. It computes a deterministic function instead of a model: each layer's
// output depends on the layer's number and on all positions before it, so that
// a layer that is left out, run twice or run on a wrong context changes the
// answer.
package emulator

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	tokenBytes = 4 // bytes of prompt in one token
	vocabulary = 50_000
	stateBytes = 8 // activations of one position
)

// tokens splits a prompt into tokens.
func tokens(prompt string) []int {
	ids := make([]int, 0, len(prompt)/tokenBytes+1)
	for len(prompt) > 0 {
		n := min(tokenBytes, len(prompt))
		ids = append(ids, int(xxhash.Sum64String(prompt[:n])%vocabulary))
		prompt = prompt[n:]
	}
	return ids
}

func mix(values ...uint64) uint64 {
	h := uint64(0x9e3779b97f4a7c15)
	for _, v := range values {
		h ^= v
		h *= 0xff51afd7ed558ccd
		h ^= h >> 32
	}
	return h
}

func seedOf(model, version, adapter string) uint64 {
	return xxhash.Sum64String(model + "\x00" + version + "\x00" + adapter)
}

// embed returns the first layer's input for a token.
func embed(token int, seed uint64) uint64 { return mix(uint64(token), seed) }

// layerState is what one layer keeps of the positions that it ran; it takes the
// place of the layer's KV cache.
type layerState uint64

// run advances a range of layers by one position.
func run(states []layerState, layers cowslipproxy.LayerRange, input, seed uint64) uint64 {
	for i := range states {
		states[i] = layerState(mix(uint64(states[i]), input))
		input = mix(input, uint64(states[i]), uint64(layers.First+i), seed)
	}
	return input
}

// sample returns the token that follows from the last layer's output.
func sample(output uint64) int { return int(output % vocabulary) }

func text(token int) string { return " t" + strconv.Itoa(token) }

func pack(outputs []uint64) []byte {
	state := make([]byte, 0, stateBytes*len(outputs))
	for _, output := range outputs {
		state = binary.LittleEndian.AppendUint64(state, output)
	}
	return state
}

func unpack(state []byte) []uint64 {
	inputs := make([]uint64, 0, len(state)/stateBytes)
	for len(state) >= stateBytes {
		inputs = append(inputs, binary.LittleEndian.Uint64(state))
		state = state[stateBytes:]
	}
	return inputs
}

// Answer returns the first texts that a whole model gives to a prompt. It is
// the reference that answers are compared with.
func Answer(model cowslipproxy.Model, adapter, prompt string, count int) []string {
	seed := seedOf(model.Name, model.Version, adapter)
	all := cowslipproxy.LayerRange{First: 0, End: model.Layers}
	states := make([]layerState, model.Layers)
	var output uint64
	for _, token := range tokens(prompt) {
		output = run(states, all, embed(token, seed), seed)
	}
	var texts []string
	for range count {
		token := sample(output)
		texts = append(texts, text(token))
		output = run(states, all, embed(token, seed), seed)
	}
	return texts
}
