package loader

import (
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/cowslipproxy/cowslipproxy"
)

// Accepted describes the accepted values of a setting, from its validate tag.
func (f Field) Accepted() string {
	settings := reflect.TypeFor[Settings]()
	for i := range settings.NumField() {
		if field := settings.Field(i); field.Tag.Get("json") == f.Name {
			return describeField(field)
		}
	}
	return ""
}

func describeField(field reflect.StructField) string {
	var parts []string
	for _, rule := range strings.Split(field.Tag.Get("validate"), ",") {
		name, limit, _ := strings.Cut(rule, "=")
		if text := describeRule(field.Type, name, limit); text != "" {
			parts = append(parts, text)
		}
	}
	if len(parts) == 0 {
		return "an IP address and port"
	}
	return strings.Join(parts, ", ")
}

func describeRule(fieldType reflect.Type, name, limit string) string {
	if fieldType == reflect.TypeFor[cowslipproxy.Duration]() {
		if number, err := strconv.ParseInt(limit, 10, 64); err == nil {
			limit = time.Duration(number).String()
		}
	}
	switch name {
	case "required":
		return "" // a setting without a default is required
	case "gt":
		return "more than " + limit
	case "gte":
		return "at least " + limit
	case "lte":
		return "at most " + limit
	case "max":
		return "at most " + limit + map[reflect.Kind]string{reflect.String: " characters", reflect.Slice: " addresses"}[fieldType.Kind()]
	case "label":
		return "lowercase letters, digits and hyphens"
	case "oneof":
		return "one of " + strings.ReplaceAll(limit, " ", ", ")
	default:
		return name + " " + limit
	}
}
