package decoder

import (
	"bytes"
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// YAML decodes one YAML document and checks it. Unknown and duplicate keys are errors.
func YAML(data []byte, value any) error {
	if err := YAMLUnchecked(data, value); err != nil {
		return err
	}
	return Check(value)
}

// YAMLUnchecked decodes one YAML document, for values that are checked later.
func YAMLUnchecked(data []byte, value any) error {
	if err := yaml.UnmarshalWithOptions(data, value, yaml.Strict()); err != nil {
		return errors.Errorf("yaml: %s", yaml.FormatError(err, false, false))
	}
	return nil
}

// JSON decodes a JSON value and accepts unknown fields, since callers' client
// libraries send fields that the router has no use for.
func JSON(data []byte, value any) error {
	if err := json.Unmarshal(data, value); err != nil {
		return jsonError(err)
	}
	return Check(value)
}

// StrictJSON decodes a JSON value. Unknown fields and trailing data are errors.
func StrictJSON(data []byte, value any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		return jsonError(err)
	}
	if d.More() {
		return errors.Errorf("json: found more data at byte %d, accepted is one value", d.InputOffset())
	}
	return Check(value)
}

func jsonError(err error) error {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return errors.Errorf("%s: found %s, accepted is %s", kind.Field, kind.Value, kind.Type)
	}
	return errors.Wrap(err, "json")
}

// CBOR decodes a CBOR value.
func CBOR(data []byte, value any) error {
	if err := cbor.Unmarshal(data, value); err != nil {
		return errors.Wrap(err, "cbor")
	}
	if checker, ok := value.(Checker); ok {
		return checker.Check()
	}
	return nil
}
