// Package decoder decodes YAML, JSON and CBOR strictly and runs the checks of
// the decoded types.
package decoder

import (
	"encoding"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// Checker is a type that checks itself when it is decoded.
type Checker interface {
	Check() error
}

var labelPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	if err := v.RegisterValidation("label", isLabel); err != nil {
		panic(err) // the tag's name is a constant
	}
	return v
}

func isLabel(field validator.FieldLevel) bool {
	return labelPattern.MatchString(field.Field().String())
}

// Check runs the checks of the value's tags and its Check method.
func Check(value any) error {
	if isStruct(value) {
		if err := validate.Struct(value); err != nil {
			return fieldError(err)
		}
	}
	if checker, ok := value.(Checker); ok {
		return checker.Check()
	}
	return nil
}

func isStruct(value any) bool {
	t := reflect.TypeOf(value)
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	return t != nil && t.Kind() == reflect.Struct
}

// fieldError names the path of the first wrong field, what was found and what is accepted.
func fieldError(err error) error {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) || len(fields) == 0 {
		return errors.WithStack(err)
	}
	field := fields[0]
	_, path, _ := strings.Cut(field.Namespace(), ".")
	value := found(field.Value())
	if field.Tag() == "required" {
		value = "nothing"
	}
	return errors.Errorf("%s: found %s, accepted is %s", path, value, accepted(field))
}

func found(value any) string {
	if s, ok := value.(string); ok && s == "" {
		return "nothing"
	}
	text := fmt.Sprintf("%#v", value)
	if number, ok := asText(reflect.ValueOf(value)); ok {
		text = number
	}
	if len(text) > 80 {
		text = text[:80] + "..."
	}
	return text
}

// asText returns a number in the notation that it is given in, such as a
// duration's, if it has one.
func asText(number reflect.Value) (string, bool) {
	if !number.CanInt() {
		return "", false
	}
	marshaler, ok := number.Interface().(encoding.TextMarshaler)
	if !ok {
		return "", false
	}
	text, err := marshaler.MarshalText()
	return string(text), err == nil
}

// param returns a rule's parameter in the notation of the field's values.
func param(field validator.FieldError) string {
	limit, err := strconv.ParseInt(field.Param(), 10, 64)
	number := reflect.New(field.Type()).Elem()
	if err != nil || !number.CanInt() {
		return field.Param()
	}
	number.SetInt(limit)
	if text, ok := asText(number); ok {
		return text
	}
	return field.Param()
}

func accepted(field validator.FieldError) string {
	limit := param(field)
	switch field.Tag() {
	case "required":
		return "a value"
	case "oneof":
		return "one of " + limit
	case "label":
		return "a name of small letters, digits and hyphens"
	case "gt":
		return "more than " + limit
	case "gte", "min":
		return "at least " + limit
	case "lte", "max":
		return "at most " + limit
	case "len":
		return "a length of " + limit
	case "startswith":
		return "a text that starts with " + limit
	default:
		return strings.TrimSpace(field.Tag() + " " + limit)
	}
}
