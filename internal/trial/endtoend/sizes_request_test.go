package endtoend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fulmarvalve/fulmarvalve/internal/caller/httpapi"
	"github.com/fulmarvalve/fulmarvalve/internal/result/resultcode"
)

// sizesRetryMillis is the pause of a caller before it retries at another entry host.
const sizesRetryMillis = 100

// sizedRequest is one request of a caller with its result.
type sizedRequest struct {
	load     *openLoopLoad
	kind     requestKind
	request  generationRequest
	streamed bool
	flood    bool
	random   *rand.Rand

	begunAt, firstAt, lastAt, endedAt time.Time
	gaps                              []time.Duration
	tokens                            int
	code                              resultcode.Code
	reason                            string
	// requests holds all request identifiers that the attempts received.
	requests []string
	// switches counts the changes to another entry host.
	switches int
	// resent is true if the caller sent the request anew after it had lost both
	// its entry host and its owner.
	resent bool
	// fault is set if the answer is wrong or missing.
	fault error
}

// request returns a request of the given kind for the client account from or, if it is
// empty, for an account picked by share. The number selects whether it is streamed.
func (l *openLoopLoad) request(k requestKind, from string, number int, random *rand.Rand) *sizedRequest {
	r := &sizedRequest{load: l, kind: k, flood: from != "", random: rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))}
	if from == "" {
		from = pickAccount(l.accounts, k.class, random)
	}
	r.request = generationRequest{account: from, class: k.class}
	if !k.repeatable {
		r.request.key = newKey()
	}
	if k.method == "" {
		r.request.prompt = fmt.Sprintf("tokens=%d %s %d", k.length(random), k.class, random.Uint64())
		r.streamed = k.urgent || number%2 == 0
	}
	return r
}

// execute sends the request, and retries or resumes it at another entry host when the
// connection breaks.
func (r *sizedRequest) execute(ctx context.Context) {
	r.begunAt = time.Now()
	defer func() { r.endedAt = time.Now() }()
	answer := newTranscript(nil)
	for {
		err := r.attempt(ctx, newCaller(r.load.balance(r.random)), answer)
		if err == nil && r.lostOnResume(answer) {
			r.resent = true
			answer = newTranscript(nil)
			continue
		}
		if err == nil {
			return
		}
		if ctx.Err() != nil || !errors.Is(err, errTruncated) {
			r.fault = err
			return
		}
		r.switches++
		time.Sleep(sizesRetryMillis * time.Millisecond)
	}
}

// lostOnResume reports whether a caller that resumed before it received any token
// learned that the owner is lost as well. The resume token does not contain the prompt,
// so the caller sends the idempotent request anew, as the result code allows.
func (r *sizedRequest) lostOnResume(answer *transcript) bool {
	unknown := r.code.Info().Outcome == resultcode.Unknown
	return unknown && r.kind.repeatable && r.switches > 0 && len(answer.resumeTokens) > 0 && answer.position == 0 && !r.resent
}

// attempt sends or resumes the request once at an entry host.
func (r *sizedRequest) attempt(ctx context.Context, c *caller, answer *transcript) error {
	switch {
	case r.kind.method != "":
		return r.call(ctx, c)
	case r.streamed:
		return r.stream(ctx, c, answer)
	default:
		return r.complete(ctx, c)
	}
}

// read sends a request and reads the response to its end.
func (r *sizedRequest) read(ctx context.Context, c *caller, method, path string, body []byte) (reply, error) {
	response, err := c.send(ctx, method, path, r.request.header(), body)
	if err != nil {
		return reply{}, errors.Mark(err, errTruncated)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}, errors.Mark(err, errTruncated)
	}
	r.addID(response.Header.Get(httpapi.HeaderRequest))
	return reply{status: response.StatusCode, header: response.Header, body: text}, nil
}

// addID records a request identifier, unless it equals the last one.
func (r *sizedRequest) addID(id string) {
	if id == "" || len(r.requests) > 0 && r.requests[len(r.requests)-1] == id {
		return
	}
	r.requests = append(r.requests, id)
}

// call sends a plain call.
func (r *sizedRequest) call(ctx context.Context, c *caller) error {
	service := r.load.company.plainService
	got, err := r.read(ctx, c, r.kind.method, "/v1/services/"+service+r.kind.path, nil)
	if err != nil {
		return err
	}
	code, err := strconv.Atoi(got.header.Get(httpapi.HeaderResult))
	if err != nil {
		return errors.Wrapf(err, "status %d without a result code: %s", got.status, got.body)
	}
	r.code = resultcode.Code(code)
	if r.code == resultcode.OK && got.status != http.StatusOK {
		return errors.Newf("status %d with result OK, want 200: %s", got.status, got.body)
	}
	return nil
}

// complete requests a generation whose answer comes in one response, and checks it.
func (r *sizedRequest) complete(ctx context.Context, c *caller) error {
	got, err := r.read(ctx, c, http.MethodPost, "/v1/completions", r.request.body(false))
	if err != nil {
		return err
	}
	p, err := got.completion()
	if err != nil {
		return err
	}
	r.code, r.reason = resultcode.Code(p.Fulmarvalve.Code), p.Fulmarvalve.Reason
	if r.code.Info().Outcome != resultcode.Complete {
		return nil
	}
	r.addID(p.Fulmarvalve.RequestID)
	o := r.outputs(p.Fulmarvalve.Backend)
	r.tokens = len(o[p.Fulmarvalve.Backend])
	_, err = checkCompleteReply(got, o)
	return err
}

// outputs returns the tokens that the engine of the backend server produces for the
// request, or nil if it has no engine.
func (r *sizedRequest) outputs(backend string) outputs {
	b := r.load.deployment.backend(backend)
	if b == nil || b.engine == nil {
		return nil
	}
	return outputs{backend: b.engine.Output(r.request.prompt)}
}

// stream requests a streamed answer, or resumes it if an earlier attempt received a
// resume token, and checks its events.
func (r *sizedRequest) stream(ctx context.Context, c *caller, answer *transcript) error {
	response, err := r.open(ctx, c, answer)
	if err != nil {
		return errors.Mark(err, errTruncated)
	}
	s := newSizedStream(response)
	defer s.close()
	r.addID(response.Header.Get(httpapi.HeaderRequest))
	if response.StatusCode != http.StatusOK {
		return r.refused(response)
	}
	for {
		e, err := s.next()
		s.raw.Reset()
		if errors.Is(err, io.EOF) {
			return r.endOfStream(answer)
		}
		if err != nil {
			return err
		}
		if e.Fulmarvalve.Ticket != "" {
			answer.outputs = r.outputs(e.Fulmarvalve.Backend)
		}
		before := answer.position
		if err := answer.add(e); err != nil {
			return err
		}
		r.timeTokens(answer.position - before)
	}
}

// open sends the request for a stream, or the one to resume it.
func (r *sizedRequest) open(ctx context.Context, c *caller, answer *transcript) (*http.Response, error) {
	if len(answer.resumeTokens) == 0 {
		return c.send(ctx, http.MethodPost, "/v1/completions", r.request.header(), r.request.body(true))
	}
	header := map[string]string{
		httpapi.HeaderAccount: r.request.account,
		"Last-Event-ID":       strconv.FormatUint(answer.position, 10),
	}
	return c.send(ctx, http.MethodGet, "/v1/completions/"+answer.resumeToken(), header, nil)
}

// refused reads the result code of a stream that was refused.
func (r *sizedRequest) refused(response *http.Response) error {
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Mark(err, errTruncated)
	}
	p, err := reply{body: text}.completion()
	r.code = resultcode.Code(p.Fulmarvalve.Code)
	return err
}

// endOfStream records the result of a stream and checks a complete one.
func (r *sizedRequest) endOfStream(answer *transcript) error {
	if err := answer.checkEnded(); err != nil {
		return err
	}
	r.code, r.reason = resultcode.Code(answer.end.Fulmarvalve.Code), answer.end.Fulmarvalve.Reason
	r.addID(answer.request)
	if r.code.Info().Outcome != resultcode.Complete {
		return nil
	}
	r.tokens = int(answer.position)
	return answer.checkComplete()
}

// timeTokens records the time of an event that brought count tokens.
func (r *sizedRequest) timeTokens(count uint64) {
	if count == 0 {
		return
	}
	now := time.Now()
	if r.firstAt.IsZero() {
		r.firstAt = now
	} else {
		r.gaps = append(r.gaps, now.Sub(r.lastAt))
	}
	r.lastAt = now
}

func newSizedStream(response *http.Response) *stream {
	return &stream{response: response, reader: bufio.NewReader(response.Body), stop: func() {}}
}
