package endtoend

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpapi"
)

// maxShownBytes is the largest request body that is recorded; for a longer one only
// its length is.
const maxShownBytes = 600

// volatile holds the patterns of texts that differ between runs. Texts of a pattern
// with a name are numbered in order of appearance, so that equal texts get the same
// number; others are replaced by the fixed text.
var volatile = []struct {
	pattern *regexp.Regexp
	name    string
	fixed   string
}{
	{pattern: regexp.MustCompile(`"Ticket":"([\w-]+)"`), fixed: `"Ticket":"<ticket>"`},
	{pattern: regexp.MustCompile(`/v1/completions/[\w-]{40,}`), fixed: `/v1/completions/<ticket>`},
	{pattern: regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}`), name: "id"},
	{pattern: regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)`), fixed: "<time>"},
	{pattern: regexp.MustCompile(`127\.\d+\.\d+\.\d+:\d+`), name: "address"},
	{pattern: regexp.MustCompile(`"Incarnation":\d+`), fixed: `"Incarnation":"<incarnation>"`},
	{pattern: regexp.MustCompile(`incarnation \d+`), fixed: "incarnation <incarnation>"},
	{pattern: regexp.MustCompile(`"AgeMillis":\d+`), fixed: `"AgeMillis":"<age>"`},
	{pattern: regexp.MustCompile(`seen \d+ ms before`), fixed: "seen <age> ms before"},
	{pattern: regexp.MustCompile(`"Partition":\d+`), fixed: `"Partition":"<partition>"`},
	{pattern: regexp.MustCompile(`"Number":\d+`), name: "number"},
	{pattern: regexp.MustCompile(`"Offset":\d+`), fixed: `"Offset":"<offset>"`},
	{pattern: regexp.MustCompile(`at offset \d+ of partition \d+`), fixed: "at offset <offset> of partition <partition>"},
}

// recorder records the requests and responses of a session between a caller and entry
// hosts.
type recorder struct {
	t    *testing.T
	text strings.Builder
}

// exchange sends one request and records it with its response.
func (r *recorder) exchange(c *caller, method, path string, header map[string]string, body string) reply {
	r.t.Helper()
	r.request(method, path, header, body)
	answer, err := c.exchange(method, path, header, []byte(body))
	if err != nil {
		r.t.Fatal(err)
	}
	r.reply(answer)
	return answer
}

func (r *recorder) request(method, path string, header map[string]string, body string) {
	fmt.Fprintf(&r.text, "> %s %s\n", method, path)
	names := make([]string, 0, len(header))
	for name, value := range header {
		if value != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&r.text, "> %s: %s\n", name, header[name])
	}
	if len(body) > maxShownBytes {
		body = fmt.Sprintf("<%d bytes>", len(body))
	}
	if body != "" {
		fmt.Fprintf(&r.text, ">\n> %s\n", body)
	}
}

// reply records a response. Consecutive token events of a stream are joined, since the
// number of tokens per event depends on timing.
func (r *recorder) reply(answer reply) {
	fmt.Fprintf(&r.text, "< %d %s\n", answer.status, http.StatusText(answer.status))
	for _, name := range []string{"Content-Type", httpapi.HeaderRequest, httpapi.HeaderResult, "Retry-After"} {
		if value := answer.header.Get(name); value != "" {
			fmt.Fprintf(&r.text, "< %s: %s\n", name, value)
		}
	}
	body := string(answer.body)
	if strings.HasPrefix(answer.header.Get("Content-Type"), "text/event-stream") {
		body = joinEvents(body)
	}
	for line := range strings.Lines("\n" + body) {
		r.text.WriteString(strings.TrimRight("< "+line, " \n") + "\n")
	}
	r.text.WriteString("\n")
}

var (
	textField  = regexp.MustCompile(`"text":"([^"]+)"`)
	stateField = regexp.MustCompile(`"State":"`)
)

// joinEvents merges consecutive token events and removes heartbeat events.
func joinEvents(body string) string {
	var kept []string
	joined := ""
	for _, block := range strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		if stateField.MatchString(block) {
			continue
		}
		found := textField.FindStringSubmatch(block)
		if found == nil {
			joined = ""
			kept = append(kept, block)
			continue
		}
		if joined != "" {
			kept = kept[:len(kept)-1]
		}
		joined += found[1]
		kept = append(kept, textField.ReplaceAllLiteralString(block, `"text":"`+joined+`"`))
	}
	return strings.Join(kept, "\n\n") + "\n"
}

// assert compares the recorded session with its golden file.
func (r *recorder) assert(name string) {
	r.t.Helper()
	goldie.New(r.t).Assert(r.t, name, []byte(replaceVolatile(r.text.String())))
}

// replaceVolatile replaces volatile texts by placeholders.
func replaceVolatile(text string) string {
	for _, v := range volatile {
		if v.name == "" {
			text = v.pattern.ReplaceAllLiteralString(text, v.fixed)
			continue
		}
		numbers := make(map[string]int)
		text = v.pattern.ReplaceAllStringFunc(text, func(found string) string {
			if numbers[found] == 0 {
				numbers[found] = len(numbers) + 1
			}
			return fmt.Sprintf("<%s-%d>", v.name, numbers[found])
		})
	}
	return text
}
