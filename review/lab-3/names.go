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

var (
	headerID        = wire("id")
	headerDeadline  = wire("deadline")
	headerInstance  = wire("instance")
	headerPath      = wire("path")
	headerParts     = wire("parts")
	headerTokens    = wire("tokens")
	headerSignature = wire("signature")
	headerUnrun     = wire("unrun")
	headerEngine    = wire("engine")

	pathAppend = wire("append")
	pathRead   = wire("read")
	pathNewest = wire("newest")
	pathReady  = wire("ready")
	pathReport = wire("report")
	pathOrder  = wire("order")

	variableBoot = wire("boot")

	topicPrefix  = wire("keyed")
	topicOp      = wire("op")
	topicServers = wire("servers")

	fieldPrefix = wire("prefix")
	fieldTarget = wire("target")
	fieldKeys   = wire("keys")
	fieldBytes  = wire("bytes")
)

// wire returns a name of the platform.
func wire(key string) string {
	for line := range strings.Lines(names) {
		if found, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok && found == key {
			return value
		}
	}
	panic(fmt.Sprintf("names.txt has no %q", key))
}
