package main

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
)

// maxFileSize is the maximum size of a configuration file, in bytes. At the size
// expected in two years, 3,722 items of about 1 KB, a file is about 4 MB.
const maxFileSize = 64 << 20

// readConfiguration reads and validates the file named by the only argument; "-" is
// standard input.
func readConfiguration(args []string) (cowslipproxy.Configuration, error) {
	var configuration cowslipproxy.Configuration
	if len(args) != 1 {
		return configuration, usageError("arguments: %d given, but one FILE, or - for standard input, is required", len(args))
	}
	input := os.Stdin
	if args[0] != "-" {
		var err error
		if input, err = os.Open(args[0]); err != nil {
			return configuration, errors.WithStack(err)
		}
		defer func() { _ = input.Close() }()
	}
	var data []byte
	var err error
	if data, err = io.ReadAll(io.LimitReader(input, maxFileSize+1)); err != nil {
		return configuration, errors.WithStack(err)
	}
	if len(data) > maxFileSize {
		return configuration, errors.Errorf("%s: file exceeds %d bytes", args[0], maxFileSize)
	}
	if err := decoder.YAML(data, &configuration); err != nil {
		return configuration, errors.Wrap(err, args[0])
	}
	return configuration, errors.Wrap(checkKeys(configuration), args[0])
}

// checkKeys returns an error if two customers have the same bearer key, since a request
// with that key could belong to either of them.
func checkKeys(configuration cowslipproxy.Configuration) error {
	owners := map[string]string{}
	for _, customer := range configuration.Customers {
		for _, key := range customer.Keys {
			if owner, ok := owners[key]; ok && owner != customer.Name {
				return errors.Errorf("customers %s and %s: same key; keys must be unique", owner, customer.Name)
			}
			owners[key] = customer.Name
		}
	}
	return nil
}
