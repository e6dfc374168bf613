package emulator

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
)

// contextKey identifies a sequence. Each attempt of a request has its own.
type contextKey struct {
	request string
	attempt int
}

// sequence is the context of one attempt of a request: the KV cache of the layers
// that this engine holds.
type sequence struct {
	Seed      uint64       `json:"seed"`
	Token     int          `json:"token"`     // index of the token that the last step contributed to
	Positions int          `json:"positions"` // number of positions in the states
	States    []layerState `json:"states"`
	owner     any          // gRPC stream that created the sequence
}

// prefill starts a sequence and returns the outputs of all its positions.
func (e *Engine) prefill(step cowslipproxy.Step, owner any) ([]uint64, *sequence, cowslipproxy.Fault) {
	seq := &sequence{
		Seed:   modelSeed(step.Model, step.Version, step.Adapter),
		Token:  step.Token,
		States: make([]layerState, step.Range.Len()),
		owner:  owner,
	}
	inputs := decodeActivations(step.State)
	if step.Range.First == 0 {
		inputs = nil
		for _, token := range append(tokenize(step.Prompt), step.Generated...) {
			inputs = append(inputs, embed(token, seq.Seed))
		}
	}
	if len(inputs) == 0 {
		return nil, nil, cowslipproxy.FaultInternal
	}
	outputs := make([]uint64, 0, len(inputs))
	for _, input := range inputs {
		outputs = append(outputs, runLayers(seq.States, step.Range, input, seq.Seed))
	}
	seq.Positions = len(inputs)
	return outputs, seq, cowslipproxy.FaultNone
}

// decode advances a sequence by one position.
func (e *Engine) decode(step cowslipproxy.Step, seq *sequence) ([]uint64, cowslipproxy.Fault) {
	if seq == nil || seq.Token != step.Token-1 || len(seq.States) != step.Range.Len() {
		return nil, cowslipproxy.FaultContext
	}
	inputs := decodeActivations(step.State)
	if step.Range.First == 0 {
		if len(step.Generated) != 1 {
			return nil, cowslipproxy.FaultInternal
		}
		inputs = []uint64{embed(step.Generated[0], seq.Seed)}
	}
	if len(inputs) != 1 {
		return nil, cowslipproxy.FaultInternal
	}
	seq.Token, seq.Positions = step.Token, seq.Positions+1
	return []uint64{runLayers(seq.States, step.Range, inputs[0], seq.Seed)}, cowslipproxy.FaultNone
}

func (s *sequence) encode() ([]byte, error) {
	return cbor.Marshal(s)
}

func decodeSequence(data []byte) (*sequence, error) {
	seq := new(sequence)
	return seq, errors.WithStack(cbor.Unmarshal(data, seq))
}
