// Package prompt names the prefix of a prompt and reckons lengths in tokens. The
// entry host and the owner of an engine must agree on both: the owner reports
// prefixes by the hashes that the entry host looks for.
package prompt

import "github.com/cespare/xxhash/v2"

const (
	// bytesPerToken converts the length of a prompt to tokens.
	bytesPerToken = 4
	// prefixBytes is the part of a prompt that prefix affinity looks at.
	prefixBytes = 256
)

// PrefixHash returns the hash that names the prefix of a prompt.
func PrefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}

// PrefixTokens returns the length of the prefix, in tokens.
func PrefixTokens(prompt string) int {
	return min(len(prompt), prefixBytes) / bytesPerToken
}

// Tokens returns the length of a prompt, in tokens, rounded down.
func Tokens(prompt string) int {
	return len(prompt) / bytesPerToken
}
