package resumetoken

import (
	"encoding/base64"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-z0-9./:-]{1,60}`)
		want := Token{
			RequestID:   name.Draw(t, "RequestID"),
			Account:     name.Draw(t, "Account"),
			Backend:     name.Draw(t, "Backend"),
			PeerAddress: name.Draw(t, "PeerAddress"),
			Incarnation: rapid.Uint64Min(1).Draw(t, "Incarnation"),
			Sequence:    rapid.Uint64Min(1).Draw(t, "Sequence"),
		}
		got, err := Decode(want.Encode())
		if err != nil || got != want {
			t.Fatalf("got %+v, %v; want %+v", got, err, want)
		}
	})
}

func TestDecodeRejects(t *testing.T) {
	valid := `{"RequestID":"r","Account":"a","Backend":"b","PeerAddress":"p:1","Incarnation":1,"Sequence":1}`
	tests := []struct {
		name string
		give string
	}{
		{"empty", ""},
		{"not base64", "***"},
		{"too long", strings.Repeat("A", MaxEncodedBytes+1)},
		{"not an object", encode(`7`)},
		{"unknown field", encode(`{"Extra":1,` + valid[1:])},
		{"trailing data", encode(valid + `{}`)},
		{"misspelt field", encode(strings.Replace(valid, "Account", "account", 1))},
		{"repeated field", encode(`{"Account":"b",` + valid[1:])},
		{"no request", encode(strings.Replace(valid, `"r"`, `""`, 1))},
		{"no account", encode(strings.Replace(valid, `"a"`, `""`, 1))},
		{"no backend", encode(strings.Replace(valid, `"b"`, `""`, 1))},
		{"no address", encode(strings.Replace(valid, `"p:1"`, `""`, 1))},
		{"no incarnation", encode(strings.Replace(valid, `"Incarnation":1`, `"Incarnation":0`, 1))},
		{"no sequence", encode(strings.Replace(valid, `"Sequence":1`, `"Sequence":0`, 1))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, err := Decode(tt.give)
			is.True(errors.Is(err, ErrInvalid))
			is.Equal(got, Token{})
		})
	}
	is := is.New(t)
	_, err := Decode(encode(valid))
	is.NoErr(err)
}

func encode(text string) string {
	return base64.RawURLEncoding.EncodeToString([]byte(text))
}
