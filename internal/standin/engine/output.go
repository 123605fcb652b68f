package engine

import (
	"encoding/binary"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// lengthMark precedes the output length that a prompt sets, as in "tokens=37".
const lengthMark = "tokens="

const (
	// minOutputTokens is the minimum length of an output without a mark, in tokens.
	minOutputTokens = 8
	// maxOutputTokens is the maximum length of an output without a mark, in tokens.
	maxOutputTokens = 4096
	// tailExponent is the exponent of the Pareto distribution of lengths.
	tailExponent = 1.2
)

var defaultWords = []string{
	"warm", "up", "with", "three", "sets", "of", "ten", "squats", "then", "rest",
	"two", "minutes", "the", "hut", "key", "lies", "under", "low", "tide", "stone",
}

// HeavyTailedLength returns the output length for a prompt: the length that the
// prompt sets, as in "tokens=37", or else a length from a Pareto distribution that is
// a pure function of prompt and seed.
func HeavyTailedLength(prompt string, seed uint64) int {
	if n, ok := markedLength(prompt); ok {
		return n
	}
	// The upper 53 bits of the hash give a uniform value in (0, 1].
	uniform := (float64(hashPrompt(prompt, seed, 0)>>11) + 1) / (1 << 53)
	length := minOutputTokens * math.Pow(uniform, -1/tailExponent)
	return int(min(length, maxOutputTokens))
}

// markedLength returns the length that a prompt sets by lengthMark, if any.
func markedLength(prompt string) (int, bool) {
	_, rest, ok := strings.Cut(prompt, lengthMark)
	if !ok {
		return 0, false
	}
	end := strings.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' })
	if end >= 0 {
		rest = rest[:end]
	}
	n, err := strconv.Atoi(rest)
	return n, err == nil && n > 0
}

// promptTokens returns the number of tokens in a prompt, where each word is a token.
// It is at least 1.
func promptTokens(prompt string) int {
	return max(len(strings.Fields(prompt)), 1)
}

// prefixTokens returns the number of tokens in the prompt's prefix: the text before
// the first empty line or, if there is none, half of the prompt.
func prefixTokens(prompt string) int {
	if prefix, _, ok := strings.Cut(prompt, "\n\n"); ok {
		return len(strings.Fields(prefix))
	}
	return promptTokens(prompt) / 2
}

// hashPrompt returns a hash of a prompt, a seed and a position.
func hashPrompt(prompt string, seed uint64, position int) uint64 {
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:8], seed)
	binary.LittleEndian.PutUint64(numbers[8:], uint64(position))
	d := xxhash.New()
	_, _ = d.Write(numbers[:])
	_, _ = d.WriteString(prompt)
	return d.Sum64()
}

// Output returns the tokens that the engine produces for a prompt if the request
// does not limit their number.
func (s *Server) Output(prompt string) []string {
	tokens := make([]string, s.outputLength(prompt))
	for i := range tokens {
		tokens[i] = s.tokenText(prompt, i)
	}
	return tokens
}

// outputLength returns the length of the output for a prompt, in tokens, at least 1.
func (s *Server) outputLength(prompt string) int {
	if s.OutputLength == nil {
		return HeavyTailedLength(prompt, s.Seed)
	}
	return max(s.OutputLength(prompt, s.Seed), 1)
}

// tokenText returns the text of the token at a position. Each token but the first
// begins with a space.
func (s *Server) tokenText(prompt string, position int) string {
	words := s.Words
	if len(words) == 0 {
		words = defaultWords
	}
	text := words[hashPrompt(prompt, s.Seed, position+1)%uint64(len(words))]
	if position == 0 {
		return text
	}
	return " " + text
}
