package resultcode

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTableIsOrderedAndUnique(t *testing.T) {
	is := is.New(t)
	names := map[string]bool{}
	previous := Code(0)
	for _, info := range Table() {
		is.True(info.Code > previous)
		is.True(!names[info.Name])
		names[info.Name] = true
		previous = info.Code
		switch {
		case info.Code < 200:
			is.Equal(info.Outcome, Complete)
		case info.Code < 300:
			is.Equal(info.Outcome, NotRun)
		default:
			is.Equal(info.Outcome, Unknown)
		}
	}
}

func TestDocumentationListsEveryCode(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/RESULT-CODES.md")
	is.NoErr(err)
	for _, info := range Table() {
		hasRetryAt := "no"
		if info.HasRetryAt {
			hasRetryAt = "yes"
		}
		row := fmt.Sprintf("| %d | %s | %s | %s | %d | %s | %s |",
			info.Code, info.Name, info.Outcome, info.Repeat, info.HTTPStatus, hasRetryAt, info.Text)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/RESULT-CODES.md lacks this row:\n%s", row)
		}
	}
}

func TestRetryAfterSecondsRoundsUp(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name   string
		give   time.Time
		want   int
		wantOK bool
	}{
		{name: "none", give: time.Time{}},
		{name: "past", give: now.Add(-time.Second), want: 1, wantOK: true},
		{name: "part of a second", give: now.Add(1200 * time.Millisecond), want: 2, wantOK: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, ok := New(QueueFull, "full").WithRetryAt(tt.give).RetryAfterSeconds(now)
			is.Equal(got, tt.want)
			is.Equal(ok, tt.wantOK)
		})
	}
}
