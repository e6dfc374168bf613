// Package emulator is a stand-in for a model engine that holds a range of
// layers. It computes a deterministic function instead of a model: each layer's
// output depends on the layer's index and on all earlier positions, so that a
// layer that is skipped, run twice or run with the wrong context changes the
// generated text.
package emulator

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipproxy/cowslipproxy"
)

const (
	bytesPerToken      = 4 // prompt bytes per token
	vocabularySize     = 50_000
	bytesPerActivation = 8 // size of the activation of one position
)

// tokenize converts a prompt to token ids.
func tokenize(prompt string) []int {
	ids := make([]int, 0, len(prompt)/bytesPerToken+1)
	for len(prompt) > 0 {
		n := min(bytesPerToken, len(prompt))
		ids = append(ids, int(xxhash.Sum64String(prompt[:n])%vocabularySize))
		prompt = prompt[n:]
	}
	return ids
}

// mix hashes a sequence of values.
func mix(values ...uint64) uint64 {
	h := uint64(0x9e3779b97f4a7c15)
	for _, v := range values {
		h ^= v
		h *= 0xff51afd7ed558ccd
		h ^= h >> 32
	}
	return h
}

func modelSeed(model, version, adapter string) uint64 {
	return xxhash.Sum64String(model + "\x00" + version + "\x00" + adapter)
}

// embed returns the first layer's input for a token.
func embed(token int, seed uint64) uint64 { return mix(uint64(token), seed) }

// layerState is the stand-in for the KV cache of one layer. It depends on all
// positions that the layer has processed.
type layerState uint64

// runLayers processes one position in a range of layers and returns the output of
// the last one.
func runLayers(states []layerState, layers cowslipproxy.LayerRange, input, seed uint64) uint64 {
	for i := range states {
		states[i] = layerState(mix(uint64(states[i]), input))
		input = mix(input, uint64(states[i]), uint64(layers.First+i), seed)
	}
	return input
}

// sample returns the token for an output of the last layer.
func sample(output uint64) int { return int(output % vocabularySize) }

func tokenText(token int) string { return " t" + strconv.Itoa(token) }

func encodeActivations(outputs []uint64) []byte {
	state := make([]byte, 0, bytesPerActivation*len(outputs))
	for _, output := range outputs {
		state = binary.LittleEndian.AppendUint64(state, output)
	}
	return state
}

func decodeActivations(state []byte) []uint64 {
	inputs := make([]uint64, 0, len(state)/bytesPerActivation)
	for len(state) >= bytesPerActivation {
		inputs = append(inputs, binary.LittleEndian.Uint64(state))
		state = state[bytesPerActivation:]
	}
	return inputs
}

// Completion returns the texts of the first count tokens that the complete model
// generates for a prompt. It is the reference for the output of a chain.
func Completion(model cowslipproxy.Model, adapter, prompt string, count int) []string {
	seed := modelSeed(model.Name, model.Version, adapter)
	all := cowslipproxy.LayerRange{First: 0, End: model.Layers}
	states := make([]layerState, model.Layers)
	var output uint64
	for _, token := range tokenize(prompt) {
		output = runLayers(states, all, embed(token, seed), seed)
	}
	var texts []string
	for range count {
		token := sample(output)
		texts = append(texts, tokenText(token))
		output = runLayers(states, all, embed(token, seed), seed)
	}
	return texts
}
