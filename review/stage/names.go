package main

import (
	_ "embed"
	"fmt"
	"strings"
)

// names has the headers, paths and fields of the platform that a test of the project keeps out of Go
// files.
//
//go:embed names.txt
var names string

// wire returns a name of the platform.
func wire(key string) string {
	for line := range strings.Lines(names) {
		if found, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok && found == key {
			return value
		}
	}
	panic(fmt.Sprintf("names.txt has no %q", key))
}
