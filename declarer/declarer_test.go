package declarer_test

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/declarer"
	"github.com/cowslipproxy/cowslipproxy/decoder"
)

const validKey = "an-example-key-0123456789"

// Prints a configuration for "cowslipctl publish".
func ExampleDeclaration_Write() {
	declaration := declarer.Declaration{
		Customers: []declarer.Customer{{Name: "renewals", Keys: []string{"an-example-key-0123456789"}, Class: declarer.Critical, Rate: 500}},
		Models:    []declarer.Model{{Name: "scribe", Version: "3", Layers: 48, Window: 16384, Adapters: []string{"letters"}}},
		Services:  []declarer.Service{{Name: "ledger", Rules: []cowslipproxy.Rule{declarer.MayRepeat("GET", "/tenancies")}}},
	}
	if err := declaration.Write(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// customers:
	//   - name: renewals
	//     keys:
	//       - 65aad408ed377d0ad43f60a7ba2c444a268565f4b3a4a3cce16b91ac38134adb
	//     class: critical
	//     rate: 500.0
	//     burst: 5000.0
	// models:
	//   - name: scribe
	//     version: "3"
	//     layers: 48
	//     window: 16384
	//     adapters:
	//       - letters
	//     effect: repeat
	//     replicas: 2
	//     fenced: false
	// services:
	//   - name: ledger
	//     effect: once
	//     rules:
	//       - method: GET
	//         path: /tenancies
	//         effect: repeat
	//     timeout: 10s
	//     keyed: false
	//     fenced: false
	//     urgent: false
}

// Guards against output that cowslipctl can't decode, and against bearer keys in the
// output.
func TestOutputDecodesToConfiguration(t *testing.T) {
	declaration := declarer.Declaration{
		Customers: []declarer.Customer{{Name: "renewals", Keys: []string{validKey}, Class: declarer.Critical, Rate: 1e7}},
		Models:    []declarer.Model{{Name: "scribe", Version: "1.0", Layers: 48, Window: 16384, Adapters: []string{"yes", "1"}}},
		Services:  []declarer.Service{{Name: "ledger", Rules: []cowslipproxy.Rule{declarer.RunsOnce("*", "/fees: #1")}}},
	}
	var output bytes.Buffer
	require.NoError(t, declaration.Write(&output))
	require.NotContains(t, output.String(), validKey)
	var got cowslipproxy.Configuration
	require.NoError(t, decoder.YAML(output.Bytes(), &got), output.String())
	want, err := declaration.Configuration()
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// Guards against a bearer key shared by two customers, and against keys that are short
// enough to be guessed.
func TestKeysAreUniqueAndLong(t *testing.T) {
	_, err := declarer.Declaration{Customers: []declarer.Customer{
		{Name: "a", Keys: []string{validKey}}, {Name: "b", Keys: []string{validKey}},
	}}.Configuration()
	require.ErrorContains(t, err, "customer b: key 0: same key as customer a")
	_, err = declarer.Declaration{Customers: []declarer.Customer{{Name: "a", Keys: []string{"short"}}}}.Configuration()
	require.ErrorContains(t, err, "length of 5 characters")
}
