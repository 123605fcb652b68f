package requestlog

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
)

func readTestLog(t *testing.T) []Line {
	t.Helper()
	file, err := os.Open("testdata/played.log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	lines, skipped, err := Read(file)
	is := is.New(t)
	is.NoErr(err)
	is.Equal(skipped, 1) // the line without a JSON object
	return lines
}

func TestWriteRequestLines(t *testing.T) {
	lines := readTestLog(t)
	for name, request := range map[string]string{
		"moved-and-lost": "7ef28856fcfd69b1",
		"no-backend":     "685b9c81fd96eaeb",
		"stale":          "cb4e5efeefac673c",
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			is.New(t).NoErr(Write(&out, ForRequest(lines, request)))
			goldie.New(t).Assert(t, name, out.Bytes())
		})
	}
}

func TestCauses(t *testing.T) {
	is := is.New(t)
	lines := readTestLog(t)
	is.Equal(Causes(lines, time.Time{}, time.Time{}), []Cause{
		{Text: "request refused: ConfigurationStale", Count: 1, Request: "cb4e5efeefac673c"},
		{Text: "request refused: NoBackend", Count: 1, Request: "685b9c81fd96eaeb"},
		{Text: "stream lost", Count: 1, Request: "7ef28856fcfd69b1"},
	})
	late := time.Date(2026, 2, 14, 11, 48, 0, 0, time.UTC)
	is.Equal(len(Causes(lines, late, time.Time{})), 1)
	is.Equal(len(Causes(lines, time.Time{}, late)), 2)
}
