package decoder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// YAML decodes and validates one YAML document. Unknown and duplicate keys are errors.
func YAML(data []byte, value any) error {
	if err := YAMLUnchecked(data, value); err != nil {
		return err
	}
	return Check(value)
}

// YAMLUnchecked decodes one YAML document without validation.
func YAMLUnchecked(data []byte, value any) error {
	if err := checkYAML(data, reflect.TypeOf(value)); err != nil {
		return errors.Wrap(err, "yaml")
	}
	if err := yaml.UnmarshalWithOptions(data, value, yaml.Strict()); err != nil {
		return errors.Errorf("yaml: %s", yaml.FormatError(err, false, false))
	}
	return nil
}

// JSON decodes and validates a JSON value. It ignores unknown fields, since the client
// libraries of callers send fields that the router doesn't use.
func JSON(data []byte, value any) error {
	if err := json.Unmarshal(data, value); err != nil {
		return jsonError(err)
	}
	return Check(value)
}

// StrictJSON decodes and validates a JSON value. Unknown fields, duplicate keys and
// trailing data are errors.
func StrictJSON(data []byte, value any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		return jsonError(err)
	}
	end := d.InputOffset()
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.Errorf("json: unexpected data after byte %d; only one value is allowed", end)
	}
	if err := checkKeys(json.NewDecoder(bytes.NewReader(data)), ""); err != nil {
		return err
	}
	return Check(value)
}

// checkKeys returns an error with the path of the first duplicate key in the next
// value, which must be well formed.
func checkKeys(d *json.Decoder, path string) error {
	var token json.Token
	var err error
	if token, err = d.Token(); err != nil {
		return errors.Wrap(err, "json")
	}
	delim, ok := token.(json.Delim)
	if !ok {
		return nil
	}
	seen := map[string]bool{}
	for i := 0; d.More(); i++ {
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		if delim == '{' {
			if token, err = d.Token(); err != nil {
				return errors.Wrap(err, "json")
			}
			key, _ := token.(string)
			elementPath = strings.TrimPrefix(path+"."+key, ".")
			if seen[key] {
				return errors.Errorf("%s: duplicate key; keys must be unique", elementPath)
			}
			seen[key] = true
		}
		if err := checkKeys(d, elementPath); err != nil {
			return err
		}
	}
	_, err = d.Token() // closing delimiter of the object or array
	return errors.Wrap(err, "json")
}

func jsonError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) && typeError.Field != "" {
		return errors.Errorf("%s: JSON %s is not a value of type %s", typeError.Field, typeError.Value, typeError.Type)
	}
	return errors.Wrap(err, "json")
}

// CBOR decodes a CBOR value and runs its Check method.
func CBOR(data []byte, value any) error {
	if err := cbor.Unmarshal(data, value); err != nil {
		return errors.Wrap(err, "cbor")
	}
	if checker, ok := value.(Checker); ok {
		return checker.Check()
	}
	return nil
}
