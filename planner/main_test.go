package planner_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that the tests give the same verdict each
// time.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.checks": "300"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := f.Value.Set(value); err != nil {
				panic(err) // the flags take numbers
			}
		}
	}
	os.Exit(m.Run())
}
