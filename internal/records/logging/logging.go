// Package logging sets up the log of a process. Every message starts with the
// fixed prefix of the part of the process that wrote it.
package logging

import (
	"context"
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
)

// Log formats.
const (
	// FormatText writes a line of key=value pairs for each message.
	FormatText = "Text"
	// FormatJSON writes a JSON object for each message.
	FormatJSON = "JSON"
)

// ErrFormat means that a settings file names an unknown log format.
var ErrFormat = errors.New("unknown log format")

// Settings are the log settings of a process.
type Settings struct {
	// Level is the lowest level that is written: Debug, Info, Warn or Error,
	// case-insensitive. Empty means Info.
	Level string
	// Format is FormatText or FormatJSON. Empty means FormatText.
	Format string
}

// New returns the logger of a process, which writes to w.
func New(w io.Writer, settings Settings) (*slog.Logger, error) {
	level, err := parseLevel(settings.Level)
	if err != nil {
		return nil, err
	}
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: renameKeys}
	switch settings.Format {
	case FormatText, "":
		return slog.New(slog.NewTextHandler(w, options)), nil
	case FormatJSON:
		return slog.New(slog.NewJSONHandler(w, options)), nil
	default:
		return nil, errors.Wrapf(ErrFormat, "read format %q", settings.Format)
	}
}

// For returns a logger whose messages start with the prefix of a part. A nil
// logger writes nothing.
func For(logger *slog.Logger, part Part) *slog.Logger {
	if logger == nil {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(prefixHandler{next: logger.Handler(), prefix: part.Prefix()})
}

func parseLevel(text string) (slog.Level, error) {
	if text == "" {
		return slog.LevelInfo, nil
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(text)); err != nil {
		return 0, errors.Wrap(err, "read log level")
	}
	return level, nil
}

// renameKeys changes the built-in keys to Pascal case, as in all formats of this
// project. It reduces errors to their message, without the stack trace.
func renameKeys(groups []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	if len(groups) > 0 {
		return a
	}
	switch a.Key {
	case slog.TimeKey:
		a.Key = "Time"
	case slog.LevelKey:
		a.Key = "Level"
	case slog.MessageKey:
		a.Key = "Message"
	}
	return a
}

// prefixHandler puts a fixed prefix before every message.
type prefixHandler struct {
	next   slog.Handler
	prefix string
}

// Enabled reports whether the wrapped handler writes the level.
func (h prefixHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.next.Enabled(ctx, level)
}

// Handle writes the record with the prefix.
func (h prefixHandler) Handle(ctx context.Context, record slog.Record) error {
	record.Message = h.prefix + record.Message
	return h.next.Handle(ctx, record)
}

// WithAttrs returns a handler that adds attributes.
func (h prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixHandler{next: h.next.WithAttrs(attrs), prefix: h.prefix}
}

// WithGroup returns a handler that opens a group.
func (h prefixHandler) WithGroup(name string) slog.Handler {
	return prefixHandler{next: h.next.WithGroup(name), prefix: h.prefix}
}
