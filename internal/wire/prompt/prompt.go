// Package prompt computes the hash of a prompt's prefix and estimates lengths in tokens.
// Entry hosts and the owners of engines must use the same functions, because an owner
// reports cached prefixes by the hashes that entry hosts compare.
package prompt

import "github.com/cespare/xxhash/v2"

const (
	// bytesPerToken is the assumed number of bytes per token.
	bytesPerToken = 4
	// prefixBytes is the length of the prefix that prefix affinity considers.
	prefixBytes = 256
)

// PrefixHash returns the hash of a prompt's prefix.
func PrefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}

// PrefixTokens returns the length of a prompt's prefix, in tokens.
func PrefixTokens(prompt string) int {
	return min(len(prompt), prefixBytes) / bytesPerToken
}

// Tokens returns the length of a prompt, in tokens, rounded down.
func Tokens(prompt string) int {
	return len(prompt) / bytesPerToken
}
