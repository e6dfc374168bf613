package cowslipproxy

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the granularity of prompt prefixes, in bytes.
const PrefixBlockBytes = 256

// PrefixHashes returns the hash of each prefix of the prompt whose length is a
// multiple of PrefixBlockBytes, the shortest first.
func PrefixHashes(model, prompt string) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model) // documented to never fail
	hashes := make([]uint64, 0, len(prompt)/PrefixBlockBytes)
	for len(prompt) >= PrefixBlockBytes {
		_, _ = digest.WriteString(prompt[:PrefixBlockBytes])
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[PrefixBlockBytes:]
	}
	return hashes
}
