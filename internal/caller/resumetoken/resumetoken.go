// Package resumetoken encodes the resume token that a caller brings back to any
// entry host to continue its answer.
package resumetoken

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxEncodedBytes bounds the encoded form of a token.
const MaxEncodedBytes = 2048

// ErrInvalid means that a text is no resume token.
var ErrInvalid = errors.New("invalid resume token")

// Token says where the generation of an answer lives, so that no lookup store
// is needed. It carries no proof: whoever decodes one must check that the
// caller belongs to Account, and that PeerAddress is a known host's.
type Token struct {
	// RequestID of the answer, not empty.
	RequestID string
	// Account is the client account that sent the request, not empty.
	Account string
	// Backend is the name of the backend server, not empty.
	Backend string
	// PeerAddress of the process beside the backend server, as host:port.
	PeerAddress string
	// Incarnation of that process, not zero.
	Incarnation uint64
	// Sequence counts the generations of the incarnation, from 1.
	Sequence uint64
}

// Encode returns the token in the URL-safe alphabet without padding.
func (t Token) Encode() string {
	// A struct of strings and numbers always marshals.
	text, _ := json.Marshal(t)
	return base64.RawURLEncoding.EncodeToString(text)
}

// Decode returns the token that Encode wrote. Any other text is an error:
// unknown, repeated or misspelt fields, trailing data, missing identities and
// oversized texts.
func Decode(text string) (Token, error) {
	if len(text) > MaxEncodedBytes {
		return Token{}, errors.Wrapf(ErrInvalid, "%d bytes are over the bound of %d", len(text), MaxEncodedBytes)
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Token{}, errors.Wrapf(ErrInvalid, "decode base64: %v", err)
	}
	ticket, err := unmarshal(raw)
	if err != nil {
		return Token{}, err
	}
	if err := ticket.validate(); err != nil {
		return Token{}, err
	}
	if ticket.Encode() != text {
		return Token{}, errors.Wrap(ErrInvalid, "not in the form that Encode writes")
	}
	return ticket, nil
}

func unmarshal(raw []byte) (Token, error) {
	var ticket Token
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&ticket); err != nil {
		return Token{}, errors.Wrapf(ErrInvalid, "decode fields: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Token{}, errors.Wrap(ErrInvalid, "data after the end")
	}
	return ticket, nil
}

func (t Token) validate() error {
	switch {
	case t.RequestID == "":
		return errors.Wrap(ErrInvalid, "RequestID is empty")
	case t.Account == "":
		return errors.Wrap(ErrInvalid, "Account is empty")
	case t.Backend == "":
		return errors.Wrap(ErrInvalid, "Backend is empty")
	case t.PeerAddress == "":
		return errors.Wrap(ErrInvalid, "PeerAddress is empty")
	case t.Incarnation == 0:
		return errors.Wrap(ErrInvalid, "Incarnation is zero")
	case t.Sequence == 0:
		return errors.Wrap(ErrInvalid, "Sequence is zero")
	default:
		return nil
	}
}
