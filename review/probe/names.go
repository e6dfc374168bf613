package main

import (
	_ "embed"
	"strings"
)

//go:embed names.txt
var nameTable string

// names holds the platform's headers, paths, topics and fields. The repository keeps them out
// of Go code other than its package platform.
var names = parseNames(nameTable)

func parseNames(table string) map[string]string {
	parsed := map[string]string{}
	for line := range strings.Lines(table) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		parsed[key] = value
	}
	return parsed
}
