package cmd

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestRunExitCodes(t *testing.T) {
	tests := []struct {
		give     string
		wantCode int
		wantErr  string
	}{
		{give: "version", wantCode: ExitOK},
		{give: "version --colour", wantCode: ExitUsage, wantErr: "flag provided but not defined: -colour"},
		{give: "serve", wantCode: ExitUsage, wantErr: "no such command: serve"},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			is := is.New(t)
			var stdout, stderr bytes.Buffer
			args := append([]string{"fulmarvalve"}, strings.Fields(tt.give)...)
			code := run(context.Background(), args, &stdout, &stderr)
			is.Equal(code, tt.wantCode)
			is.True(strings.Contains(stderr.String(), tt.wantErr))
			is.True(strings.Count(stderr.String(), "\n") <= 1)
		})
	}
}
