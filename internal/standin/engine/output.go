package engine

import (
	"encoding/binary"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// lengthMark in a prompt is followed by the wanted length, as in "tokens=37".
const lengthMark = "tokens="

const (
	// minOutputTokens is the least length without a mark, in tokens.
	minOutputTokens = 8
	// maxOutputTokens bounds the length without a mark, in tokens.
	maxOutputTokens = 4096
	// tailExponent is the exponent of the Pareto distribution of lengths.
	tailExponent = 1.2
)

var defaultWords = []string{
	"warm", "up", "with", "three", "sets", "of", "ten", "squats", "then", "rest",
	"two", "minutes", "the", "hut", "key", "lies", "under", "low", "tide", "stone",
}

// HeavyTailedLength is the length that the prompt asks for by "tokens=37",
// else one drawn from a Pareto distribution by prompt and seed.
func HeavyTailedLength(prompt string, seed uint64) int {
	if n, ok := markedLength(prompt); ok {
		return n
	}
	// A share of the hash's upper bits lies in (0, 1].
	share := (float64(hashPrompt(prompt, seed, 0)>>11) + 1) / (1 << 53)
	length := minOutputTokens * math.Pow(share, -1/tailExponent)
	return int(min(length, maxOutputTokens))
}

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

// promptTokens counts a prompt's tokens: its words.
func promptTokens(prompt string) int {
	return max(len(strings.Fields(prompt)), 1)
}

// prefixTokens counts the tokens of the prompt's prefix: what stands before
// the first empty line, else half of it.
func prefixTokens(prompt string) int {
	if prefix, _, ok := strings.Cut(prompt, "\n\n"); ok {
		return len(strings.Fields(prefix))
	}
	return promptTokens(prompt) / 2
}

// hashPrompt hashes a prompt, a seed and a position.
func hashPrompt(prompt string, seed uint64, position int) uint64 {
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:8], seed)
	binary.LittleEndian.PutUint64(numbers[8:], uint64(position))
	d := xxhash.New()
	_, _ = d.Write(numbers[:])
	_, _ = d.WriteString(prompt)
	return d.Sum64()
}

// Output is the whole output that the engine produces for a prompt without a
// bound on its length, token by token.
func (s *Server) Output(prompt string) []string {
	tokens := make([]string, s.outputLength(prompt))
	for i := range tokens {
		tokens[i] = s.tokenText(prompt, i)
	}
	return tokens
}

func (s *Server) outputLength(prompt string) int {
	if s.OutputLength == nil {
		return HeavyTailedLength(prompt, s.Seed)
	}
	return max(s.OutputLength(prompt, s.Seed), 1)
}

// tokenText is the text of the token at position; all but the first begin with a
// space.
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
