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

// YAML decodes one YAML document and checks it. Unknown and duplicate keys are errors.
func YAML(data []byte, value any) error {
	if err := YAMLUnchecked(data, value); err != nil {
		return err
	}
	return Check(value)
}

// YAMLUnchecked decodes one YAML document, for values that are checked later.
func YAMLUnchecked(data []byte, value any) error {
	if err := checkYAML(data, reflect.TypeOf(value)); err != nil {
		return errors.Wrap(err, "yaml")
	}
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

// StrictJSON decodes a JSON value. Unknown fields, duplicate keys and trailing
// data are errors.
func StrictJSON(data []byte, value any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		return jsonError(err)
	}
	end := d.InputOffset()
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.Errorf("json: found more data after byte %d, accepted is one value", end)
	}
	if err := checkKeys(json.NewDecoder(bytes.NewReader(data)), ""); err != nil {
		return err
	}
	return Check(value)
}

// checkKeys reports the path of the first key that stands twice in an object of
// the next value. The value is known to be well formed.
func checkKeys(d *json.Decoder, path string) error {
	var token json.Token
	var err error
	if token, err = d.Token(); err != nil {
		return errors.Wrap(err, "json")
	}
	kind, ok := token.(json.Delim)
	if !ok {
		return nil
	}
	seen := map[string]bool{}
	for i := 0; d.More(); i++ {
		at := fmt.Sprintf("%s[%d]", path, i)
		if kind == '{' {
			if token, err = d.Token(); err != nil {
				return errors.Wrap(err, "json")
			}
			key, _ := token.(string)
			at = strings.TrimPrefix(path+"."+key, ".")
			if seen[key] {
				return errors.Errorf("%s: found twice, accepted is once", at)
			}
			seen[key] = true
		}
		if err := checkKeys(d, at); err != nil {
			return err
		}
	}
	_, err = d.Token() // the end of the object or list
	return errors.Wrap(err, "json")
}

func jsonError(err error) error {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) && kind.Field != "" {
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
