package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestNew(t *testing.T) {
	tests := []struct {
		name    string
		give    Settings
		want    string
		wantErr bool
	}{
		{"text", Settings{}, `Level=INFO Message="intake: request refused" Code=4`, false},
		{"json", Settings{Format: FormatJSON}, `"Message":"intake: request refused","Code":4}`, false},
		{"level", Settings{Level: "warn"}, "", false},
		{"unknown level", Settings{Level: "loud"}, "", true},
		{"unknown format", Settings{Format: "XML"}, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			logger, err := New(&out, tt.give)
			is.Equal(err != nil, tt.wantErr)
			if tt.wantErr {
				return
			}
			For(logger, Intake).Info("request refused", "Code", 4)
			is.True(strings.Contains(out.String(), tt.want))
			is.Equal(out.Len() == 0, tt.want == "")
		})
	}
}

func TestForKeepsAttributesAndGroups(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger, err := New(&out, Settings{Format: FormatJSON})
	is.NoErr(err)
	For(logger, Keeper).With("Backend", "draft-1").WithGroup("Load").Info("drained", "Running", 0)
	var got struct {
		Message, Backend string
		Load             struct{ Running *int }
	}
	is.NoErr(json.Unmarshal(out.Bytes(), &got))
	is.Equal(got.Message, "keeper: drained")
	is.Equal(got.Backend, "draft-1")
	is.Equal(*got.Load.Running, 0)
}

func TestUnknownFormatIsTyped(t *testing.T) {
	is := is.New(t)
	_, err := New(&bytes.Buffer{}, Settings{Format: "XML"})
	is.True(errors.Is(err, ErrFormat))
	For(nil, Peer).Info("discarded")
}

func TestErrorsAreLoggedWithoutStack(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger, err := New(&out, Settings{})
	is.NoErr(err)
	For(logger, Keeper).Warn("not cancelled", "Cause", errors.Wrap(errors.New("engine is gone"), "cancel"))
	is.True(strings.HasSuffix(out.String(), "Message=\"keeper: not cancelled\" Cause=\"cancel: engine is gone\"\n"))
}
