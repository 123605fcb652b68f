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

// maxShownBytes bounds a body that a recording shows.
const maxShownBytes = 600

// volatile are the texts that differ from run to run. Those with a name are
// numbered in order of appearance, so that the same text keeps its number.
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

// recorder writes down a whole session between a caller and an entry host.
type recorder struct {
	t    *testing.T
	text strings.Builder
}

// exchange sends one request and writes it down with its answer.
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

// reply writes down an answer. The tokens of a stream are joined, since how
// many come in one event depends on the moment.
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

// joinEvents merges the events of tokens that follow each other and leaves out
// those that only say that the path is alive.
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

// assert compares the session with its golden file.
func (r *recorder) assert(name string) {
	r.t.Helper()
	goldie.New(r.t).Assert(r.t, name, []byte(replaceVolatile(r.text.String())))
}

// replaceVolatile puts placeholders in the place of volatile texts.
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
