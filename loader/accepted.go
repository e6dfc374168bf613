package loader

import (
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Accepted describes the values that a setting takes, by the check in its tag.
func (f Field) Accepted() string {
	kind := reflect.TypeFor[Settings]()
	for i := range kind.NumField() {
		if field := kind.Field(i); field.Tag.Get("json") == f.Name {
			return describe(field)
		}
	}
	return ""
}

func describe(field reflect.StructField) string {
	var parts []string
	for _, rule := range strings.Split(field.Tag.Get("validate"), ",") {
		name, limit, _ := strings.Cut(rule, "=")
		if text := describeRule(field.Type, name, limit); text != "" {
			parts = append(parts, text)
		}
	}
	if len(parts) == 0 {
		return "an IP number and port"
	}
	return strings.Join(parts, ", ")
}

func describeRule(kind reflect.Type, name, limit string) string {
	if kind == reflect.TypeFor[cowslipproxy.Duration]() {
		if number, err := strconv.ParseInt(limit, 10, 64); err == nil {
			limit = time.Duration(number).String()
		}
	}
	switch name {
	case "required":
		return "" // a setting without a usual value is required
	case "gt":
		return "more than " + limit
	case "gte":
		return "at least " + limit
	case "lte":
		return "at most " + limit
	case "max":
		return "at most " + limit + map[reflect.Kind]string{reflect.String: " characters", reflect.Slice: " addresses"}[kind.Kind()]
	case "label":
		return "small letters, digits and hyphens"
	case "oneof":
		return "one of " + strings.ReplaceAll(limit, " ", ", ")
	default:
		return name + " " + limit
	}
}
