package decoder

import (
	"encoding"
	"fmt"
	"maps"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// checkYAML returns an error with the path of the first value that doesn't match the
// type of its field. The library's errors contain no path, and those of text fields not
// even a line. The library also truncates fractional numbers for integer fields.
func checkYAML(data []byte, t reflect.Type) error {
	var file *ast.File
	var err error
	if file, err = parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey()); err != nil {
		return nil // the library returns its own error, which shows the position in the text
	}
	documents := 0
	for _, document := range file.Docs {
		if document.Body == nil || document.Body.Type() == ast.CommentType {
			continue
		}
		if documents++; documents > 1 {
			return errors.Errorf("second document on line %d; only one is allowed", document.Body.GetToken().Position.Line)
		}
		if err := checkNode("", document.Body, t); err != nil {
			return err
		}
	}
	return nil
}

// checkNode checks a node and its children. Anchors, aliases and tags are left to the
// library.
func checkNode(path string, node ast.Node, t reflect.Type) error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch node.Type() {
	case ast.NullType, ast.AnchorType, ast.AliasType, ast.TagType, ast.MergeKeyType:
		return nil
	}
	if text, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler); ok {
		return checkText(path, node, text)
	}
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return checkMapping(path, node, t)
	case reflect.Slice:
		return checkSequence(path, node, t)
	default:
		return checkScalar(path, node, t)
	}
}

func mismatchError(path string, node ast.Node, accepted string) error {
	return errors.Errorf("%s: %s is not %s", pathOrDocument(path), describeNode(node), accepted)
}

func pathOrDocument(path string) string {
	if path == "" {
		return "document"
	}
	return path
}

func describeNode(node ast.Node) string {
	switch node.Type() {
	case ast.MappingType, ast.MappingValueType:
		return "a mapping"
	case ast.SequenceType:
		return "a list"
	case ast.StringType, ast.LiteralType:
		return formatValue(scalarText(node))
	default:
		return node.GetToken().Value
	}
}

func scalarText(node ast.Node) string {
	if value, ok := node.(ast.ScalarNode); ok {
		return fmt.Sprint(value.GetValue())
	}
	return node.GetToken().Value
}

func checkText(path string, node ast.Node, text encoding.TextUnmarshaler) error {
	accepted := "a string"
	if _, ok := text.(*netip.AddrPort); ok {
		accepted = "an IP address and port"
	}
	if _, ok := node.(ast.ScalarNode); !ok {
		return mismatchError(path, node, accepted)
	}
	err := text.UnmarshalText([]byte(scalarText(node)))
	switch {
	case err == nil:
		return nil
	case strings.HasPrefix(err.Error(), "\""):
		return errors.Wrap(err, pathOrDocument(path))
	default:
		return mismatchError(path, node, accepted)
	}
}

func checkMapping(path string, node ast.Node, t reflect.Type) error {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		return mismatchError(path, node, "a mapping")
	}
	lines := map[string]int{}
	for entries := mapping.MapRange(); entries.Next(); {
		key, value := entries.Key(), entries.Value()
		if key.Type() == ast.MergeKeyType {
			continue
		}
		name := scalarText(key)
		keyPath := name
		if path != "" {
			keyPath = path + "." + name
		}
		if line, ok := lines[name]; ok {
			return errors.Errorf("%s: duplicate key, %q is already defined on line %d; keys must be unique", keyPath, name, line)
		}
		lines[name] = key.GetToken().Position.Line
		valueType := t
		if t.Kind() == reflect.Map {
			valueType = t.Elem()
		} else if valueType, ok = fieldsOf(t)[name]; !ok {
			return errors.Errorf("%s: unknown field %q is not one of %s", keyPath, name, strings.Join(slices.Sorted(maps.Keys(fieldsOf(t))), ", "))
		}
		if err := checkNode(keyPath, value, valueType); err != nil {
			return err
		}
	}
	return nil
}

// fieldsOf returns the types of a struct's fields by their JSON names.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.IsExported() && name != "" && name != "-" {
			fields[name] = field.Type
		}
	}
	return fields
}

func checkSequence(path string, node ast.Node, t reflect.Type) error {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		return mismatchError(path, node, "a list")
	}
	for i, value := range sequence.Values {
		if err := checkNode(fmt.Sprintf("%s[%d]", path, i), value, t.Elem()); err != nil {
			return err
		}
	}
	return nil
}

func checkScalar(path string, node ast.Node, t reflect.Type) error {
	kind := node.Type()
	switch t.Kind() {
	case reflect.String:
		if _, ok := node.(ast.ScalarNode); !ok {
			return mismatchError(path, node, "a string")
		}
	case reflect.Bool:
		if kind != ast.BoolType {
			return mismatchError(path, node, "true or false")
		}
	case reflect.Int, reflect.Int32, reflect.Int64:
		if _, err := strconv.ParseInt(scalarText(node), 0, t.Bits()); kind != ast.IntegerType || err != nil {
			return mismatchError(path, node, fmt.Sprintf("a whole number of %d bits", t.Bits()))
		}
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		if _, err := strconv.ParseUint(scalarText(node), 0, t.Bits()); kind != ast.IntegerType || err != nil {
			return mismatchError(path, node, fmt.Sprintf("a whole number from 0 of %d bits", t.Bits()))
		}
	case reflect.Float32, reflect.Float64:
		// The library parses 1e9 as a string.
		if _, err := strconv.ParseFloat(scalarText(node), t.Bits()); kind != ast.IntegerType && kind != ast.FloatType && err != nil {
			return mismatchError(path, node, "a number")
		}
	}
	return nil
}
