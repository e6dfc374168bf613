// Package decoder decodes YAML, JSON and CBOR strictly and validates the decoded
// values.
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

// Checker is implemented by types with validation beyond that of their tags.
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
		panic(err) // can't happen: the tag is a valid constant
	}
	return v
}

func isLabel(field validator.FieldLevel) bool {
	return labelPattern.MatchString(field.Field().String())
}

// Check validates a value by its validate tags and its Check method.
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

// fieldError returns an error with the path of the first invalid field, the value
// found and the values accepted.
func fieldError(err error) error {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) || len(fields) == 0 {
		return errors.WithStack(err)
	}
	field := fields[0]
	_, path, _ := strings.Cut(field.Namespace(), ".")
	value := formatValue(field.Value())
	if field.Tag() == "required" {
		value = "an empty value"
	}
	return errors.Errorf("%s: %s is not %s", path, value, describeAccepted(field))
}

func formatValue(value any) string {
	if s, ok := value.(string); ok && s == "" {
		return "an empty value"
	}
	text := fmt.Sprintf("%#v", value)
	if number, ok := formatNumber(reflect.ValueOf(value)); ok {
		text = number
	}
	if len(text) > 80 {
		text = text[:80] + "..."
	}
	return text
}

// formatNumber formats a number whose type has a text format of its own, such as a
// duration.
func formatNumber(number reflect.Value) (string, bool) {
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

// formatParam returns the parameter of a validation rule in the text format of the
// field.
func formatParam(field validator.FieldError) string {
	limit, err := strconv.ParseInt(field.Param(), 10, 64)
	number := reflect.New(field.Type()).Elem()
	if err != nil || !number.CanInt() {
		return field.Param()
	}
	number.SetInt(limit)
	if text, ok := formatNumber(number); ok {
		return text
	}
	return field.Param()
}

func describeAccepted(field validator.FieldError) string {
	limit := formatParam(field)
	switch field.Tag() {
	case "required":
		return "allowed"
	case "oneof":
		return "one of " + limit
	case "label":
		return "a name of lowercase letters, digits and hyphens"
	case "gt":
		return "more than " + limit
	case "gte", "min":
		return "at least " + limit
	case "lte", "max":
		return "at most " + limit
	case "len":
		return "of length " + limit
	case "startswith":
		return "a string that starts with " + limit
	default:
		return strings.TrimSpace(field.Tag() + " " + limit)
	}
}
