package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpapi"
	"github.com/fulmarvalve/fulmarvalve/internal/records/explanation"
)

// caller sends requests to an entry host over HTTP, as a caller does.
type caller struct {
	address string
	client  *http.Client
}

// completion holds the fields of an answer that the demo uses.
type completion struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Fulmarvalve struct {
		RequestID string
		Backend   string
		Result    string
		Reason    string
	} `json:"fulmarvalve"`
}

func (c completion) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Text
}

// complete requests a completion of the prompt as a single answer.
func (c *caller) complete(ctx context.Context, prompt string) (completion, error) {
	var answer completion
	body, err := json.Marshal(map[string]any{"prompt": prompt})
	if err != nil {
		return answer, errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+c.address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return answer, errors.Wrap(err, "build request")
	}
	request.Header.Set(httpapi.HeaderAccount, "maksimir-hall")
	request.Header.Set(httpapi.HeaderClass, "session-check")
	status, err := c.do(request, &answer)
	if err != nil {
		return answer, err
	}
	if status != http.StatusOK {
		return answer, errors.Newf("completion refused with HTTP status %d: %s: %s", status, answer.Fulmarvalve.Result, answer.Fulmarvalve.Reason)
	}
	return answer, nil
}

// explanation requests the decision records of a request and returns them as text.
func (c *caller) explanation(ctx context.Context, requestID string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+c.address+"/v1/requests/"+requestID+"/explanation", http.NoBody)
	if err != nil {
		return "", errors.Wrap(err, "build request")
	}
	var records []explanation.Record
	if _, err := c.do(request, &records); err != nil {
		return "", err
	}
	return explanation.Render(records), nil
}

func (c *caller) do(request *http.Request, into any) (int, error) {
	reply, err := c.client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "ask")
	}
	defer func() { _ = reply.Body.Close() }()
	if err := json.NewDecoder(reply.Body).Decode(into); err != nil {
		return reply.StatusCode, errors.Wrapf(err, "decode answer with HTTP status %d", reply.StatusCode)
	}
	return reply.StatusCode, nil
}
