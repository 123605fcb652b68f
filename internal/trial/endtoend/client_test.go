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

// Client accounts in testdata/services.json. The limited account may use only the
// class session-check.
const (
	account        = "maksimir-hall"
	limitedAccount = "jarun-hall"
)

// generationRequest describes one request for a generation.
type generationRequest struct {
	account   string
	class     string
	key       string
	prompt    string
	maxTokens int
}

// newRequest returns a request of the default account, without a key.
func newRequest(class, prompt string) generationRequest {
	return generationRequest{account: account, class: class, prompt: prompt}
}

// completion holds the fields of an answer, or of one event of a streamed answer,
// that the tests check.
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

// reply is an HTTP response that was read to its end.
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

// caller is an HTTP client of one entry host. Each request opens a new
// connection.
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

// newKeepingCaller is like newCaller, but keeps its connection for further requests.
func newKeepingCaller(e *entryHost) *caller {
	c := newCaller(e)
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	return c
}

// send sends one request and returns the response with its body still open.
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
	return response, errors.Wrapf(err, "%s %s at %s", method, path, c.address)
}

// exchange sends one request and reads the response to its end.
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
		return reply{}, errors.Wrap(err, "read response")
	}
	return reply{status: response.StatusCode, header: response.Header, body: text}, nil
}

// header returns the headers of the request.
func (g generationRequest) header() map[string]string {
	return map[string]string{
		httpapi.HeaderAccount: g.account,
		httpapi.HeaderClass:   g.class,
		httpapi.HeaderKey:     g.key,
	}
}

// body returns the JSON body of the request, for a streamed answer or one response.
func (g generationRequest) body(streamed bool) []byte {
	body := map[string]any{"prompt": g.prompt, "stream": streamed}
	if g.maxTokens > 0 {
		body["max_tokens"] = g.maxTokens
	}
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return text
}

// complete requests a generation whose answer comes in one response, not as a
// stream.
func (c *caller) complete(request generationRequest) (reply, error) {
	return c.exchange(http.MethodPost, "/v1/completions", request.header(), request.body(false))
}

// call sends a request to the plain service.
func (c *caller) call(method, path, key string) (reply, error) {
	header := map[string]string{
		httpapi.HeaderAccount: account,
		httpapi.HeaderClass:   "booking",
		httpapi.HeaderKey:     key,
	}
	return c.exchange(method, "/v1/services/front-desk"+path, header, nil)
}

// stream is an open response that carries server-sent events.
type stream struct {
	response *http.Response
	reader   *bufio.Reader
	stop     context.CancelFunc
	// raw holds all bytes that were read.
	raw bytes.Buffer
}

// stream requests a generation whose tokens come as events.
func (c *caller) stream(request generationRequest) (*stream, error) {
	return c.open(http.MethodPost, "/v1/completions", request.header(), request.body(true))
}

// resume opens the stream of a resume token after the given position, which is
// the number of tokens that the caller has received.
func (c *caller) resume(account, token string, position uint64) (*stream, error) {
	header := map[string]string{
		httpapi.HeaderAccount: account,
		"Last-Event-ID":       strconv.FormatUint(position, 10),
	}
	return c.open(http.MethodGet, "/v1/completions/"+token, header, nil)
}

// open sends a request and returns its response as an open stream.
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

// doneMarker is the data of the event that ends every stream.
const doneMarker = "[DONE]"

// errTruncated marks the error of a stream that ended before its end marker.
var errTruncated = errors.New("stream ended before its end marker")

// next reads one event. It returns io.EOF at the end marker, and an error marked
// with errTruncated if the connection ends before it.
func (s *stream) next() (event, error) {
	var e event
	for {
		text, err := s.reader.ReadString('\n')
		s.raw.WriteString(text)
		if err != nil {
			return e, errors.Mark(errors.Newf("stream with status %d and result %s truncated after %d bytes: %v",
				s.response.StatusCode, s.response.Header.Get(httpapi.HeaderResult), s.raw.Len(), err), errTruncated)
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
