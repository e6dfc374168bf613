package cowslipproxy

import "github.com/cespare/xxhash/v2"

// PrefixBlock is the granularity of prompt prefixes, in bytes.
const PrefixBlock = 256

// PrefixHashes returns the hash of each prefix of the prompt whose length is a
// multiple of PrefixBlock, the shortest first.
func PrefixHashes(model, prompt string) []uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model) // documented to never fail
	hashes := make([]uint64, 0, len(prompt)/PrefixBlock)
	for len(prompt) >= PrefixBlock {
		_, _ = digest.WriteString(prompt[:PrefixBlock])
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[PrefixBlock:]
	}
	return hashes
}
