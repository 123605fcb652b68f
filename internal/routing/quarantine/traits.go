package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"

	"github.com/fulmarvalve/fulmarvalve/internal/wire/prompt"
)

// digestBytes is the number of bytes of a digest that its text shows.
const digestBytes = 12

// Kinds of traits other than parts of prompts, whose IDs have no hyphen.
const (
	kindTarget  = "target"
	kindAccount = "account"
	kindBody    = "body"
	kindCall    = "call"
	kindRequest = "request"
	// kindSeparator stands between the kind of a trait and the rest.
	kindSeparator = "-"
)

// Content is what a request consists of, but for its ID and its deadline.
type Content struct {
	Account string
	Method  string
	Host    string
	// Target is the path with its query.
	Target string
	Body   []byte
	// PromptParts are the IDs of the parts of the prompt, in order. They may be empty.
	PromptParts []string
}

// GenerationContent returns the content of a request for a generation, on the path through the
// owners of engines. Requests share the beginning of a prompt as a part.
func GenerationContent(account, service, model, text string) Content {
	prefix := strconv.FormatUint(prompt.PrefixHash(text), 16)
	return Content{Account: account, Method: "generate", Host: service, Target: model, Body: []byte(text), PromptParts: []string{prefix}}
}

// CallContent returns the content of a call of a plain service, on the path through its owner.
func CallContent(account, service, method, path string, body []byte) Content {
	return Content{Account: account, Method: method, Host: service, Target: path, Body: body}
}

// Traits returns what other requests may have in common with this one: its target, its client
// account, its body, account, target and body together (the call), each part of its prompt,
// and the call together with the prompt. The further back a trait, the fewer requests have it.
func (c Content) Traits() []string {
	target := digest(c.Method, c.Host, c.Target)
	traits := []string{kindTarget + kindSeparator + target}
	if c.Account != "" {
		traits = append(traits, kindAccount+kindSeparator+digest(c.Account))
	}
	body := digest(string(c.Body))
	if len(c.Body) > 0 {
		traits = append(traits, kindBody+kindSeparator+body)
	}
	call := digest(target, c.Account, body)
	traits = append(traits, kindCall+kindSeparator+call)
	var parts []string
	for _, part := range c.PromptParts {
		if !strings.Contains(part, kindSeparator) && !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	if len(parts) == 0 {
		return traits
	}
	whole := digest(append([]string{call}, parts...)...)
	return append(append(traits, parts...), kindRequest+kindSeparator+whole)
}

// isPromptPart reports whether a trait is a part of prompts.
func isPromptPart(trait string) bool {
	return !strings.Contains(trait, kindSeparator)
}

// digest returns a text that only equal lists of texts have in common.
func digest(texts ...string) string {
	hash := sha256.New()
	for _, text := range texts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		hash.Write(length[:])
		hash.Write([]byte(text))
	}
	return hex.EncodeToString(hash.Sum(nil)[:digestBytes])
}
