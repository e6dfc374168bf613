package limiter_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that the tests give the same verdict each
// time, unless -rapid.seed sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("11"); err != nil {
			panic(err) // the flag takes numbers
		}
	}
	os.Exit(m.Run())
}
