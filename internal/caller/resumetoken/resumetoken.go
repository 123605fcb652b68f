// Package resumetoken encodes the resume token, with which a caller can resume a
// streamed response at any entry host. Token holds the decoded fields.
package resumetoken

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxEncodedBytes limits the length of an encoded token.
const MaxEncodedBytes = 2048

// ErrInvalid means that a text is not a valid resume token.
var ErrInvalid = errors.New("invalid resume token")

// Token identifies the generation of a response, and the process beside the backend
// server that runs the generation, so that no store is needed to look them up. A
// generation is one run of a request on a backend server. Tokens are not signed:
// whoever decodes one must check that the caller belongs to Account, and that
// PeerAddress is the address of a known host.
type Token struct {
	// RequestID identifies the request. It is not empty.
	RequestID string
	// Account is the client account that sent the request. It is not empty.
	Account string
	// Backend is the name of the backend server. It is not empty.
	Backend string
	// PeerAddress is the address of the process beside the backend server, as
	// host:port.
	PeerAddress string
	// Incarnation identifies the process at PeerAddress, which gets a new one each
	// time it starts. It is not zero.
	Incarnation uint64
	// Sequence is the number of the generation within the incarnation, from 1.
	Sequence uint64
}

// Encode returns the token as URL-safe base64 without padding.
func (t Token) Encode() string {
	// Marshaling a struct of strings and numbers cannot fail.
	text, _ := json.Marshal(t)
	return base64.RawURLEncoding.EncodeToString(text)
}

// Decode decodes a token that Encode wrote. It rejects every other text with
// ErrInvalid: unknown, repeated or misspelt fields, trailing data, empty fields
// and oversized texts.
func Decode(text string) (Token, error) {
	if len(text) > MaxEncodedBytes {
		return Token{}, errors.Wrapf(ErrInvalid, "%d bytes are over the bound of %d", len(text), MaxEncodedBytes)
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Token{}, errors.Wrapf(ErrInvalid, "decode base64: %v", err)
	}
	token, err := unmarshal(raw)
	if err != nil {
		return Token{}, err
	}
	if err := token.validate(); err != nil {
		return Token{}, err
	}
	if token.Encode() != text {
		return Token{}, errors.Wrap(ErrInvalid, "not in the form that Encode writes")
	}
	return token, nil
}

// unmarshal decodes the JSON form of a token.
func unmarshal(raw []byte) (Token, error) {
	var token Token
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&token); err != nil {
		return Token{}, errors.Wrapf(ErrInvalid, "decode fields: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Token{}, errors.Wrap(ErrInvalid, "data after the end")
	}
	return token, nil
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
