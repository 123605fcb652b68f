package endtoend

import (
	"bytes"
	"net/http"
	"os/exec"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpapi"
	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
)

// bodyLimitBytes is the largest request body that the entry hosts of the recorded
// sessions accept.
const bodyLimitBytes = 2048

// headersFor returns headers with the default client account and the class.
func headersFor(class string) map[string]string {
	return map[string]string{httpapi.HeaderAccount: account, httpapi.HeaderClass: class}
}

// headersWithKey returns headersFor(class) with an idempotency key.
func headersWithKey(class, key string) map[string]string {
	header := headersFor(class)
	header[httpapi.HeaderKey] = key
	return header
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// TestGoldenSessions compares recorded sessions between callers and entry hosts,
// and the output of operator commands, with golden files.
func TestGoldenSessions(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, layout{entries: 2, engines: 1, plainServices: 1, changeEntry: func(s *process.Entry) {
		s.MaxBodyBytes = bodyLimitBytes
	}})
	d.waitReady()
	d.waitKeyBinding(t)
	d.waitOrders()
	sessions := []struct {
		name   string
		record func(*recorder, *deployment)
	}{
		{"whole", recordUnstreamed},
		{"stream", recordStream},
		{"plain", recordPlain},
		{"refusals", recordRefusals},
		{"bad-input", recordBadInput},
		{"resume", recordResume},
		{"explain", recordExplain},
	}
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			r := &recorder{t: t}
			s.record(r, d)
			r.assert(s.name)
		})
	}
	t.Run("status", func(t *testing.T) { assertStatus(t, d) })
}

// recordUnstreamed records requests whose answers come in one response.
func recordUnstreamed(r *recorder, d *deployment) {
	c := newCaller(d.entries[0])
	r.exchange(c, http.MethodPost, "/v1/completions", headersFor("programme"), `{"prompt":"tokens=5 draft"}`)
	r.exchange(c, http.MethodPost, "/v1/completions", headersFor("programme"), `{"prompt":"tokens=9 draft","max_tokens":4}`)
	r.exchange(c, http.MethodPost, "/v1/completions", nil,
		`{"model":"coach","prompt":"tokens=3 draft","fulmarvalve":{"Account":"jarun-hall","Class":"session-check"}}`)
}

func recordStream(r *recorder, d *deployment) {
	c := newCaller(d.entries[0])
	r.exchange(c, http.MethodPost, "/v1/completions", headersFor("programme"), `{"prompt":"tokens=6 draft","stream":true}`)
	r.exchange(c, http.MethodPost, "/v1/completions", headersFor("outline"), `{"prompt":"tokens=6 draft","stream":true}`)
	r.exchange(c, http.MethodPost, "/v1/completions", headersWithKey("agreement", newKey()), `{"prompt":"tokens=6 draft","stream":true}`)
	r.exchange(c, http.MethodPost, "/v1/completions", headersFor("programme"), `{"prompt":"tokens=6 draft","stream":true,"max_tokens":2}`)
}

func recordPlain(r *recorder, d *deployment) {
	c := newCaller(d.entries[0])
	r.exchange(c, http.MethodGet, "/v1/services/front-desk/tides", headersFor("booking"), "")
	key := newKey()
	r.exchange(c, http.MethodPost, "/v1/services/front-desk/bookings", headersWithKey("booking", key), `{"Hut":7}`)
	r.exchange(c, http.MethodPost, "/v1/services/front-desk/bookings", headersWithKey("booking", key), `{"Hut":7}`)
	r.exchange(newCaller(d.entries[1]), http.MethodPost, "/v1/services/front-desk/bookings", headersWithKey("booking", key), `{"Hut":7}`)
}

func recordRefusals(r *recorder, d *deployment) {
	c := newCaller(d.entries[0])
	const body = `{"prompt":"tokens=5 draft"}`
	post := func(header map[string]string, body string) {
		r.exchange(c, http.MethodPost, "/v1/completions", header, body)
	}
	post(nil, body)
	post(map[string]string{httpapi.HeaderAccount: "unknown-hall", httpapi.HeaderClass: "programme"}, body)
	post(map[string]string{httpapi.HeaderAccount: limitedAccount, httpapi.HeaderClass: "programme"}, body)
	post(headersFor("unknown"), body)
	post(headersFor("booking"), body)
	post(headersFor("agreement"), body)
	post(headersWithKey("agreement", "not-a-key"), body)
	post(headersWithKey("agreement", "01890a5d-ac96-774b-bcce-b302099a8057"), body)
	post(headersFor("programme"), `{"prompt":"`+strings.Repeat("x", bodyLimitBytes)+`"}`)
	post(headersFor("draft"), body)
	expired := headersFor("programme")
	expired[httpapi.HeaderDeadline] = "2020-01-01T00:00:00Z"
	post(expired, body)
	r.exchange(c, http.MethodGet, "/v1/services/unknown/tides", headersFor("booking"), "")
	r.exchange(c, http.MethodGet, "/v1/services/front-desk/unknown", headersFor("booking"), "")
	r.exchange(c, http.MethodPost, "/v1/services/front-desk/bookings", headersFor("booking"), "")
	r.exchange(c, http.MethodGet, "/v1/services/front-desk/tides", headersFor("programme"), "")
	r.exchange(c, http.MethodPost, "/v1/services/front-desk/bookings", headersWithKey("booking", newKey()), strings.Repeat("x", bodyLimitBytes+1))
}

func recordBadInput(r *recorder, d *deployment) {
	c := newCaller(d.entries[0])
	for _, body := range []string{
		``,
		`{`,
		`{"prompt":"tokens=5 draft"}{}`,
		`{"prompt":5}`,
		`{"prompt":""}`,
		`{"prompt":"tokens=5 draft","max_tokens":-1}`,
		`{"prompt":"tokens=5 draft","model":"other"}`,
	} {
		r.exchange(c, http.MethodPost, "/v1/completions", headersFor("programme"), body)
	}
	malformed := headersFor("programme")
	malformed[httpapi.HeaderDeadline] = "tomorrow"
	r.exchange(c, http.MethodPost, "/v1/completions", malformed, `{"prompt":"tokens=5 draft"}`)
	r.exchange(c, http.MethodGet, "/v1/completions", headersFor("programme"), "")
	r.exchange(c, http.MethodGet, "/v1/unknown", nil, "")
	r.exchange(c, http.MethodGet, "/v1/completions/not-a-ticket", headersFor("programme"), "")
	r.exchange(c, http.MethodGet, "/v1/requests/unknown/explanation", nil, "")
}

func recordResume(r *recorder, d *deployment) {
	first, second := newCaller(d.entries[0]), newCaller(d.entries[1])
	answer := r.exchange(first, http.MethodPost, "/v1/completions", headersFor("programme"), `{"prompt":"tokens=8 draft","stream":true}`)
	token := resumeTokenIn(r.t, answer)
	resume := func(account, position string) {
		header := map[string]string{httpapi.HeaderAccount: account, "Last-Event-ID": position}
		r.exchange(second, http.MethodGet, "/v1/completions/"+token, header, "")
	}
	resume(account, "3")
	resume(account, "")
	resume(account, "8")
	resume(account, "9")
	resume(account, "three")
	resume(limitedAccount, "3")
}

// resumeTokenIn returns the resume token in the body of a streamed answer.
func resumeTokenIn(t *testing.T, answer reply) string {
	t.Helper()
	_, rest, _ := bytes.Cut(answer.body, []byte(`"Ticket":"`))
	token, _, found := bytes.Cut(rest, []byte(`"`))
	if !found {
		t.Fatalf("no resume token in %q", answer.body)
	}
	return string(token)
}

func recordExplain(r *recorder, d *deployment) {
	d.waitIdle(r.t, d.entries[0])
	c := newCaller(d.entries[0])
	answer := r.exchange(c, http.MethodPost, "/v1/completions", headersWithKey("agreement", newKey()), `{"prompt":"tokens=5 draft"}`)
	id := answer.header.Get(httpapi.HeaderRequest)
	r.exchange(c, http.MethodGet, "/v1/requests/"+id+"/explanation", nil, "")
	r.text.WriteString(runCommand(r.t, "explain", "--peer", d.entries[0].settings.PeerAddress, id))
}

// runCommand runs an operator command and returns its output.
func runCommand(t *testing.T, arguments ...string) string {
	t.Helper()
	output, err := exec.CommandContext(t.Context(), binary, arguments...).CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %v\n%s", arguments, err, output)
	}
	return string(output)
}

// assertStatus compares the output of the status command at an entry host and at
// the processes beside both backend servers with a golden file.
func assertStatus(t *testing.T, d *deployment) {
	d.waitIdle(t, d.entries[0])
	r := &recorder{t: t}
	for _, address := range []string{
		d.entries[0].settings.PeerAddress,
		d.backends[0].settings.PeerAddress,
		d.backends[1].settings.PeerAddress,
	} {
		r.text.WriteString(runCommand(t, "status", "--peer", address))
	}
	r.assert("status")
}

// TestGoldenUnconfigured compares the answers of a deployment without an operator
// file with a golden file. The engine must not receive any order.
func TestGoldenUnconfigured(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t, layout{entries: 1, engines: 1, unconfigured: true})
	r := &recorder{t: t}
	c := newCaller(d.entries[0])
	r.exchange(c, http.MethodPost, "/v1/completions", headersFor("programme"), `{"prompt":"tokens=5 draft"}`)
	r.exchange(c, http.MethodGet, "/v1/services/front-desk/tides", headersFor("booking"), "")
	r.exchange(c, http.MethodGet, "/healthz", nil, "")
	r.assert("unconfigured")
	is.Equal(len(d.backends[0].engine.Orders()), 0)
}
