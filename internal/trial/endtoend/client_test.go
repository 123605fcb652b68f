package endtoend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpapi"
)

// Client accounts of the operator file.
const (
	account        = "maksimir-hall"
	limitedAccount = "jarun-hall"
)

// generationRequest is one generation to ask for.
type generationRequest struct {
	account   string
	class     string
	key       string
	prompt    string
	maxTokens int
}

// newRequest returns a question of the usual account.
func newRequest(class, prompt string) generationRequest {
	return generationRequest{account: account, class: class, prompt: prompt}
}

// completion holds the fields of an answer that the tests look at.
type completion struct {
	ID      string `json:"id"`
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Fulmarvalve struct {
		RequestID string
		Ticket    string
		Backend   string
		Position  uint64
		State     string
		Code      uint32
		Result    string
		Outcome   string
		Repeat    string
		Reason    string
		RetryAt   string
	} `json:"fulmarvalve"`
}

func (p completion) text() string {
	if len(p.Choices) == 0 {
		return ""
	}
	return p.Choices[0].Text
}

// reply is a whole HTTP answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// completion decodes the body.
func (r reply) completion() (completion, error) {
	var p completion
	err := json.Unmarshal(r.body, &p)
	return p, errors.Wrapf(err, "decode %q", r.body)
}

// caller asks one entry host. Every request takes a connection of its own.
type caller struct {
	address string
	client  *http.Client
}

func newCaller(e *entryHost) *caller {
	return &caller{
		address: e.settings.CallerAddress,
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// send sends one request and returns its open answer.
func (c *caller) send(ctx context.Context, method, path string, header map[string]string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	for name, value := range header {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	response, err := c.client.Do(request)
	return response, errors.Wrap(err, "ask")
}

// exchange sends one request and reads its whole answer.
func (c *caller) exchange(method, path string, header map[string]string, body []byte) (reply, error) {
	ctx, stop := context.WithDeadline(context.Background(), waitDeadline())
	defer stop()
	response, err := c.send(ctx, method, path, header, body)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}, errors.Wrap(err, "read answer")
	}
	return reply{status: response.StatusCode, header: response.Header, body: text}, nil
}

func (q generationRequest) header() map[string]string {
	return map[string]string{
		httpapi.HeaderAccount: q.account,
		httpapi.HeaderClass:   q.class,
		httpapi.HeaderKey:     q.key,
	}
}

func (q generationRequest) body(streamed bool) []byte {
	body := map[string]any{"prompt": q.prompt, "stream": streamed}
	if q.maxTokens > 0 {
		body["max_tokens"] = q.maxTokens
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return text
}

// complete asks for an answer that comes at once.
func (c *caller) complete(q generationRequest) (reply, error) {
	return c.exchange(http.MethodPost, "/v1/completions", q.header(), q.body(false))
}

// call asks a plain service.
func (c *caller) call(method, path, key string) (reply, error) {
	header := map[string]string{
		httpapi.HeaderAccount: account,
		httpapi.HeaderClass:   "booking",
		httpapi.HeaderKey:     key,
	}
	return c.exchange(method, "/v1/services/front-desk"+path, header, nil)
}

// stream is one open stream of events.
type stream struct {
	response *http.Response
	reader   *bufio.Reader
	stop     context.CancelFunc
	// raw holds every byte that was read.
	raw bytes.Buffer
}

// stream asks for an answer as events.
func (c *caller) stream(q generationRequest) (*stream, error) {
	return c.open(http.MethodPost, "/v1/completions", q.header(), q.body(true))
}

// resume continues the answer of a resume token after the tokens that the caller has.
func (c *caller) resume(of, ticket string, position uint64) (*stream, error) {
	header := map[string]string{
		httpapi.HeaderAccount: of,
		"Last-Event-ID":       strconv.FormatUint(position, 10),
	}
	return c.open(http.MethodGet, "/v1/completions/"+ticket, header, nil)
}

func (c *caller) open(method, path string, header map[string]string, body []byte) (*stream, error) {
	ctx, stop := context.WithDeadline(context.Background(), waitDeadline())
	response, err := c.send(ctx, method, path, header, body)
	if err != nil {
		stop()
		return nil, err
	}
	return &stream{response: response, reader: bufio.NewReader(response.Body), stop: stop}, nil
}

func (s *stream) close() {
	_ = s.response.Body.Close()
	s.stop()
}

// event is one event of a stream.
type event struct {
	id string
	completion
}

// doneMarker is the data of the event that closes every stream.
const doneMarker = "[DONE]"

// errTruncated says that a stream ended before its mark of the end.
var errTruncated = errors.New("the stream broke off")

// next reads one event. It fails with io.EOF after the mark of the end, and
// with errBrokenOff on a stream that ends before.
func (s *stream) next() (event, error) {
	var e event
	for {
		text, err := s.reader.ReadString('\n')
		s.raw.WriteString(text)
		if err != nil {
			return e, errors.Mark(errors.Newf("after %d bytes: %v", s.raw.Len(), err), errTruncated)
		}
		line := strings.TrimSuffix(text, "\n")
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			e.id = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == doneMarker {
			return e, io.EOF
		}
		return e, errors.Wrapf(json.Unmarshal([]byte(data), &e.completion), "decode event %q", data)
	}
}
